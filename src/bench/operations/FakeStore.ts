import {
  Emitter,
  StoreError,
  type Clock,
  type StoreChange,
  type StoreCompare,
  type StoreEntry,
  type StoreRange,
  type StoreTransactionResult,
  type StoreWatch,
  type StoreWrite,
} from '../../api/index.js';
import type { StoreCounters } from './Types.js';

interface StoredValue {
  readonly entry: StoreEntry;
  readonly leaseId?: string;
}

/** In-memory key-value store with leases on a simulated clock, with the faults of docs/design.md 1.4. */
export class FakeStore {
  /** The store serves no client. */
  public isDown = false;

  public readonly counters: StoreCounters = {
    writes: 0,
    reads: 0,
    bytes: new Map(),
    values: new Map(),
  };

  private readonly values = new Map<string, StoredValue>();

  /** Leases by id; `duration` is in seconds, and a lease that has ended has 0 as `expiresAt`. */
  private readonly leases = new Map<string, { duration: number; expiresAt: number }>();

  private readonly changes = new Emitter<StoreChange>();

  private revision = 0;

  public constructor(public readonly clock: Clock) {}

  public get(key: string): StoreEntry | undefined {
    this.counters.reads += 1;
    this.expireLeases();
    return this.values.get(key)?.entry;
  }

  public range({ prefix, limit = 0 }: StoreRange): readonly StoreEntry[] {
    this.counters.reads += 1;
    this.expireLeases();
    const keys = [...this.values.keys()].filter((key) => key.startsWith(prefix)).sort();
    return keys.slice(0, limit || keys.length).flatMap((key) => this.values.get(key)?.entry ?? []);
  }

  public transact(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): StoreTransactionResult {
    this.counters.writes += 1;
    this.expireLeases();
    const isUnchanged = compares.every(
      ({ key, modRevision }) => (this.values.get(key)?.entry.modRevision ?? 0) === modRevision,
    );
    if (!isUnchanged) {
      const present = compares.flatMap(({ key }) => this.values.get(key)?.entry ?? []);
      return { applied: false, present };
    }
    this.revision += 1;
    writes.forEach((write) => this.write(write));
    return { applied: true, revision: this.revision };
  }

  public grantLease(duration: number): string {
    this.counters.writes += 1;
    const id = `lease-${this.leases.size + 1}`;
    this.leases.set(id, { duration, expiresAt: this.clock.elapsed() + duration * 1000 });
    return id;
  }

  public keepAlive(id: string): void {
    this.counters.writes += 1;
    this.expireLeases();
    const lease = this.leases.get(id);
    if (lease === undefined || lease.expiresAt === 0) {
      throw new StoreError('the lease has expired', 'not-applied', { step: 'store.keepAlive' });
    }
    lease.expiresAt = this.clock.elapsed() + lease.duration * 1000;
  }

  public revokeLease(id: string): void {
    this.counters.writes += 1;
    const lease = this.leases.get(id);
    if (lease !== undefined) lease.expiresAt = 0;
    this.expireLeases();
  }

  public watch(prefix: string): StoreWatch {
    const ends = new Emitter<Error>();
    const matching = new Emitter<StoreChange>();
    const subscription = this.changes.event((change) => {
      if (change.entry.key.startsWith(prefix)) matching.fire(change);
    });
    return {
      onChange: matching.event,
      onEnd: ends.event,
      dispose: () => subscription.dispose(),
    };
  }

  private write(write: StoreWrite): void {
    if (write.type === 'delete') {
      this.remove(write.key);
      return;
    }
    const { key, value, lease } = write;
    const entry = { key, value, modRevision: this.revision };
    this.values.set(key, { entry, leaseId: lease });
    const [kind = ''] = key.split('/');
    const { bytes, values } = this.counters;
    bytes.set(kind, (bytes.get(kind) ?? 0) + value.byteLength);
    values.set(kind, (values.get(kind) ?? 0) + 1);
    this.changes.fire({ type: 'put', entry });
  }

  private remove(key: string): void {
    const stored = this.values.get(key);
    if (stored === undefined) return;
    this.values.delete(key);
    this.changes.fire({ type: 'delete', entry: stored.entry });
  }

  private expireLeases(): void {
    const now = this.clock.elapsed();
    const expired = [...this.leases].filter(
      ([, { expiresAt }]) => expiresAt !== 0 && expiresAt <= now,
    );
    const revoked = [...this.leases].filter(([, { expiresAt }]) => expiresAt === 0);
    [...expired, ...revoked].forEach(([id, lease]) => {
      lease.expiresAt = 0;
      this.removeValuesOf(id);
    });
  }

  private removeValuesOf(lease: string): void {
    this.values.forEach((stored, key) => {
      if (stored.leaseId === lease) this.remove(key);
    });
  }
}
