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

/** Milliseconds during which wishes for the same owner are put into one message. */
const batchTime = 2;

/** Milliseconds that a request waits for the first grant of a key before the entry uses its own share. */
const grantTimeout = 100;

/** State of a key that has not been used for this many milliseconds is dropped. */
const idleTime = 30_000;

/** Entry side of the limits: accepts requests from grants that it got in advance. */
export class QuotaClient implements Disposable {
  private readonly accounts = new Map<QuotaKey, QuotaBucket>();

  private readonly wishes = new Set<QuotaKey>();

  private readonly waiting = new Map<QuotaKey, (() => void)[]>();

  private batch: Disposable | undefined;

  private sweep: Disposable | undefined;

  public constructor(
    private readonly settings: QuotaClientSettings,
    private readonly clock: Clock,
  ) {}

  /** Keys with state. */
  public get size(): number {
    return this.accounts.size;
  }

  /** Takes one request from every limit of the subject, or from none. Waits only for the first grant of a key. */
  public async acquire(subject: QuotaSubject): Promise<QuotaResult> {
    const keys = this.limitedKeys(subject);
    keys.forEach((key) => this.ensure(key).countRequest(this.clock.elapsed()));
    await Promise.all(keys.map((key) => this.waitForGrant(key, subject.workClass)));
    return this.take(keys, subject.workClass);
  }

  /** As `acquire` if no grant has to be waited for, otherwise undefined and nothing is counted. */
  public tryAcquire(subject: QuotaSubject): QuotaResult | undefined {
    const keys = this.limitedKeys(subject);
    if (keys.some((key) => this.mustWait(key, subject.workClass))) return undefined;
    keys.forEach((key) => this.ensure(key).countRequest(this.clock.elapsed()));
    return this.take(keys, subject.workClass);
  }

  public dispose(): void {
    this.batch?.dispose();
    this.sweep?.dispose();
    [...this.waiting.keys()].forEach((key) => this.wake(key));
  }

  private limitedKeys(subject: QuotaSubject): readonly QuotaKey[] {
    return quotaKeysOf(subject).filter((key) => this.settings.limitOf(key) > 0);
  }

  private take(keys: readonly QuotaKey[], workClass: WorkClass): QuotaResult {
    const missing = keys.find((key) => !this.has(key, workClass));
    keys.forEach((key) => this.askIfLow(key));
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

  private has(key: QuotaKey, workClass: WorkClass): boolean {
    const account = this.ensure(key);
    const now = this.clock.elapsed();
    if (account.usesFallback) account.refillFallback(this.ownPart(key), now);
    return account.canTake(now, this.overdraftOf(key, account, workClass));
  }

  /** Critical work may use a part of the service's next grant, so that it is refused after the other classes. */
  private overdraftOf(key: QuotaKey, account: QuotaBucket, workClass: WorkClass): number {
    const isAllowed = workClass === 'critical' && key.startsWith('service/');
    // The last grant can have been empty, so the entry's own part of the limit is the least.
    return isAllowed ? Math.max(account.lastGrantSize, this.ownPart(key)) : 0;
  }

  private mustWait(key: QuotaKey, workClass: WorkClass): boolean {
    if (this.has(key, workClass)) return false;
    const account = this.ensure(key);
    return (
      account.isRequestPending ||
      (!account.usesFallback && account.nextRequestAt <= this.clock.elapsed())
    );
  }

  private async waitForGrant(key: QuotaKey, workClass: WorkClass): Promise<void> {
    if (!this.mustWait(key, workClass)) return;
    this.ask(key);
    await new Promise<void>((resolve) => {
      this.waiting.set(key, [...(this.waiting.get(key) ?? []), resolve]);
    });
  }

  private askIfLow(key: QuotaKey): void {
    const now = this.clock.elapsed();
    const account = this.ensure(key);
    if (account.isLow(now) && account.nextRequestAt <= now) this.ask(key);
  }

  private ask(key: QuotaKey): void {
    const account = this.ensure(key);
    if (account.isRequestPending) return;
    account.isRequestPending = true;
    this.wishes.add(key);
    this.batch ??= this.clock.after(batchTime, () => {
      this.batch = undefined;
      this.sendWishes();
    });
  }

  private sendWishes(): void {
    const byOwner = new Map<DaemonId | undefined, QuotaKey[]>();
    this.wishes.forEach((key) => {
      const owner = this.settings.ownerOf(key);
      byOwner.set(owner, [...(byOwner.get(owner) ?? []), key]);
    });
    this.wishes.clear();
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
    keys.forEach((key) => this.finishAsking(key, byKey.get(key)));
  }

  /** Grants of the owner, or none if it fails or takes too long. A late answer is dropped. */
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

  private finishAsking(key: QuotaKey, grant: QuotaGrant | undefined): void {
    const account = this.ensure(key);
    const now = this.clock.elapsed();
    account.isRequestPending = false;
    if (grant !== undefined) account.addGrant(grant, now);
    else {
      account.refillFallback(this.ownPart(key), now);
      account.postponeRequest(now);
    }
    this.wake(key);
  }

  private ownPart(key: QuotaKey): number {
    return this.settings.limitOf(key) / Math.max(1, this.settings.daemonCount());
  }

  private wake(key: QuotaKey): void {
    const waiting = this.waiting.get(key) ?? [];
    this.waiting.delete(key);
    waiting.forEach((resolve) => resolve());
  }

  private ensure(key: QuotaKey): QuotaBucket {
    let account = this.accounts.get(key);
    if (account === undefined) {
      account = new QuotaBucket(this.clock.elapsed());
      this.accounts.set(key, account);
      this.scheduleSweep();
    }
    return account;
  }

  private scheduleSweep(): void {
    this.sweep ??= this.clock.after(idleTime, () => {
      this.sweep = undefined;
      const oldest = this.clock.elapsed() - idleTime;
      this.accounts.forEach((account, key) => {
        if (account.lastUsedAt <= oldest && !account.isRequestPending) this.accounts.delete(key);
      });
      if (this.accounts.size > 0) this.scheduleSweep();
    });
  }
}
