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
  readonly lease?: string;
}

/** Key-value store in memory on a simulated clock, with the faults of docs/design.md 1.4. */
export class FakeStore {
  /** Nobody is served. */
  public isDown = false;

  public readonly counters: StoreCounters = {
    writes: 0,
    reads: 0,
    bytes: new Map(),
    values: new Map(),
  };

  private readonly values = new Map<string, StoredValue>();

  private readonly leases = new Map<string, { duration: number; until: number }>();

  private readonly changes = new Emitter<StoreChange>();

  private revision = 0;

  public constructor(public readonly clock: Clock) {}

  public get(key: string): StoreEntry | undefined {
    this.counters.reads += 1;
    this.dropLapsed();
    return this.values.get(key)?.entry;
  }

  public range({ prefix, limit = 0 }: StoreRange): readonly StoreEntry[] {
    this.counters.reads += 1;
    this.dropLapsed();
    const keys = [...this.values.keys()].filter((key) => key.startsWith(prefix)).sort();
    return keys.slice(0, limit || keys.length).flatMap((key) => this.values.get(key)?.entry ?? []);
  }

  public transact(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): StoreTransactionResult {
    this.counters.writes += 1;
    this.dropLapsed();
    const isHeld = compares.every(
      ({ key, modRevision }) => (this.values.get(key)?.entry.modRevision ?? 0) === modRevision,
    );
    if (!isHeld) {
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
    this.leases.set(id, { duration, until: this.clock.elapsed() + duration * 1000 });
    return id;
  }

  public keepAlive(id: string): void {
    this.counters.writes += 1;
    this.dropLapsed();
    const lease = this.leases.get(id);
    if (lease === undefined || lease.until === 0) {
      throw new StoreError('the lease has lapsed', 'not-applied', { step: 'store.keepAlive' });
    }
    lease.until = this.clock.elapsed() + lease.duration * 1000;
  }

  public revokeLease(id: string): void {
    this.counters.writes += 1;
    const lease = this.leases.get(id);
    if (lease !== undefined) lease.until = 0;
    this.dropLapsed();
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
    this.values.set(key, { entry, lease });
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

  private dropLapsed(): void {
    const now = this.clock.elapsed();
    const lapsed = [...this.leases].filter(([, { until }]) => until !== 0 && until <= now);
    const revoked = [...this.leases].filter(([, { until }]) => until === 0);
    [...lapsed, ...revoked].forEach(([id, lease]) => {
      lease.until = 0;
      this.dropValuesOf(id);
    });
  }

  private dropValuesOf(lease: string): void {
    this.values.forEach((stored, key) => {
      if (stored.lease === lease) this.remove(key);
    });
  }
}
