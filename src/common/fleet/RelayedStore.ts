import {
  DisposableStore,
  Emitter,
  FleetError,
  type Clock,
  type DaemonId,
  type Disposable,
  type LogSink,
  type StoreEpoch,
} from '../base/index.js';
import { RevisionCompactedError } from './errors.js';
import { comparePositions, positionOf, type StorePosition } from './StorePosition.js';
import { raceStages, type RaceStage } from './raceStages.js';
import { RelaySelector, type ChangeSource } from './RelaySelector.js';
import { StoreMirror } from './StoreMirror.js';
import type { PolledStore, RelayPoll, StoreChanges, StoreSnapshot } from './Types.js';

/**
 * Shares of the maximum staleness. The store holds a poll for `storeWait`, so a state that is `outdated` shows that its
 * source gives no news. From then on further groups of sources are asked beside it, each `step` after the one before; the
 * last group still has a step left to answer.
 */
const staleness = {
  storeWait: 0.4,
  outdated: 0.55,
  step: 0.125,
  /** Times for which the groups wait at most while a response arrives: the standbys are few, the others may be many. */
  standbyPostponement: 0.5,
  maxPostponement: 2,
} as const;
/** Milliseconds after which a process that starts asks further sources for its first state. */
const startStep = 300;
/** Milliseconds after which a response that still arrives counts as a transfer of which followers are told. */
const minTransferTime = 50;
/** Milliseconds after which further sources are asked for a change that another daemon is known to have. */
const urgentStep = 150;

/** A response of a relay with the milliseconds since the store confirmed it. */
export type Aged<Content> = Content & { readonly age: number };

/** Calls to the daemons that relay changes. Each throws `FleetError` if the relay does not respond in time. */
export interface RelayClient {
  snapshot(
    daemon: DaemonId,
    prefix: string,
    signal: AbortSignal,
    onProgress: () => void,
  ): Promise<Aged<StoreSnapshot>>;
  /** Throws `RevisionCompactedError` if the relay no longer knows the changes. */
  changes(
    daemon: DaemonId,
    prefix: string,
    poll: RelayPoll,
    signal: AbortSignal,
    onProgress: () => void,
  ): Promise<Aged<StoreChanges>>;
}

/** Settings and dependencies of a relayed store. */
export interface RelayedStoreSettings {
  /**
   * Milliseconds after a change of a prefix within which this daemon knows it, if it reaches the store or a daemon that
   * does, whatever other sources have failed. Shorter means more polls.
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

/** Poll of one source. */
interface Poll {
  readonly prefix: string;
  readonly state: PrefixState;
  readonly after: StorePosition;
  /** Milliseconds for which the first source may hold the poll. */
  readonly wait: number;
  /** Source that is asked first. */
  readonly primary: ChangeSource;
  /** Whether another daemon has a newer state, so that a response without changes is of no use. */
  readonly isUrgent: boolean;
}

/** What a source answered to a poll; a snapshot if it no longer has the changes. */
type PollResult =
  | (Aged<StoreChanges> & { readonly type: 'changes' })
  | (Aged<StoreSnapshot> & { readonly type: 'snapshot' });

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
  /** Whether another daemon has a newer state, and which one if that is known. */
  isUrgent: boolean;
  holder: DaemonId | undefined;
}

/** Last successful read of a prefix. */
export interface LastRead {
  /** Id of a daemon, or `store`. */
  readonly source: string;
  /** Milliseconds since the store had confirmed the state that it replaced; no change in it is older. */
  readonly previousAge: number;
  /** Epoch of the store in which it was read. */
  readonly epoch: StoreEpoch;
}

/**
 * Reads of the store that go to a relay in this data centre where there is one, so that the calls to the store and the
 * traffic to its region grow with the number of data centres instead of the number of daemons. The state of each prefix
 * is mirrored, so that this daemon can be a relay itself.
 */
export class RelayedStore implements Pick<PolledStore, 'snapshot' | 'changes'>, Disposable {
  private readonly prefixes = new Map<string, PrefixState>();

  private readonly disposables = new DisposableStore();

  private readonly epochEmitter = this.disposables.add(new Emitter<StoreEpoch>());

  /** Fires when a prefix was read in a later epoch than before. */
  public readonly onEpoch = this.epochEmitter.event;

  public constructor(private readonly settings: RelayedStoreSettings) {}

  /** Reads all entries at first; later returns those that `changes` has read in place of the changes. */
  public async snapshot(prefix: string): Promise<StoreSnapshot> {
    const state = this.stateOf(prefix);
    const { mirror, selector } = state;
    if (mirror.snapshot !== undefined) return mirror.snapshot;
    const { signal } = new AbortController();
    const { contender, result } = await raceStages(
      this.createStages(state, selector.choose(), { firstDelay: startStep, step: startStep }),
      (source, cancelled, onProgress) =>
        this.readFirst(prefix, source, cancelled, this.trackProgress(state, onProgress)),
      this.settings.clock,
      signal,
    );
    this.recordSource(prefix, contender);
    mirror.replace(result, result.age);
    return result;
  }

  /**
   * Waits for changes at most as long as a source holds a poll, `wait` at the most. Throws `RevisionCompactedError` if all
   * entries were read instead, which `snapshot` then returns.
   */
  public async changes(
    prefix: string,
    after: StorePosition,
    wait: number,
    signal: AbortSignal,
  ): Promise<StoreChanges> {
    const state = this.stateOf(prefix);
    const { mirror, selector } = state;
    const primary = selector.choose();
    const poll: Poll = { prefix, state, after, wait, primary, isUrgent: state.isUrgent };
    const stages = this.stagesOf(poll);
    state.isUrgent = false;
    const { contender, overtaken, result } = await raceStages(
      stages,
      (source, cancelled, onProgress) =>
        this.askSource(poll, source, cancelled, this.trackProgress(state, onProgress)),
      this.settings.clock,
      signal,
    );
    overtaken.forEach((source) => {
      selector.recordFailure(source);
      this.logFailure(poll, source, 'another source answered first');
    });
    selector.recordSuccess(contender);
    this.recordSource(prefix, contender);
    state.previousAge = mirror.age;
    if (result.type === 'changes') {
      const changes = mirror.add(result, result.age);
      return { ...positionOf(result), changes };
    }
    this.replace(poll, result);
    throw new RevisionCompactedError('read all entries instead of the changes', 'not-applied', {
      step: 'fleet.relay',
      peer: nameOf(contender),
    });
  }

  /** Reports that a daemon has a newer state, so that the next read does not wait for the usual source. */
  public reportNewer(prefix: string, holder: DaemonId | undefined): void {
    const state = this.stateOf(prefix);
    state.isUrgent = true;
    state.holder = holder;
  }

  /**
   * Mirror of a prefix for a daemon that polls this one; undefined if this daemon does not read the prefix. A daemon that
   * polls several ones follows only the first.
   */
  public mirrorForFollower(prefix: string, isFollowed: boolean): StoreMirror | undefined {
    const state = this.prefixes.get(prefix);
    if (isFollowed) state?.selector.recordFollower();
    return state?.mirror;
  }

  /** Milliseconds since the store confirmed the known state of a prefix; infinite before the first snapshot. */
  public ageOf(prefix: string): number {
    return this.prefixes.get(prefix)?.mirror.age ?? Infinity;
  }

  /** Last successful read of a prefix; undefined before the first one. */
  public lastRead(prefix: string): LastRead | undefined {
    const state = this.prefixes.get(prefix);
    if (state?.mirror.position === undefined) return undefined;
    const { epoch } = state.mirror.position;
    return { source: state.lastSource, previousAge: state.previousAge, epoch };
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
        isUrgent: false,
        holder: undefined,
      };
      this.prefixes.set(prefix, state);
    }
    return state;
  }

  private stagesOf({ state, primary, isUrgent }: Poll): readonly RaceStage<ChangeSource>[] {
    const { mirror, maxStaleness, holder } = state;
    if (!isUrgent) {
      const firstDelay = staleness.outdated * maxStaleness - mirror.age;
      const step = staleness.step * maxStaleness;
      return this.createStages(state, primary, { firstDelay, step });
    }
    const [first, ...others] = this.createStages(state, primary, {
      firstDelay: 0,
      step: urgentStep,
    });
    const holders: readonly ChangeSource[] =
      holder === undefined ? [] : [{ type: 'relay', daemon: holder }];
    return [{ ...first!, contenders: () => [primary, ...holders] }, ...others];
  }

  /** `primary` and then its backups, the first after `firstDelay` milliseconds and the others each `step` later. */
  private createStages(
    { selector, maxStaleness }: PrefixState,
    primary: ChangeSource,
    { firstDelay, step }: { readonly firstDelay: number; readonly step: number },
  ): readonly RaceStage<ChangeSource>[] {
    const [standbys, ...others] = selector.backups(primary);
    const { standbyPostponement, maxPostponement } = staleness;
    return [
      { delay: 0, maxPostponement: 0, contenders: () => [primary] },
      {
        delay: Math.max(0, firstDelay),
        maxPostponement: standbyPostponement * maxStaleness,
        contenders: standbys!,
      },
      ...others.map((contenders, index) => ({
        delay: Math.max(0, firstDelay + (index + 1) * step),
        maxPostponement: maxPostponement * maxStaleness,
        contenders,
      })),
    ];
  }

  /** Passes on that a response arrives, to the race and after a moment to the daemons that poll this one. */
  private trackProgress({ mirror }: PrefixState, onProgress: () => void): () => void {
    const { clock } = this.settings;
    let firstAt: number | undefined;
    return () => {
      onProgress();
      firstAt ??= clock.elapsed();
      if (clock.elapsed() - firstAt >= minTransferTime) mirror.recordProgress();
    };
  }

  /** Reads all entries at the start of this process. */
  private async readFirst(
    prefix: string,
    source: ChangeSource,
    signal: AbortSignal,
    onProgress: () => void,
  ): Promise<Aged<StoreSnapshot>> {
    const snapshot = await this.readSnapshot(prefix, source, signal, onProgress);
    if (snapshot.age <= this.stateOf(prefix).maxStaleness) return snapshot;
    throw new FleetError(`the state is of ${Math.round(snapshot.age)} ms ago`, {
      step: 'fleet.relay',
      peer: nameOf(source),
    });
  }

  private async readSnapshot(
    prefix: string,
    source: ChangeSource,
    signal: AbortSignal,
    onProgress: () => void,
  ): Promise<Aged<StoreSnapshot>> {
    const { store, relays } = this.settings;
    return source.type === 'store'
      ? { ...(await store.snapshot(prefix, signal, onProgress)), age: 0 }
      : relays.snapshot(source.daemon, prefix, signal, onProgress);
  }

  private async askSource(
    poll: Poll,
    source: ChangeSource,
    signal: AbortSignal,
    onProgress: () => void,
  ): Promise<PollResult> {
    try {
      const result = await this.readSource(poll, source, signal, onProgress);
      this.checkNews(poll, source, result);
      return result;
    } catch (error) {
      if (!signal.aborted) {
        // In an urgent read, a source without the change may just be as late as this daemon.
        if (!poll.isUrgent) poll.state.selector.recordFailure(source);
        this.logFailure(poll, source, String(error));
      }
      throw error;
    }
  }

  private async readSource(
    poll: Poll,
    source: ChangeSource,
    signal: AbortSignal,
    onProgress: () => void,
  ): Promise<PollResult> {
    try {
      return { type: 'changes', ...(await this.pollSource(poll, source, signal, onProgress)) };
    } catch (error) {
      if (!(error instanceof RevisionCompactedError)) throw error;
      const snapshot = await this.readSnapshot(poll.prefix, source, signal, onProgress);
      return { type: 'snapshot', ...snapshot };
    }
  }

  private async pollSource(
    { prefix, state: { mirror, maxStaleness }, after, wait, primary, isUrgent }: Poll,
    source: ChangeSource,
    signal: AbortSignal,
    onProgress: () => void,
  ): Promise<Aged<StoreChanges>> {
    const { store, relays } = this.settings;
    const isPrimary = source === primary;
    if (source.type === 'store') {
      const held = isPrimary && !isUrgent ? Math.round(staleness.storeWait * maxStaleness) : 0;
      const changes = await store.changes(prefix, after, Math.min(wait, held), signal, onProgress);
      return { ...changes, age: 0 };
    }
    const held = Math.round(staleness.outdated * maxStaleness);
    const poll = { after, age: mirror.age, wait: Math.min(wait, held), isFollower: isPrimary };
    return relays.changes(source.daemon, prefix, poll, signal, onProgress);
  }

  /** Throws `FleetError` if a response neither brings anything newer nor confirms that there is nothing. */
  private checkNews(
    { state: { mirror, maxStaleness }, isUrgent }: Poll,
    source: ChangeSource,
    result: PollResult,
  ): void {
    const known = mirror.position;
    const isEarlierEpoch = known !== undefined && result.epoch < known.epoch;
    const isNewer =
      result.type === 'changes'
        ? result.changes.length > 0
        : known === undefined || comparePositions(result, known) >= 0;
    const isConfirmed =
      result.type === 'changes' && !isUrgent && result.age <= staleness.outdated * maxStaleness;
    if (!isEarlierEpoch && (isNewer || isConfirmed)) return;
    throw new FleetError(`nothing newer in a state of ${Math.round(result.age)} ms ago`, {
      step: 'fleet.relay',
      peer: nameOf(source),
    });
  }

  /** Replaces the known state by a snapshot, which may be of a later epoch. */
  private replace({ prefix, state: { mirror } }: Poll, snapshot: Aged<StoreSnapshot>): void {
    const before = mirror.snapshot;
    mirror.replace(snapshot, snapshot.age);
    if (before === undefined || snapshot.epoch <= before.epoch) return;
    const keysOf = ({ entries }: StoreSnapshot): Set<string> =>
      new Set(entries.map(({ key }) => key));
    const [old, current] = [keysOf(before), keysOf(snapshot)];
    this.settings.log.write({
      level: 'warn',
      kind: 'membership',
      message: 'the store came back from an older copy',
      fields: {
        step: 'fleet.epoch',
        prefix,
        before: before.epoch,
        epoch: snapshot.epoch,
        revisionBefore: before.revision,
        revision: snapshot.revision,
        missing: [...old].filter((key) => !current.has(key)).length,
        returned: [...current].filter((key) => !old.has(key)).length,
      },
    });
    this.epochEmitter.fire(snapshot.epoch);
  }

  private logFailure(
    { prefix, state, after, primary }: Poll,
    source: ChangeSource,
    error: string,
  ): void {
    this.settings.log.write({
      // While the store is away each read asks many backups.
      level: source === primary ? 'info' : 'debug',
      kind: 'membership',
      message: 'could not read the changes of the store from a source',
      fields: {
        step: 'fleet.relay',
        prefix,
        source: nameOf(source),
        revision: after.revision,
        age: Math.round(state.mirror.age),
        error,
      },
    });
  }

  private recordSource(prefix: string, source: ChangeSource): void {
    const state = this.stateOf(prefix);
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
        revision: state.mirror.position?.revision,
        age: Math.round(state.mirror.age),
      },
    });
    state.lastSource = name;
  }
}
