import {
  DisposableStore,
  FleetError,
  type Clock,
  type DaemonId,
  type Disposable,
  type LogSink,
} from '../base/index.js';
import { RevisionCompactedError } from './errors.js';
import { RelaySelector, type ChangeSource } from './RelaySelector.js';
import { StoreMirror } from './StoreMirror.js';
import type { PolledStore, StoreChanges, StoreSnapshot } from './Types.js';

/**
 * Shares of the maximum staleness. A relay that the store does not answer is noticed at its maximum age, which is more
 * than the store holds a poll, and at the end of a poll that the relay holds; the rest is for the next source to answer.
 */
const staleness = { storeWait: 0.4, maxAge: 0.65, relayWait: 0.25 } as const;

/** A response of a relay with the milliseconds since the store confirmed it. */
export type Aged<Content> = Content & { readonly age: number };

/** Calls to the daemons that relay changes. Each throws `FleetError` if the relay does not respond in time. */
export interface RelayClient {
  snapshot(daemon: DaemonId, prefix: string): Promise<Aged<StoreSnapshot>>;
  /** Throws `RevisionCompactedError` if the relay no longer knows the changes. */
  changes(
    daemon: DaemonId,
    prefix: string,
    after: number,
    wait: number,
    signal: AbortSignal,
  ): Promise<Aged<StoreChanges>>;
}

/** Settings and dependencies of a relayed store. */
export interface RelayedStoreSettings {
  /**
   * Milliseconds after a change of a prefix within which this daemon knows it although its relay has failed or was cut
   * from the store. Shorter means more polls.
   */
  readonly maxStaleness: (prefix: string) => number;
  readonly self: DaemonId;
  readonly store: Pick<PolledStore, 'snapshot' | 'changes'>;
  readonly relays: RelayClient;
  /** Daemons of this data centre that can relay, this one included. */
  readonly candidates: () => readonly DaemonId[];
  readonly clock: Clock;
  readonly log: LogSink;
}

/** Read that failed. */
interface FailedRead {
  readonly source: ChangeSource;
  /** Time of the call. */
  readonly startedAt: number;
  readonly error: unknown;
}

function nameOf(source: ChangeSource): string {
  return source.type === 'store' ? 'store' : source.daemon;
}

/** State of one prefix that this daemon reads. */
interface PrefixState {
  readonly mirror: StoreMirror;
  readonly selector: RelaySelector;
  readonly maxStaleness: number;
  lastSource: string;
  /** Milliseconds since the store had confirmed the state that the last successful read replaced. */
  previousAge: number;
}

/** Last successful read of a prefix. */
export interface LastRead {
  /** Id of a daemon, or `store`. */
  readonly source: string;
  /** Milliseconds since the store had confirmed the state that it replaced; no change in it is older. */
  readonly previousAge: number;
}

/**
 * Reads of the store that go to a relay in this data centre where there is one, so that the calls to the store and the
 * traffic to its region grow with the number of data centres instead of the number of daemons. The state of each prefix
 * is mirrored, so that this daemon can be a relay itself.
 */
export class RelayedStore implements Pick<PolledStore, 'snapshot' | 'changes'>, Disposable {
  private readonly prefixes = new Map<string, PrefixState>();

  private readonly disposables = new DisposableStore();

  public constructor(private readonly settings: RelayedStoreSettings) {}

  public async snapshot(prefix: string): Promise<StoreSnapshot> {
    const state = this.stateOf(prefix);
    const { mirror, selector } = state;
    // A process that has just started knows no revision by which it could tell that a relay is behind.
    const source: ChangeSource =
      mirror.revision === undefined ? { type: 'store' } : selector.choose();
    return this.read(prefix, source, async () => {
      const snapshot =
        source.type === 'store'
          ? { ...(await this.settings.store.snapshot(prefix)), age: 0 }
          : await this.settings.relays.snapshot(source.daemon, prefix);
      const isBehind = snapshot.revision < (mirror.revision ?? 0);
      this.check(state, source, isBehind ? Infinity : snapshot.age);
      state.previousAge = mirror.age;
      mirror.replace(snapshot, snapshot.age);
      return snapshot;
    });
  }

  /** Waits for changes at most as long as the current source holds a poll, `wait` at the most. */
  public async changes(
    prefix: string,
    after: number,
    wait: number,
    signal: AbortSignal,
  ): Promise<StoreChanges> {
    const state = this.stateOf(prefix);
    const { mirror, selector, maxStaleness } = state;
    const source = selector.choose();
    return this.read(prefix, source, async () => {
      const { store, relays } = this.settings;
      const share = source.type === 'store' ? staleness.storeWait : staleness.relayWait;
      const held = Math.min(wait, Math.round(share * maxStaleness));
      const changes =
        source.type === 'store'
          ? { ...(await store.changes(prefix, after, held, signal)), age: 0 }
          : await relays.changes(source.daemon, prefix, after, held, signal);
      this.check(state, source, changes.age);
      state.previousAge = mirror.age;
      mirror.add(changes, changes.age);
      return changes;
    });
  }

  /** Mirror of a prefix for a daemon that follows this one; undefined if this daemon does not read the prefix. */
  public mirrorForFollower(prefix: string): StoreMirror | undefined {
    const state = this.prefixes.get(prefix);
    state?.selector.recordFollower();
    return state?.mirror;
  }

  /** Milliseconds since the store confirmed the known state of a prefix; infinite before the first snapshot. */
  public ageOf(prefix: string): number {
    return this.prefixes.get(prefix)?.mirror.age ?? Infinity;
  }

  /** Last successful read of a prefix; undefined before the first one. */
  public lastRead(prefix: string): LastRead | undefined {
    const state = this.prefixes.get(prefix);
    if (state?.mirror.revision === undefined) return undefined;
    return { source: state.lastSource, previousAge: state.previousAge };
  }

  /** Entries of a prefix as last read; undefined before the first snapshot. */
  public known(prefix: string): StoreSnapshot | undefined {
    return this.prefixes.get(prefix)?.mirror.snapshot;
  }

  public dispose(): void {
    this.disposables.dispose();
  }

  private stateOf(prefix: string): PrefixState {
    let state = this.prefixes.get(prefix);
    if (state === undefined) {
      const { self, candidates, clock } = this.settings;
      state = {
        mirror: this.disposables.add(new StoreMirror(clock)),
        selector: new RelaySelector(self, prefix, candidates, clock),
        maxStaleness: this.settings.maxStaleness(prefix),
        lastSource: '',
        previousAge: Infinity,
      };
      this.prefixes.set(prefix, state);
    }
    return state;
  }

  private async read<Result>(
    prefix: string,
    source: ChangeSource,
    call: () => Promise<Result>,
  ): Promise<Result> {
    const state = this.stateOf(prefix);
    this.logSource(prefix, state, source);
    const startedAt = this.settings.clock.elapsed();
    try {
      const result = await call();
      state.selector.recordSuccess(source);
      return result;
    } catch (error) {
      // After a compaction the same source has the whole state.
      if (!(error instanceof RevisionCompactedError)) state.selector.recordFailure(source);
      this.logFailure(prefix, state, { source, startedAt, error });
      throw error;
    }
  }

  private logFailure(
    prefix: string,
    { mirror }: PrefixState,
    { source, startedAt, error }: FailedRead,
  ): void {
    this.settings.log.write({
      level: 'info',
      kind: 'membership',
      message: 'could not read the changes of the store from a source',
      fields: {
        step: 'fleet.relay',
        prefix,
        source: nameOf(source),
        duration: Math.round(this.settings.clock.elapsed() - startedAt),
        revision: mirror.revision,
        age: Math.round(mirror.age),
        error: String(error),
      },
    });
  }

  private check({ maxStaleness }: PrefixState, source: ChangeSource, age: number): void {
    if (source.type === 'store' || age <= staleness.maxAge * maxStaleness) return;
    throw new FleetError(`the relay's state is ${Math.round(age)} ms old`, {
      step: 'fleet.relay',
      peer: source.daemon,
    });
  }

  private logSource(prefix: string, state: PrefixState, source: ChangeSource): void {
    const name = nameOf(source);
    if (name === state.lastSource) return;
    this.settings.log.write({
      level: 'info',
      kind: 'membership',
      message: 'reads the changes of the store from another source',
      fields: {
        step: 'fleet.relay',
        prefix,
        source: name,
        before: state.lastSource,
        revision: state.mirror.revision,
      },
    });
    state.lastSource = name;
  }
}
