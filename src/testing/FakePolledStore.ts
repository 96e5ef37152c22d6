import { StoreError } from '../api/index.js';
import type {
  StoreCompare,
  StoreTransactionResult,
  StoreWrite,
  Clock,
  Disposable,
  StoreChange,
  StoreEntry,
} from '../api/index.js';
import { RevisionCompactedError, LeaseExpiredError } from '../common/fleet/errors.js';
import type { PolledStore, StoreChanges, StoreSnapshot } from '../common/fleet/Types.js';

interface StoredChange extends StoreChange {
  readonly revision: number;
}

interface HeldEntry extends StoreEntry {
  readonly lease: string | undefined;
}

/** Faults that a test can switch on. */
export interface FakeStoreFaults {
  /** Every call fails and nothing is done. */
  isDown: boolean;
  /** Writes are done and their answers are lost. */
  losesAnswers: boolean;
  /** Polls never end, as on a connection that has gone silent. */
  isSilent: boolean;
}

/** Store in memory for tests: conditional writes, leases on a clock, polled changes, faults. */
export class FakePolledStore implements PolledStore {
  public readonly faults: FakeStoreFaults = {
    isDown: false,
    losesAnswers: false,
    isSilent: false,
  };

  /** Calls so far by kind. */
  public readonly calls: Record<string, number> = {};

  private readonly entries = new Map<string, HeldEntry>();

  private readonly leases = new Map<string, { readonly time: number; due: number }>();

  private history: StoredChange[] = [];

  private discardedUpTo = 0;

  private revision = 1;

  private nextLease = 1;

  private waiters = new Set<() => void>();

  public constructor(private readonly clock: Clock) {}

  /** Value of a key as text. */
  public text(key: string): string | undefined {
    this.expire();
    const entry = this.entries.get(key);
    return entry === undefined ? undefined : new TextDecoder().decode(entry.value);
  }

  /** Writes a key as the operator or another daemon would. */
  public put(key: string, value: string | Uint8Array, lease?: string): number {
    this.revision += 1;
    const content = typeof value === 'string' ? new TextEncoder().encode(value) : value;
    const entry = { key, value: content, modRevision: this.revision, lease };
    this.entries.set(key, entry);
    this.note({ type: 'put', entry, revision: this.revision });
    return this.revision;
  }

  /** Removes a key as if its lease had been taken away. */
  public remove(key: string): void {
    if (!this.entries.delete(key)) return;
    this.revision += 1;
    const entry = { key, value: new Uint8Array(), modRevision: this.revision };
    this.note({ type: 'delete', entry, revision: this.revision });
  }

  /** Forgets the changes so far. */
  public compact(): void {
    this.history = [];
    this.discardedUpTo = this.revision;
  }

  /** Ends a lease as its lapse would. */
  public lapse(lease: string): void {
    this.leases.delete(lease);
    this.entries.forEach((entry, key) => {
      if (entry.lease === lease) this.remove(key);
    });
  }

  /** Ends all leases without notice. */
  public revokeAll(): void {
    [...this.leases.keys()].forEach((lease) => this.lapse(lease));
  }

  public async get(key: string): Promise<StoreEntry | undefined> {
    this.begin('get');
    return this.entries.get(key);
  }

  public async snapshot(prefix: string): Promise<StoreSnapshot> {
    this.begin('range');
    const entries = [...this.entries.values()].filter(({ key }) => key.startsWith(prefix));
    return { entries, revision: this.revision };
  }

  public async changes(
    prefix: string,
    after: number,
    wait: number,
    signal: AbortSignal,
  ): Promise<StoreChanges> {
    this.begin('watch');
    const found = this.find(prefix, after);
    if (found.length === 0 || this.faults.isSilent) await this.waitForChange(prefix, wait, signal);
    if (signal.aborted) throw this.error('aborted', 'unknown');
    const changes = this.find(prefix, after);
    return { changes, revision: this.revision };
  }

  public async transact(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): Promise<StoreTransactionResult> {
    this.begin('transact');
    const isLapsed = writes.some(
      (write) => write.type === 'put' && write.lease !== undefined && !this.leases.has(write.lease),
    );
    if (isLapsed) throw new LeaseExpiredError('no such lease', 'not-applied', { step: 'fake' });
    const conflicts = compares.some(
      ({ key, modRevision }) => (this.entries.get(key)?.modRevision ?? 0) !== modRevision,
    );
    if (conflicts) {
      return {
        applied: false,
        present: compares.flatMap(({ key }) => this.entries.get(key) ?? []),
      };
    }
    writes.forEach((write) => {
      if (write.type === 'delete') this.remove(write.key);
      else this.put(write.key, write.value, write.lease);
    });
    if (this.faults.losesAnswers) throw this.error('answer lost', 'unknown');
    return { applied: true, revision: this.revision };
  }

  public async grantLease(duration: number): Promise<string> {
    this.begin('grant');
    const lease = String(this.nextLease);
    this.nextLease += 1;
    const time = duration * 1_000;
    this.leases.set(lease, { time, due: this.clock.elapsed() + time });
    return lease;
  }

  public async keepAlive(lease: string): Promise<void> {
    this.begin('keep');
    const held = this.leases.get(lease);
    if (held === undefined) {
      throw new LeaseExpiredError('no such lease', 'not-applied', { step: 'fake' });
    }
    held.due = this.clock.elapsed() + held.time;
  }

  public async revokeLease(lease: string): Promise<void> {
    this.begin('revoke');
    this.lapse(lease);
  }

  public dispose(): void {
    this.wakeAll();
  }

  private begin(call: string): void {
    this.calls[call] = (this.calls[call] ?? 0) + 1;
    if (this.faults.isDown) throw this.error('the store is down', 'not-applied');
    this.expire();
  }

  private error(message: string, outcome: 'not-applied' | 'unknown'): StoreError {
    return new StoreError(message, outcome, { step: 'fake' });
  }

  private expire(): void {
    this.leases.forEach(({ due }, lease) => {
      if (due < this.clock.elapsed()) this.lapse(lease);
    });
  }

  private find(prefix: string, after: number): StoredChange[] {
    if (after < this.discardedUpTo) {
      throw new RevisionCompactedError('history is gone', 'not-applied', { step: 'fake' });
    }
    return this.history.filter(
      ({ entry, revision }) => revision > after && entry.key.startsWith(prefix),
    );
  }

  private note(change: StoredChange): void {
    this.history.push(change);
    this.wakeAll();
  }

  private wakeAll(): void {
    if (this.faults.isSilent) return;
    this.waiters.forEach((wake) => wake());
  }

  private waitForChange(prefix: string, wait: number, signal: AbortSignal): Promise<void> {
    const from = this.revision;
    return new Promise((resolve) => {
      const timers: Disposable[] = [];
      const isHit = (): boolean =>
        this.history.some(({ entry, revision }) => revision > from && entry.key.startsWith(prefix));
      const wake = (isEnded = isHit()): void => {
        if (!isEnded) return;
        timers.forEach((timer) => timer.dispose());
        this.waiters.delete(wake);
        resolve();
      };
      if (!this.faults.isSilent) timers.push(this.clock.after(wait, () => wake(true)));
      this.waiters.add(wake);
      signal.addEventListener('abort', () => wake(true), { once: true });
    });
  }
}
