import { brandAs, Emitter, StoreError } from '../api/index.js';
import type {
  StoreCompare,
  StoreTransactionResult,
  StoreWrite,
  Clock,
  Disposable,
  StoreChange,
  StoreEntry,
  StoreEpoch,
} from '../api/index.js';
import { RevisionCompactedError, LeaseExpiredError } from '../common/fleet/errors.js';
import type { StorePosition } from '../common/fleet/StorePosition.js';
import type { PolledStore, StoreChanges, StoreSnapshot } from '../common/fleet/Types.js';

interface StoredChange extends StoreChange {
  readonly revision: number;
}

interface LeasedEntry extends StoreEntry {
  readonly lease: string | undefined;
}

/** Faults that a test can enable. */
export interface FakeStoreFaults {
  /** Every call fails and is not applied. */
  isDown: boolean;
  /** Transactions are applied but their responses are lost. */
  losesAnswers: boolean;
  /** Polls never return, as on a connection whose peer has become unresponsive. */
  isUnresponsive: boolean;
}

/** Older copy of the store's content. */
export interface FakeStoreCopy {
  readonly entries: ReadonlyMap<string, LeasedEntry>;
  readonly leases: ReadonlyMap<string, { readonly durationMs: number }>;
  readonly revision: number;
  readonly nextLease: number;
}

/** In-memory store for tests with conditional writes, leases, polled changes and fault injection. */
export class FakePolledStore implements PolledStore {
  public readonly faults: FakeStoreFaults = {
    isDown: false,
    losesAnswers: false,
    isUnresponsive: false,
  };

  /** Number of calls by kind. */
  public readonly callCounts: Record<string, number> = {};

  private readonly entries = new Map<string, LeasedEntry>();

  private readonly leases = new Map<string, { readonly durationMs: number; expiresAt: number }>();

  private history: StoredChange[] = [];

  private compactedRevision = 0;

  private revision = 1;

  private nextLease = 1;

  private currentEpoch = brandAs<StoreEpoch>(1);

  private announcedEpoch: StoreEpoch | undefined;

  private readonly epochEmitter = new Emitter<StoreEpoch>();

  public readonly onEpoch = this.epochEmitter.event;

  private waiters = new Set<() => void>();

  public constructor(private readonly clock: Clock) {}

  /** Revision of the last change. */
  public get lastRevision(): number {
    return this.revision;
  }

  /** Rises each time the store comes back from an older copy. */
  public get epoch(): StoreEpoch {
    return this.currentEpoch;
  }

  /** Copy of the content for `restore`. */
  public copy(): FakeStoreCopy {
    const { revision, nextLease } = this;
    return { entries: new Map(this.entries), leases: new Map(this.leases), revision, nextLease };
  }

  /** Goes back to an older copy: later changes and leases are gone, and their numbers are given out again. */
  public restore({ entries, leases, revision, nextLease }: FakeStoreCopy): void {
    this.currentEpoch = brandAs<StoreEpoch>(this.currentEpoch + 1);
    this.entries.clear();
    entries.forEach((entry, key) => this.entries.set(key, entry));
    this.leases.clear();
    leases.forEach(({ durationMs }, lease) => {
      this.leases.set(lease, { durationMs, expiresAt: this.clock.elapsed() + durationMs });
    });
    this.revision = revision;
    this.nextLease = nextLease;
    this.compact();
  }

  /** Value of a key decoded as UTF-8, or `undefined` if the key does not exist. */
  public getText(key: string): string | undefined {
    this.expireLeases();
    const entry = this.entries.get(key);
    return entry === undefined ? undefined : new TextDecoder().decode(entry.value);
  }

  /** Writes a key like an operator or another daemon and returns the new revision. */
  public put(key: string, value: string | Uint8Array, lease?: string): number {
    this.revision += 1;
    const content = typeof value === 'string' ? new TextEncoder().encode(value) : value;
    const entry = { key, value: content, modRevision: this.revision, lease };
    this.entries.set(key, entry);
    this.recordChange({ type: 'put', entry, revision: this.revision });
    return this.revision;
  }

  /** Deletes a key, as when its lease is revoked. */
  public remove(key: string): void {
    if (!this.entries.delete(key)) return;
    this.revision += 1;
    const entry = { key, value: new Uint8Array(), modRevision: this.revision };
    this.recordChange({ type: 'delete', entry, revision: this.revision });
  }

  /** Discards the change history. */
  public compact(): void {
    this.history = [];
    this.compactedRevision = this.revision;
  }

  /** Ends a lease and deletes its keys. */
  public expireLease(lease: string): void {
    this.leases.delete(lease);
    this.entries.forEach((entry, key) => {
      if (entry.lease === lease) this.remove(key);
    });
  }

  /** Ends all leases without notifying their holders. */
  public revokeAllLeases(): void {
    [...this.leases.keys()].forEach((lease) => this.expireLease(lease));
  }

  public async get(key: string): Promise<StoreEntry | undefined> {
    this.startCall('get');
    return this.entries.get(key);
  }

  public async snapshot(prefix: string): Promise<StoreSnapshot> {
    this.startCall('range');
    const entries = [...this.entries.values()].filter(({ key }) => key.startsWith(prefix));
    return { entries, epoch: this.epoch, revision: this.revision };
  }

  public async changes(
    prefix: string,
    after: StorePosition,
    wait: number,
    signal: AbortSignal,
  ): Promise<StoreChanges> {
    this.startCall('watch');
    const found = this.changesAfter(prefix, after);
    if (found.length === 0 || this.faults.isUnresponsive)
      await this.waitForChange(prefix, wait, signal);
    if (signal.aborted) throw this.createError('aborted', 'unknown');
    const changes = this.changesAfter(prefix, after);
    return { changes, epoch: this.epoch, revision: this.revision };
  }

  public async transact(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): Promise<StoreTransactionResult> {
    this.startCall('transact');
    const isLeaseExpired = writes.some(
      (write) => write.type === 'put' && write.lease !== undefined && !this.leases.has(write.lease),
    );
    if (isLeaseExpired)
      throw new LeaseExpiredError('the lease does not exist', 'not-applied', { step: 'fake' });
    const hasConflict = compares.some(
      ({ key, modRevision }) => (this.entries.get(key)?.modRevision ?? 0) !== modRevision,
    );
    if (hasConflict) {
      return {
        applied: false,
        present: compares.flatMap(({ key }) => this.entries.get(key) ?? []),
      };
    }
    writes.forEach((write) => {
      if (write.type === 'delete') this.remove(write.key);
      else this.put(write.key, write.value, write.lease);
    });
    if (this.faults.losesAnswers) throw this.createError('the response was lost', 'unknown');
    return { applied: true, revision: this.revision };
  }

  public async grantLease(duration: number): Promise<string> {
    this.startCall('grant');
    const lease = String(this.nextLease);
    this.nextLease += 1;
    const durationMs = duration * 1_000;
    this.leases.set(lease, {
      durationMs,
      expiresAt: this.clock.elapsed() + durationMs,
    });
    return lease;
  }

  public async keepAlive(lease: string): Promise<void> {
    this.startCall('keep');
    const leaseState = this.leases.get(lease);
    if (leaseState === undefined) {
      throw new LeaseExpiredError('the lease does not exist', 'not-applied', { step: 'fake' });
    }
    leaseState.expiresAt = this.clock.elapsed() + leaseState.durationMs;
  }

  public dispose(): void {
    this.notifyWaiters();
  }

  private startCall(call: string): void {
    this.callCounts[call] = (this.callCounts[call] ?? 0) + 1;
    if (this.faults.isDown) throw this.createError('the store is down', 'not-applied');
    this.expireLeases();
    if (this.announcedEpoch === this.epoch) return;
    this.announcedEpoch = this.epoch;
    this.epochEmitter.fire(this.epoch);
  }

  private createError(message: string, outcome: 'not-applied' | 'unknown'): StoreError {
    return new StoreError(message, outcome, { step: 'fake' });
  }

  private expireLeases(): void {
    this.leases.forEach(({ expiresAt }, lease) => {
      if (expiresAt < this.clock.elapsed()) this.expireLease(lease);
    });
  }

  private changesAfter(prefix: string, { epoch, revision: after }: StorePosition): StoredChange[] {
    if (epoch !== this.epoch || after < this.compactedRevision || after > this.revision) {
      throw new RevisionCompactedError('the requested changes have been compacted', 'not-applied', {
        step: 'fake',
      });
    }
    return this.history.filter(
      ({ entry, revision }) => revision > after && entry.key.startsWith(prefix),
    );
  }

  private recordChange(change: StoredChange): void {
    this.history.push(change);
    this.notifyWaiters();
  }

  private notifyWaiters(): void {
    if (this.faults.isUnresponsive) return;
    this.waiters.forEach((wake) => wake());
  }

  private waitForChange(prefix: string, wait: number, signal: AbortSignal): Promise<void> {
    const from = this.revision;
    return new Promise((resolve) => {
      const timers: Disposable[] = [];
      const hasMatchingChange = (): boolean =>
        this.history.some(({ entry, revision }) => revision > from && entry.key.startsWith(prefix));
      const wake = (isEnded = hasMatchingChange()): void => {
        if (!isEnded) return;
        timers.forEach((timer) => timer.dispose());
        this.waiters.delete(wake);
        resolve();
      };
      if (!this.faults.isUnresponsive) timers.push(this.clock.after(wait, () => wake(true)));
      this.waiters.add(wake);
      signal.addEventListener('abort', () => wake(true), { once: true });
    });
  }
}
