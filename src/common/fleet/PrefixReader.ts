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
import type { Aged, PolledStore, RelayClient, StoreChanges, StoreSnapshot } from './Types.js';

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

/** Settings and dependencies of a reader. */
export interface PrefixReaderSettings {
  readonly prefix: string;
  /**
   * Milliseconds after a change within which this daemon knows it, if it reaches the store or a daemon that does, whatever
   * other sources have failed. Shorter means more polls.
   */
  readonly maxStaleness: number;
  readonly self: DaemonId;
  readonly store: Pick<PolledStore, 'snapshot' | 'changes'>;
  readonly relays: RelayClient;
  /** Daemons of this data centre that can relay, this one included. */
  readonly candidates: () => readonly DaemonId[];
  readonly clock: Clock;
  readonly log: LogSink;
}

/** Last successful read. */
export interface LastRead {
  /** Id of a daemon, or `store`. */
  readonly source: string;
  /** Milliseconds since the store had confirmed the state that it replaced; no change in it is older. */
  readonly previousAge: number;
  /** Epoch of the store in which it was read. */
  readonly epoch: StoreEpoch;
}

/** One read of changes. */
interface Poll {
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

/** Reads the entries under one prefix from a relay or the store, and asks further sources as what is known grows old. */
export class PrefixReader implements Disposable {
  private readonly disposables = new DisposableStore();

  /** State that was read, for the daemons that follow this one. */
  public readonly mirror: StoreMirror;

  private readonly selector: RelaySelector;

  private readonly epochEmitter = this.disposables.add(new Emitter<StoreEpoch>());

  /** Fires when a later epoch was read than before. */
  public readonly onEpoch = this.epochEmitter.event;

  private lastSource = '';

  /** Milliseconds since the store had confirmed the state that the last successful read replaced. */
  private previousAge = Infinity;

  /** Whether another daemon has a newer state, and which one if that is known. */
  private isUrgent = false;

  private holder: DaemonId | undefined;

  public constructor(private readonly settings: PrefixReaderSettings) {
    const { self, prefix, candidates, clock } = settings;
    this.mirror = this.disposables.add(new StoreMirror(clock));
    this.selector = new RelaySelector(self, prefix, candidates, clock);
  }

  /** Last successful read; undefined before the first one. */
  public get lastRead(): LastRead | undefined {
    const { position } = this.mirror;
    if (position === undefined) return undefined;
    return { source: this.lastSource, previousAge: this.previousAge, epoch: position.epoch };
  }

  /** Reads all entries at first; later returns those that `changes` has read in place of the changes. */
  public async snapshot(): Promise<StoreSnapshot> {
    const { mirror } = this;
    const known = mirror.snapshot;
    if (known !== undefined) return known;
    const { signal } = new AbortController();
    const { contender, result } = await raceStages(
      this.createStages(this.selector.choose(), { firstDelay: startStep, step: startStep }),
      (source, cancelled, onProgress) =>
        this.readFirst(source, cancelled, this.trackProgress(onProgress)),
      this.settings.clock,
      signal,
    );
    this.recordSource(contender);
    mirror.replace(result, result.age);
    return result;
  }

  /**
   * Waits for changes at most as long as a source holds a poll, `wait` at the most. Throws `RevisionCompactedError` if all
   * entries were read instead, which `snapshot` then returns.
   */
  public async changes(
    after: StorePosition,
    wait: number,
    signal: AbortSignal,
  ): Promise<StoreChanges> {
    const { mirror, selector } = this;
    const poll: Poll = { after, wait, primary: selector.choose(), isUrgent: this.isUrgent };
    const stages = this.stagesOf(poll);
    this.isUrgent = false;
    const { contender, overtaken, result } = await raceStages(
      stages,
      (source, cancelled, onProgress) =>
        this.askSource(poll, source, cancelled, this.trackProgress(onProgress)),
      this.settings.clock,
      signal,
    );
    overtaken.forEach((source) => {
      selector.recordFailure(source);
      this.logFailure(poll, source, 'another source answered first');
    });
    selector.recordSuccess(contender);
    this.recordSource(contender);
    this.previousAge = mirror.age;
    if (result.type === 'changes') {
      const changes = mirror.add(result, result.age);
      return { ...positionOf(result), changes };
    }
    this.replace(result);
    throw new RevisionCompactedError('read all entries instead of the changes', 'not-applied', {
      step: 'fleet.relay',
      peer: nameOf(contender),
    });
  }

  /** Reports that a daemon has a newer state, so that the next read does not wait for the usual source. */
  public reportNewer(holder: DaemonId | undefined): void {
    this.isUrgent = true;
    this.holder = holder;
  }

  /** Records that another daemon follows this one. */
  public recordFollower(): void {
    this.selector.recordFollower();
  }

  public dispose(): void {
    this.disposables.dispose();
  }

  private stagesOf({ primary, isUrgent }: Poll): readonly RaceStage<ChangeSource>[] {
    const { mirror, holder } = this;
    const { maxStaleness } = this.settings;
    if (!isUrgent) {
      const firstDelay = staleness.outdated * maxStaleness - mirror.age;
      const step = staleness.step * maxStaleness;
      return this.createStages(primary, { firstDelay, step });
    }
    const [first, ...others] = this.createStages(primary, {
      firstDelay: 0,
      step: urgentStep,
    });
    const holders: readonly ChangeSource[] =
      holder === undefined ? [] : [{ type: 'relay', daemon: holder }];
    return [{ ...first!, contenders: () => [primary, ...holders] }, ...others];
  }

  /** `primary` and then its backups, the first after `firstDelay` milliseconds and the others each `step` later. */
  private createStages(
    primary: ChangeSource,
    { firstDelay, step }: { readonly firstDelay: number; readonly step: number },
  ): readonly RaceStage<ChangeSource>[] {
    const { maxStaleness } = this.settings;
    const [standbys, ...others] = this.selector.backups(primary);
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
  private trackProgress(onProgress: () => void): () => void {
    const { clock } = this.settings;
    let firstAt: number | undefined;
    return () => {
      onProgress();
      firstAt ??= clock.elapsed();
      if (clock.elapsed() - firstAt >= minTransferTime) this.mirror.recordProgress();
    };
  }

  /** Reads all entries at the start of this process. */
  private async readFirst(
    source: ChangeSource,
    signal: AbortSignal,
    onProgress: () => void,
  ): Promise<Aged<StoreSnapshot>> {
    const snapshot = await this.readSnapshot(source, signal, onProgress);
    if (snapshot.age <= this.settings.maxStaleness) return snapshot;
    throw new FleetError(`the state is of ${Math.round(snapshot.age)} ms ago`, {
      step: 'fleet.relay',
      peer: nameOf(source),
    });
  }

  private async readSnapshot(
    source: ChangeSource,
    signal: AbortSignal,
    onProgress: () => void,
  ): Promise<Aged<StoreSnapshot>> {
    const { prefix, store, relays } = this.settings;
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
        if (!poll.isUrgent) this.selector.recordFailure(source);
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
      const snapshot = await this.readSnapshot(source, signal, onProgress);
      return { type: 'snapshot', ...snapshot };
    }
  }

  private async pollSource(
    { after, wait, primary, isUrgent }: Poll,
    source: ChangeSource,
    signal: AbortSignal,
    onProgress: () => void,
  ): Promise<Aged<StoreChanges>> {
    const { prefix, maxStaleness, store, relays } = this.settings;
    const isPrimary = source === primary;
    if (source.type === 'store') {
      const held = isPrimary && !isUrgent ? Math.round(staleness.storeWait * maxStaleness) : 0;
      const changes = await store.changes(prefix, after, Math.min(wait, held), signal, onProgress);
      return { ...changes, age: 0 };
    }
    const held = Math.round(staleness.outdated * maxStaleness);
    const poll = { after, age: this.mirror.age, wait: Math.min(wait, held), isFollower: isPrimary };
    return relays.changes(source.daemon, prefix, poll, signal, onProgress);
  }

  /** Throws `FleetError` if a response neither brings anything newer nor confirms that there is nothing. */
  private checkNews({ isUrgent }: Poll, source: ChangeSource, result: PollResult): void {
    const { position } = this.mirror;
    const isUseful =
      result.type === 'snapshot'
        ? position === undefined || comparePositions(result, position) >= 0
        : result.epoch === position?.epoch &&
          (result.changes.length > 0 || (!isUrgent && this.isRecent(result)));
    if (isUseful) return;
    throw new FleetError(`nothing newer in a state of ${Math.round(result.age)} ms ago`, {
      step: 'fleet.relay',
      peer: nameOf(source),
    });
  }

  private isRecent({ age }: Aged<StoreChanges>): boolean {
    return age <= staleness.outdated * this.settings.maxStaleness;
  }

  /** Replaces the known state by a snapshot, which may be of a later epoch. */
  private replace(snapshot: Aged<StoreSnapshot>): void {
    const { mirror } = this;
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
        prefix: this.settings.prefix,
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

  private logFailure({ after, primary }: Poll, source: ChangeSource, error: string): void {
    this.settings.log.write({
      // While the store is away each read asks many backups.
      level: source === primary ? 'info' : 'debug',
      kind: 'membership',
      message: 'could not read the changes of the store from a source',
      fields: {
        step: 'fleet.relay',
        prefix: this.settings.prefix,
        source: nameOf(source),
        revision: after.revision,
        age: Math.round(this.mirror.age),
        error,
      },
    });
  }

  private recordSource(source: ChangeSource): void {
    const name = nameOf(source);
    if (name === this.lastSource) return;
    this.settings.log.write({
      level: 'info',
      kind: 'membership',
      message: 'reads the changes of the store from another source',
      fields: {
        step: 'fleet.relay',
        prefix: this.settings.prefix,
        source: name,
        before: this.lastSource,
        revision: this.mirror.position?.revision,
        age: Math.round(this.mirror.age),
      },
    });
    this.lastSource = name;
  }
}
