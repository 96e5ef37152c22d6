import { left, right } from 'fp-ts/lib/Either.js';
import type { Clock, DaemonId, Disposable } from '../base/index.js';
import type { WorkClass } from '../services/Types.js';
import { QuotaBucket } from './QuotaBucket.js';
import { quotaKeysOf } from './QuotaKeys.js';
import type {
  QuotaDemand,
  QuotaClientSettings,
  QuotaGrant,
  QuotaKey,
  QuotaResult,
  QuotaSubject,
} from './QuotaTypes.js';

/** Milliseconds for which requests to the same owner are collected into one message. */
const batchInterval = 2;

/** Milliseconds to wait for a response of the owner before the entry uses its fallback share. */
const grantTimeout = 100;

/** State of a key is dropped after this many milliseconds without use. */
const idleTime = 30_000;

/** Entry side of the quotas: accepts requests from grants that it requested in advance. */
export class QuotaClient implements Disposable {
  private readonly buckets = new Map<QuotaKey, QuotaBucket>();

  private readonly pendingKeys = new Set<QuotaKey>();

  private readonly waiters = new Map<QuotaKey, (() => void)[]>();

  private batchTimer: Disposable | undefined;

  private sweepTimer: Disposable | undefined;

  public constructor(
    private readonly settings: QuotaClientSettings,
    private readonly clock: Clock,
  ) {}

  /** Number of keys with state. */
  public get size(): number {
    return this.buckets.size;
  }

  /** Takes one token of every limit of the subject, or none. Waits only for the first grant of a key. */
  public async acquire(subject: QuotaSubject): Promise<QuotaResult> {
    const keys = this.limitedKeys(subject);
    keys.forEach((key) => this.ensure(key).countRequest(this.clock.elapsed()));
    await Promise.all(keys.map((key) => this.waitForGrant(key, subject.workClass)));
    return this.takeAll(keys, subject.workClass);
  }

  /** Like `acquire`, but returns undefined and counts nothing if a grant must be awaited. */
  public tryAcquire(subject: QuotaSubject): QuotaResult | undefined {
    const keys = this.limitedKeys(subject);
    if (keys.some((key) => this.needsGrant(key, subject.workClass))) return undefined;
    keys.forEach((key) => this.ensure(key).countRequest(this.clock.elapsed()));
    return this.takeAll(keys, subject.workClass);
  }

  public dispose(): void {
    this.batchTimer?.dispose();
    this.sweepTimer?.dispose();
    [...this.waiters.keys()].forEach((key) => this.wake(key));
  }

  private limitedKeys(subject: QuotaSubject): readonly QuotaKey[] {
    return quotaKeysOf(subject).filter((key) => this.settings.limitOf(key) > 0);
  }

  private takeAll(keys: readonly QuotaKey[], workClass: WorkClass): QuotaResult {
    const missing = keys.find((key) => !this.canTake(key, workClass));
    keys.forEach((key) => this.requestIfLow(key));
    if (missing !== undefined) {
      const retryAfter = Math.max(0, this.ensure(missing).nextRequestAt - this.clock.elapsed());
      const message = `over the limit of ${this.settings.limitOf(missing)} requests/s of ${missing}`;
      return left({
        step: 'quota',
        notRun: true,
        reason: 'limit',
        key: missing,
        message,
        retryAfter,
      });
    }
    keys.forEach((key) => this.ensure(key).take());
    return right('accepted');
  }

  private canTake(key: QuotaKey, workClass: WorkClass): boolean {
    const bucket = this.ensure(key);
    const now = this.clock.elapsed();
    if (bucket.usesFallback) bucket.refillFallback(this.fallbackShare(key), now);
    return bucket.canTake(now, this.maxOverdraft(key, bucket, workClass));
  }

  /** Critical work may borrow from the service's next grant, so that it is refused after the other classes. */
  private maxOverdraft(key: QuotaKey, bucket: QuotaBucket, workClass: WorkClass): number {
    const isAllowed = workClass === 'critical' && key.startsWith('service/');
    // The last grant may be empty, so the overdraft is at least the entry's part of the limit.
    return isAllowed ? Math.max(bucket.lastGrantSize, this.fallbackShare(key)) : 0;
  }

  private needsGrant(key: QuotaKey, workClass: WorkClass): boolean {
    if (this.canTake(key, workClass)) return false;
    const bucket = this.ensure(key);
    return (
      bucket.isRequestPending ||
      (!bucket.usesFallback && bucket.nextRequestAt <= this.clock.elapsed())
    );
  }

  private async waitForGrant(key: QuotaKey, workClass: WorkClass): Promise<void> {
    if (!this.needsGrant(key, workClass)) return;
    this.scheduleRequest(key);
    await new Promise<void>((resolve) => {
      this.waiters.set(key, [...(this.waiters.get(key) ?? []), resolve]);
    });
  }

  private requestIfLow(key: QuotaKey): void {
    const now = this.clock.elapsed();
    const bucket = this.ensure(key);
    if (bucket.isLow(now) && bucket.nextRequestAt <= now) this.scheduleRequest(key);
  }

  private scheduleRequest(key: QuotaKey): void {
    const bucket = this.ensure(key);
    if (bucket.isRequestPending) return;
    bucket.isRequestPending = true;
    this.pendingKeys.add(key);
    this.batchTimer ??= this.clock.after(batchInterval, () => {
      this.batchTimer = undefined;
      this.sendRequests();
    });
  }

  private sendRequests(): void {
    const byOwner = new Map<DaemonId | undefined, QuotaKey[]>();
    this.pendingKeys.forEach((key) => {
      const owner = this.settings.ownerOf(key);
      byOwner.set(owner, [...(byOwner.get(owner) ?? []), key]);
    });
    this.pendingKeys.clear();
    byOwner.forEach((keys, owner) => {
      void this.requestGrants(owner, keys);
    });
  }

  private async requestGrants(
    owner: DaemonId | undefined,
    keys: readonly QuotaKey[],
  ): Promise<void> {
    const now = this.clock.elapsed();
    const demands = keys.map((key) => ({ key, demand: this.ensure(key).estimateDemand(now) }));
    const grants = owner === undefined ? [] : await this.requestInTime(owner, demands);
    const byKey = new Map(grants.map((grant) => [grant.key, grant]));
    keys.forEach((key) => this.finishRequest(key, byKey.get(key)));
  }

  /** Grants of the owner, or none if the request fails or times out. A late response is dropped. */
  private requestInTime(
    owner: DaemonId,
    demands: readonly QuotaDemand[],
  ): Promise<readonly QuotaGrant[]> {
    return new Promise((resolve) => {
      const timer = this.clock.after(grantTimeout, () => resolve([]));
      this.settings
        .request(owner, demands)
        .catch(() => [])
        .then((grants) => {
          timer.dispose();
          resolve(grants);
        });
    });
  }

  private finishRequest(key: QuotaKey, grant: QuotaGrant | undefined): void {
    const bucket = this.ensure(key);
    const now = this.clock.elapsed();
    bucket.isRequestPending = false;
    if (grant !== undefined) bucket.addGrant(grant, now);
    else {
      bucket.refillFallback(this.fallbackShare(key), now);
      bucket.postponeRequest(now);
    }
    this.wake(key);
  }

  private fallbackShare(key: QuotaKey): number {
    return this.settings.limitOf(key) / Math.max(1, this.settings.daemonCount());
  }

  private wake(key: QuotaKey): void {
    const resolvers = this.waiters.get(key) ?? [];
    this.waiters.delete(key);
    resolvers.forEach((resolve) => resolve());
  }

  private ensure(key: QuotaKey): QuotaBucket {
    let bucket = this.buckets.get(key);
    if (bucket === undefined) {
      bucket = new QuotaBucket(this.clock.elapsed());
      this.buckets.set(key, bucket);
      this.scheduleSweep();
    }
    return bucket;
  }

  private scheduleSweep(): void {
    this.sweepTimer ??= this.clock.after(idleTime, () => {
      this.sweepTimer = undefined;
      const oldest = this.clock.elapsed() - idleTime;
      this.buckets.forEach((bucket, key) => {
        if (bucket.lastUsedAt <= oldest && !bucket.isRequestPending) this.buckets.delete(key);
      });
      if (this.buckets.size > 0) this.scheduleSweep();
    });
  }
}
