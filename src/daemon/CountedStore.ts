import type {
  Store,
  StoreCompare,
  StoreEntry,
  StoreRange,
  StoreTransactionResult,
  StoreWatch,
  StoreWrite,
} from '../api/index.js';

/** Kinds of store calls that the platform counts. */
export type StoreCall = 'read' | 'write' | 'lease' | 'watch';

/** Store that counts the calls to another store by kind. */
export class CountedStore implements Store {
  private readonly callCounts: Record<StoreCall, number> = {
    read: 0,
    write: 0,
    lease: 0,
    watch: 0,
  };

  public constructor(private readonly store: Store) {}

  /** Calls so far by kind. */
  public get calls(): Readonly<Record<StoreCall, number>> {
    return this.callCounts;
  }

  public get(key: string): Promise<StoreEntry | undefined> {
    return this.count('read', this.store.get(key));
  }

  public range(range: StoreRange): Promise<readonly StoreEntry[]> {
    return this.count('read', this.store.range(range));
  }

  public transact(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): Promise<StoreTransactionResult> {
    return this.count('write', this.store.transact(compares, writes));
  }

  public grantLease(duration: number): Promise<string> {
    return this.count('lease', this.store.grantLease(duration));
  }

  public keepAlive(lease: string): Promise<void> {
    return this.count('lease', this.store.keepAlive(lease));
  }

  public revokeLease(lease: string): Promise<void> {
    return this.count('lease', this.store.revokeLease(lease));
  }

  public watch(prefix: string): StoreWatch {
    this.callCounts.watch += 1;
    return this.store.watch(prefix);
  }

  public dispose(): void {
    this.store.dispose();
  }

  private count<Result>(kind: StoreCall, call: Promise<Result>): Promise<Result> {
    this.callCounts[kind] += 1;
    return call;
  }
}
