/* eslint max-classes-per-file: "off" -- a fleet and its daemons belong together */
import {
  brandAs,
  FleetError,
  StoreError,
  VirtualClock,
  type DaemonId,
} from '../common/base/index.js';
import { awaitNews } from '../common/fleet/awaitNews.js';
import { PrefixWatcher } from '../common/fleet/PrefixWatcher.js';
import { RelayedStore } from '../common/fleet/RelayedStore.js';
import type { StoreMirror } from '../common/fleet/StoreMirror.js';
import type { RelayClient, StoreChanges, StoreSnapshot } from '../common/fleet/Types.js';
import { FakePolledStore } from './FakePolledStore.js';
import { MemoryLog } from './MemoryLog.js';

/** Prefix that the daemons of a `RelayedFleet` follow. */
export const followedPrefix = 'limpettrack/';
/** Key below it that is there from the start. */
export const followedKey = `${followedPrefix}daemons/d`;
/** Milliseconds beyond the wait after which a call to a relay fails. */
const relayTimeout = 500;
/** Milliseconds beyond the wait after which a call to the store fails. */
const storeTimeout = 1_500;

/** How the store treats the calls of one daemon. */
export type StoreLink = 'open' | 'silent' | 'refusing';

/** Milliseconds between two parts of a transfer. */
const transferStep = 20;

/** Link whose capacity all transfers share that are on it at a time. */
export class SharedLink {
  /** Number of transfers so far. */
  public count = 0;

  private active = 0;

  /** `capacity` in bytes per millisecond. */
  public constructor(private readonly capacity: number) {}

  /** Transfers some bytes, unless the receiver cancels; `pass` lets time pass. */
  public async transfer(
    bytes: number,
    pass: (duration: number) => Promise<void>,
    signal?: AbortSignal,
    onProgress: () => void = () => {},
  ): Promise<void> {
    this.count += 1;
    this.active += 1;
    for (let left = bytes; left > 0 && signal?.aborted !== true;) {
      await pass(transferStep);
      onProgress();
      left -= (this.capacity * transferStep) / this.active;
    }
    this.active -= 1;
  }
}

/** Size, durations of calls in milliseconds, and the random numbers of backoffs. */
export interface RelayedFleetSettings {
  readonly size: number;
  readonly maxStaleness: number;
  readonly storeLatency?: number;
  readonly relayLatency?: number;
  readonly random?: () => number;
  /** Link on which entries of the store are transferred; at once if it is missing. */
  readonly link?: SharedLink;
}

/** Daemon that follows the prefix. */
export class Follower {
  public readonly seen = new Map<string, string>();

  /** Neither answers other daemons nor runs. */
  public isFrozen = false;

  public storeLink: StoreLink = 'open';

  public readonly relayed: RelayedStore;

  public readonly log = new MemoryLog();

  private readonly watcher: PrefixWatcher;

  /** Number of times at which the connections to the store have gone silent. */
  private silences = 0;

  public constructor(
    public readonly id: DaemonId,
    private readonly fleet: RelayedFleet,
  ) {
    const { clock, store, settings } = fleet;
    this.relayed = new RelayedStore({
      self: id,
      maxStaleness: () => settings.maxStaleness,
      store: {
        snapshot: (of, signal, onProgress) =>
          this.callStore(storeTimeout, () => store.snapshot(of), signal, onProgress),
        changes: (of, after, wait, signal, onProgress) =>
          this.callStore(
            wait + storeTimeout,
            () => store.changes(of, after, wait, signal),
            signal,
            onProgress,
          ),
      },
      relays: fleet.createClient(),
      candidates: () => fleet.ids,
      clock,
      log: this.log,
    });
    this.watcher = new PrefixWatcher({
      store: this.relayed,
      prefix: followedPrefix,
      pollTimeout: 15_000,
      batchDelay: 0,
      earlyBatchDelay: 0,
      clock,
      random: settings.random ?? (() => 0.5),
      log: this.log,
    });
    const read = (value: Uint8Array): string => Buffer.from(value).toString();
    this.watcher.onSnapshot(({ entries }) => {
      this.seen.clear();
      entries.forEach((entry) => this.seen.set(entry.key, read(entry.value)));
    });
    this.watcher.onChanges((changes) => {
      changes.forEach(({ type, entry }) => {
        if (type === 'put') this.seen.set(entry.key, read(entry.value));
        else this.seen.delete(entry.key);
      });
    });
    this.watcher.start();
  }

  /** The calls to the store that are in progress get no response; later ones use new connections. */
  public silenceStoreConnections(): void {
    this.silences += 1;
  }

  /** Reads again, since another daemon has a newer state. */
  public refreshFrom(holder: DaemonId): void {
    this.relayed.reportNewer(followedPrefix, holder);
    this.watcher.refresh();
  }

  /** Calls the store; a call without a response fails at its timeout, whatever the store has answered. */
  private async callStore<Result extends StoreChanges | StoreSnapshot>(
    timeout: number,
    call: () => Promise<Result>,
    signal?: AbortSignal,
    onProgress?: () => void,
  ): Promise<Result> {
    const { silences } = this;
    const { settings } = this.fleet;
    const failure = this.fleet.failAfter(timeout, signal);
    failure.catch(() => {});
    if (this.storeLink === 'silent') return failure;
    await this.fleet.pass(settings.storeLatency ?? 0);
    if (this.storeLink === 'refusing') {
      throw new StoreError('status 503', 'not-applied', { step: 'test' });
    }
    const result = await Promise.race([call(), failure]);
    const isCut = this.storeLink !== 'open' || this.silences !== silences;
    if (isCut) return failure;
    const entries = 'entries' in result ? result.entries : result.changes.map(({ entry }) => entry);
    const bytes = entries.reduce((sum, { value }) => sum + value.length, 0);
    const pass = (time: number): Promise<void> => this.fleet.pass(time);
    if (bytes > 0) await settings.link?.transfer(bytes, pass, signal, onProgress);
    return result;
  }
}

/** Daemons of one data centre that follow a store on a virtual clock. */
export class RelayedFleet {
  public readonly clock = new VirtualClock();

  public readonly store = new FakePolledStore(this.clock);

  public ids: readonly DaemonId[] = [];

  public readonly followers: Follower[] = [];

  public constructor(public readonly settings: RelayedFleetSettings) {
    this.store.put(followedKey, 'first');
    for (let index = 0; index < settings.size; index += 1) this.addDaemon(`d-${index}`);
  }

  /** Starts a daemon, which all others know at once. */
  public addDaemon(name: string): Follower {
    const id = brandAs<DaemonId>(name);
    this.ids = [...this.ids, id];
    const follower = new Follower(id, this);
    this.followers.push(follower);
    return follower;
  }

  public find(id: DaemonId): Follower | undefined {
    return this.followers.find((follower) => follower.id === id);
  }

  /** Fails after a delay or when the call is aborted, as a call without a response does. */
  public failAfter(delay: number, signal?: AbortSignal): Promise<never> {
    return new Promise((_, reject) => {
      const fail = (): void => reject(new FleetError('no response', { step: 'test' }));
      this.clock.after(delay, fail);
      signal?.addEventListener('abort', fail, { once: true });
    });
  }

  /** Lets time pass. */
  public async pass(duration: number): Promise<void> {
    if (duration === 0) return;
    await new Promise<void>((resolve) => {
      this.clock.after(duration, resolve);
    });
  }

  /** Client of the relays among these daemons. */
  public createClient(): RelayClient {
    const mirrorOf = (id: DaemonId, isFollowed: boolean): StoreMirror | undefined => {
      const follower = this.find(id);
      if (follower === undefined || follower.isFrozen) return undefined;
      return follower.relayed.mirrorForFollower(followedPrefix, isFollowed);
    };
    const latency = this.settings.relayLatency ?? 0;
    return {
      snapshot: async (id) => {
        const mirror = mirrorOf(id, false);
        if (mirror === undefined) return this.failAfter(relayTimeout);
        await this.pass(latency);
        if (mirror.snapshot === undefined) throw new FleetError('status 503', { step: 'test' });
        return { ...mirror.snapshot, age: mirror.age };
      },
      changes: async (id, _prefix, poll, signal, onProgress) => {
        const mirror = mirrorOf(id, poll.isFollower);
        if (mirror === undefined) return this.failAfter(poll.wait + relayTimeout, signal);
        await this.pass(latency);
        if (mirror.position === undefined) throw new FleetError('status 503', { step: 'test' });
        const progress = mirror.onProgress(onProgress);
        await awaitNews(mirror, poll, this.clock, signal);
        progress.dispose();
        if (this.find(id)?.isFrozen === true) return this.failAfter(relayTimeout, signal);
        return { ...mirror.changesAfter(poll.after), age: mirror.age };
      },
    };
  }

  /** Polls of the store in the next `duration` milliseconds. */
  public async pollsIn(duration: number): Promise<number> {
    const before = this.store.callCounts.watch ?? 0;
    await this.clock.advanceAsync(duration);
    return (this.store.callCounts.watch ?? 0) - before;
  }

  public async settle(): Promise<void> {
    await this.clock.advanceAsync(30_000);
  }

  /** Value of the key that each daemon knows. */
  public get current(): readonly (string | undefined)[] {
    return this.followers.map(({ seen }) => seen.get(followedKey));
  }
}
