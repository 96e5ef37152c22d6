import { Emitter, StoreError } from '../../common/base/index.js';
import type {
  Store,
  StoreChange,
  StoreCompare,
  StoreEntry,
  StoreRange,
  StoreTransactionResult,
  StoreWatch,
  StoreWrite,
} from '../../common/services/Types.js';

interface OpenWatch {
  readonly prefix: string;
  readonly changes: Emitter<StoreChange>;
  readonly ends: Emitter<Error>;
}

/** In-memory store without leases that simulates outages, lost messages and stalled watches. */
export class FakeStore implements Store {
  /** Number of calls by kind. Opening a watch counts as one call. */
  public readonly calls = new Map<string, number>();

  public readonly watches = new Set<OpenWatch>();

  /** What is lost in each of the next transactions; a lost answer means that the transaction took effect. */
  public losses: ('answer' | 'request' | 'none')[] = [];

  /** Watches deliver no changes, as on a half-open connection. */
  public areWatchesStalled = false;

  private isDown = false;

  private revision = 0;

  private readonly entries = new Map<string, StoreEntry>();

  /** Makes the store unavailable, which ends all watches, or available again. */
  public setDown(isDown: boolean): void {
    this.isDown = isDown;
    if (!isDown) return;
    const ended = [...this.watches];
    this.watches.clear();
    ended.forEach(({ ends }) => ends.fire(new Error('store is unavailable')));
  }

  public async get(key: string): Promise<StoreEntry | undefined> {
    this.count('get');
    return Promise.resolve(this.entries.get(key));
  }

  public async range({ prefix }: StoreRange): Promise<readonly StoreEntry[]> {
    this.count('range');
    const keys = [...this.entries.keys()].filter((key) => key.startsWith(prefix)).sort();
    return Promise.resolve(keys.map((key) => this.entries.get(key) as StoreEntry));
  }

  public async transact(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): Promise<StoreTransactionResult> {
    this.count('transact');
    const loss = this.losses.shift() ?? 'none';
    const result = loss === 'request' ? undefined : this.apply(compares, writes);
    if (loss === 'none' && result !== undefined) return Promise.resolve(result);
    throw new StoreError('answer lost', 'unknown', { step: 'fake.transact' });
  }

  public grantLease(): Promise<string> {
    return Promise.reject(new Error('not used'));
  }

  public keepAlive(): Promise<void> {
    return Promise.reject(new Error('not used'));
  }

  public revokeLease(): Promise<void> {
    return Promise.reject(new Error('not used'));
  }

  public watch(prefix: string): StoreWatch {
    this.count('watch');
    const opened: OpenWatch = { prefix, changes: new Emitter(), ends: new Emitter() };
    this.watches.add(opened);
    return {
      onChange: opened.changes.event,
      onEnd: opened.ends.event,
      dispose: () => this.watches.delete(opened),
    };
  }

  public dispose(): void {}

  private count(kind: string): void {
    this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1);
    if (this.isDown)
      throw new StoreError('store is unavailable', 'not-applied', { step: `fake.${kind}` });
  }

  private apply(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): StoreTransactionResult {
    const isUnchanged = compares.every(
      ({ key, modRevision }) => (this.entries.get(key)?.modRevision ?? 0) === modRevision,
    );
    if (!isUnchanged) {
      return {
        applied: false,
        present: compares.flatMap(({ key }) => this.entries.get(key) ?? []),
      };
    }
    this.revision += 1;
    writes.forEach((write) => this.write(write));
    return { applied: true, revision: this.revision };
  }

  private write(write: StoreWrite): void {
    const { key } = write;
    const value = write.type === 'put' ? write.value : new Uint8Array();
    const entry: StoreEntry = { key, value, modRevision: this.revision };
    if (write.type === 'put') this.entries.set(key, entry);
    else this.entries.delete(key);
    if (this.areWatchesStalled) return;
    this.watches.forEach(({ prefix, changes }) => {
      if (key.startsWith(prefix)) changes.fire({ type: write.type, entry });
    });
  }
}
