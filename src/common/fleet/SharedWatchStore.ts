import { DisposableStore, Emitter } from '../base/index.js';
import type { Store, StoreChange, StoreEntry, StoreRange, StoreWatch } from '../services/Types.js';
import type { PrefixWatcher } from './PrefixWatcher.js';
import type { PolledStore, StoreSnapshot } from './Types.js';

/** Store operations that record owners need: reads, conditional writes and watches. */
export type RecordStore = Pick<Store, 'get' | 'range' | 'transact' | 'watch'>;

/** Store whose watches share one `PrefixWatcher`, since separate polls would multiply the calls to the store. */
export class SharedWatchStore implements RecordStore {
  public readonly get: RecordStore['get'];

  public readonly transact: RecordStore['transact'];

  public constructor(
    store: Pick<PolledStore, 'get' | 'transact'>,
    private readonly watcher: Pick<PrefixWatcher, 'onChanges' | 'onSnapshot'>,
    /** Entries that the watcher has delivered so far; undefined before its first snapshot. */
    private readonly known: () => StoreSnapshot | undefined,
  ) {
    this.get = (key) => store.get(key);
    this.transact = (compares, writes) => store.transact(compares, writes);
  }

  /** Entries that are known here, since a watch also delivers those of the first snapshot. */
  public range({ prefix }: StoreRange): Promise<readonly StoreEntry[]> {
    const entries = this.known()?.entries ?? [];
    return Promise.resolve(entries.filter(({ key }) => key.startsWith(prefix)));
  }

  /** Delivers the changes under `prefix`, and all entries after each new snapshot of the watcher. */
  public watch(prefix: string): StoreWatch {
    const disposables = new DisposableStore();
    const changes = disposables.add(new Emitter<StoreChange>());
    const ends = disposables.add(new Emitter<Error>());
    disposables.add(
      this.watcher.onChanges((all) => {
        all
          .filter(({ entry }) => entry.key.startsWith(prefix))
          .forEach((change) => changes.fire(change));
      }),
    );
    disposables.add(
      this.watcher.onSnapshot(({ entries }) => {
        entries
          .filter(({ key }) => key.startsWith(prefix))
          .forEach((entry) => changes.fire({ type: 'put', entry }));
      }),
    );
    return {
      onChange: changes.event,
      onEnd: ends.event,
      dispose: () => disposables.dispose(),
    };
  }
}
