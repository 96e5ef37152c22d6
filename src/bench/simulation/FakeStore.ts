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

interface RunningWatch {
  readonly prefix: string;
  readonly changes: Emitter<StoreChange>;
  readonly ends: Emitter<Error>;
}

/** Store in memory with the faults of the platform's store. */
export class FakeStore implements Store {
  /** Calls by kind; a running watch is not a call here. */
  public readonly calls = new Map<string, number>();

  public readonly watches = new Set<RunningWatch>();

  /** Transactions whose answer is lost after, or whose request is lost before they take effect. */
  public losses: ('answer' | 'request' | 'none')[] = [];

  /** Running watches tell of nothing, as when a connection is half open. */
  public areWatchesSilent = false;

  private isDown = false;

  private revision = 0;

  private readonly entries = new Map<string, StoreEntry>();

  /** Takes the store away, which ends all watches, or brings it back. */
  public setDown(isDown: boolean): void {
    this.isDown = isDown;
    if (!isDown) return;
    const ended = [...this.watches];
    this.watches.clear();
    ended.forEach(({ ends }) => ends.fire(new Error('store is away')));
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
    const running: RunningWatch = { prefix, changes: new Emitter(), ends: new Emitter() };
    this.watches.add(running);
    return {
      onChange: running.changes.event,
      onEnd: running.ends.event,
      dispose: () => this.watches.delete(running),
    };
  }

  public dispose(): void {}

  private count(kind: string): void {
    this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1);
    if (this.isDown) throw new StoreError('store is away', 'not-applied', { step: `fake.${kind}` });
  }

  private apply(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): StoreTransactionResult {
    const isMet = compares.every(
      ({ key, modRevision }) => (this.entries.get(key)?.modRevision ?? 0) === modRevision,
    );
    if (!isMet) {
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
    if (this.areWatchesSilent) return;
    this.watches.forEach(({ prefix, changes }) => {
      if (key.startsWith(prefix)) changes.fire({ type: write.type, entry });
    });
  }
}
