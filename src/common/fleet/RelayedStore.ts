import {
  DisposableStore,
  Emitter,
  type DaemonId,
  type Disposable,
  type StoreEpoch,
} from '../base/index.js';
import { PrefixReader, type LastRead, type PrefixReaderSettings } from './PrefixReader.js';
import type { StoreMirror } from './StoreMirror.js';
import type { StorePosition } from './StorePosition.js';
import type { PolledStore, StoreChanges, StoreSnapshot } from './Types.js';

/** Settings and dependencies of a relayed store. */
export interface RelayedStoreSettings extends Omit<
  PrefixReaderSettings,
  'prefix' | 'maxStaleness'
> {
  /** `maxStaleness` of the reader of a prefix. */
  readonly maxStaleness: (prefix: string) => number;
}

/**
 * Reads of the store that go to a relay in this data centre where there is one, so that the calls to the store and the
 * traffic to its region grow with the number of data centres instead of the number of daemons. The state of each prefix
 * is mirrored, so that this daemon can be a relay itself.
 */
export class RelayedStore implements Pick<PolledStore, 'snapshot' | 'changes'>, Disposable {
  private readonly readers = new Map<string, PrefixReader>();

  private readonly disposables = new DisposableStore();

  private readonly epochEmitter = this.disposables.add(new Emitter<StoreEpoch>());

  /** Fires when a prefix was read in a later epoch than before. */
  public readonly onEpoch = this.epochEmitter.event;

  public constructor(private readonly settings: RelayedStoreSettings) {}

  public snapshot(prefix: string): Promise<StoreSnapshot> {
    return this.readerOf(prefix).snapshot();
  }

  public changes(
    prefix: string,
    after: StorePosition,
    wait: number,
    signal: AbortSignal,
  ): Promise<StoreChanges> {
    return this.readerOf(prefix).changes(after, wait, signal);
  }

  /** Reports that a daemon has a newer state, so that the next read does not wait for the usual source. */
  public reportNewer(prefix: string, holder: DaemonId | undefined): void {
    this.readerOf(prefix).reportNewer(holder);
  }

  /**
   * Mirror of a prefix for a daemon that polls this one; undefined if this daemon does not read the prefix. A daemon that
   * polls several ones follows only the first.
   */
  public mirrorForFollower(prefix: string, isFollowed: boolean): StoreMirror | undefined {
    const reader = this.readers.get(prefix);
    if (isFollowed) reader?.recordFollower();
    return reader?.mirror;
  }

  /** Milliseconds since the store confirmed the known state of a prefix; infinite before the first snapshot. */
  public ageOf(prefix: string): number {
    return this.readers.get(prefix)?.mirror.age ?? Infinity;
  }

  /** Last successful read of a prefix; undefined before the first one. */
  public lastRead(prefix: string): LastRead | undefined {
    return this.readers.get(prefix)?.lastRead;
  }

  /** Entries of a prefix as last read; undefined before the first snapshot. */
  public known(prefix: string): StoreSnapshot | undefined {
    return this.readers.get(prefix)?.mirror.snapshot;
  }

  public dispose(): void {
    this.disposables.dispose();
  }

  private readerOf(prefix: string): PrefixReader {
    let reader = this.readers.get(prefix);
    if (reader === undefined) {
      const maxStaleness = this.settings.maxStaleness(prefix);
      reader = new PrefixReader({ ...this.settings, prefix, maxStaleness });
      this.disposables.add(reader);
      this.disposables.add(reader.onEpoch((epoch) => this.epochEmitter.fire(epoch)));
      this.readers.set(prefix, reader);
    }
    return reader;
  }
}
