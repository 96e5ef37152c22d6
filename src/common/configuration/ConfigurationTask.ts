import { isLeft } from 'fp-ts/lib/Either.js';
import { DisposableStore, FleetError, sampleItems, rankByRendezvous } from '../base/index.js';
import type {
  Clock,
  DaemonId,
  DataCentre,
  Disposable,
  LogLevel,
  LogSink,
  RandomSource,
} from '../base/index.js';
import type { Store, StoreWatch } from '../services/Types.js';
import { decodeHead } from './ConfigurationCodec.js';
import { chunkKey, headKey } from './ConfigurationKeys.js';
import type { ConfigurationState } from './ConfigurationState.js';
import type { ConfigurationChunk, ConfigurationHead, DigestFunction } from './Types.js';

/** Daemons of each data centre that watch the head in the store. */
export const watchersPerDataCentre = 2;

/** Milliseconds between two decisions about who watches; also the delay before the first, to learn who is there. */
export const watcherElectionInterval = 2000;

/** Milliseconds between two reads of the head by a watcher, since a watch can fall silent without an end. */
export const headCheckInterval = 5000;

/** Milliseconds until a call to the store or a peer counts as failed. */
export const callTimeout = 2000;

/** Milliseconds of the first and the longest delay before a call is repeated; the delay itself is random below. */
export const initialRetryDelay = 250;
export const maxRetryDelay = 4000;

/** Bytes of chunks that are asked of a peer in one call; a message of the protocol holds 4 MB. */
export const fetchBatchBytes = 1024 * 1024;

/** Peers that are asked for chunks before the store: the one that told of the revision, and others. */
export const maxFetchPeers = 3;

/** A daemon that can be asked for chunks. */
export interface ChunkPeer {
  readonly id: DaemonId;
  /** `host:port` of the peer server. */
  readonly address: string;
}

/** What the task needs of the membership. */
export interface MembershipView {
  readonly self: DaemonId;
  readonly dataCentre: DataCentre;
  /** Live daemons of this data centre, this one included. */
  members(): readonly DaemonId[];
  /** Other live daemons of this region. */
  peers(): readonly ChunkPeer[];
}

/** Fetches chunks that a peer holds; rejects if it cannot be reached. */
export type ChunkFetch = (
  address: string,
  digests: readonly string[],
) => Promise<readonly ConfigurationChunk[]>;

/** Parts that the task works with. */
export interface ConfigurationTaskOptions {
  readonly state: ConfigurationState;
  readonly store: Store;
  readonly membership: MembershipView;
  readonly fetchChunks: ChunkFetch;
  readonly digest: DigestFunction;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
}

interface Pending {
  readonly head: ConfigurationHead;
  /** Address of the peer that told of the revision; absent if it came from the store. */
  readonly source?: string;
}

/** Learns of new revisions from the store or from peers, fetches their chunks and puts them in force. */
export class ConfigurationTask implements Disposable {
  private readonly timers = new Map<string, Disposable>();

  private watch: DisposableStore | undefined;

  private watchFailures = 0;

  private fetchFailures = 0;

  private pending: Pending | undefined;

  private isFetching = false;

  /** Revision whose chunks are intact but cannot be used; asking for it again would not help. */
  private unusableRevision = 0;

  private isDisposed = false;

  public constructor(private readonly options: ConfigurationTaskOptions) {}

  /** Starts to follow the configuration. */
  public start(): void {
    this.schedule('rank', watcherElectionInterval, () => this.rank());
  }

  /** Whether this daemon watches the head at this moment. */
  public get isWatching(): boolean {
    return this.watch !== undefined;
  }

  /** Takes the encoded head of a revision from the peer at `host:port`. */
  public offer(address: string, encoded: Uint8Array): void {
    this.takeHead(encoded, address);
  }

  public dispose(): void {
    this.isDisposed = true;
    this.stopWatch();
    this.timers.forEach((timer) => timer.dispose());
    this.timers.clear();
  }

  private schedule(name: string, delay: number, callback: () => void): void {
    this.timers.get(name)?.dispose();
    if (this.isDisposed) return;
    this.timers.set(name, this.options.clock.after(delay, callback));
  }

  private rank(): void {
    this.schedule('rank', watcherElectionInterval, () => this.rank());
    const { membership: fleet } = this.options;
    const ranked = rankByRendezvous(`config/${fleet.dataCentre}`, fleet.members());
    const isWatcher = ranked.slice(0, watchersPerDataCentre).includes(fleet.self);
    if (isWatcher && this.watch === undefined && !this.timers.has('watch')) this.startWatch();
    if (!isWatcher) this.stopWatch();
  }

  private startWatch(): void {
    this.timers.delete('watch');
    const watch = new DisposableStore();
    this.watch = watch;
    try {
      this.listen(this.options.store.watch(headKey), watch);
    } catch (error) {
      this.failWatch(watch, error);
      return;
    }
    this.checkHead(watch);
  }

  private listen(source: StoreWatch, watch: DisposableStore): void {
    watch.add(source);
    watch.add(
      source.onChange(({ type, entry }) => {
        if (type === 'put' && entry.key === headKey) this.takeHead(entry.value);
      }),
    );
    watch.add(source.onEnd((error) => this.failWatch(watch, error)));
  }

  private stopWatch(): void {
    this.watch?.dispose();
    this.watch = undefined;
    ['watch', 'check'].forEach((name) => {
      this.timers.get(name)?.dispose();
      this.timers.delete(name);
    });
  }

  /** Reads the head now and then: once for what was written before the watch, later in case it fell silent. */
  private checkHead(watch: DisposableStore): void {
    this.schedule('check', headCheckInterval, () => this.checkHead(watch));
    const read = this.inTime(this.options.store.get(headKey), 'configuration.readHead');
    read.then(
      (entry) => {
        if (this.watch !== watch) return;
        this.watchFailures = 0;
        if (entry !== undefined) this.takeHead(entry.value);
      },
      (error: unknown) => this.failWatch(watch, error),
    );
  }

  /** Watchers come back at random times after an outage, so that the store is not met by all at once. */
  private failWatch(watch: DisposableStore, error: unknown): void {
    if (this.watch !== watch) return;
    this.stopWatch();
    this.write('warn', 'watch of the head ended', { error: String(error) });
    const delay = this.retryDelay(this.watchFailures);
    this.watchFailures += 1;
    this.schedule('watch', delay, () => this.startWatch());
  }

  private retryDelay(failures: number): number {
    const longest = Math.min(maxRetryDelay, initialRetryDelay * 2 ** Math.min(failures, 16));
    return longest * this.options.random();
  }

  private takeHead(encoded: Uint8Array, source?: string): void {
    if (this.isDisposed) return;
    const head = decodeHead(encoded, this.options.digest);
    if (isLeft(head)) {
      this.write('error', head.left, { peer: source });
      return;
    }
    const { revision } = head.right;
    const isNewer = revision > this.options.state.revision && revision !== this.unusableRevision;
    if (!isNewer || revision <= (this.pending?.head.revision ?? 0)) return;
    this.pending = { head: head.right, source };
    this.fetchFailures = 0;
    if (!this.isFetching) void this.fetchPending();
  }

  private async fetchPending(): Promise<void> {
    this.isFetching = true;
    this.timers.get('fetch')?.dispose();
    let attempted: Pending | undefined;
    while (this.pending !== undefined && this.pending !== attempted && !this.isDisposed) {
      attempted = this.pending;
      await this.fetch(attempted);
      const { revision } = attempted.head;
      const isDone = revision <= this.options.state.revision || revision === this.unusableRevision;
      if (isDone && this.pending === attempted) this.pending = undefined;
    }
    this.isFetching = false;
    if (this.pending !== undefined) this.retryFetch();
  }

  private retryFetch(): void {
    const delay = this.retryDelay(this.fetchFailures);
    this.fetchFailures += 1;
    this.schedule('fetch', delay, () => {
      void this.fetchPending();
    });
  }

  private async fetch({ head, source }: Pending): Promise<void> {
    const { state } = this.options;
    if (this.take(head, [])) return;
    for (const address of this.chooseSources(source)) {
      for (const batch of this.batches(head, state.missingDigests(head))) {
        if (this.take(head, await this.fetchFromPeer(address, batch))) return;
      }
    }
    for (const digest of state.missingDigests(head)) {
      const chunk = await this.fetchFromStore(digest);
      if (chunk === undefined || this.take(head, [chunk])) return;
    }
  }

  /** A revision that came from the store is not at the peers yet. */
  private chooseSources(source: string | undefined): string[] {
    const isFirstAttempt = this.fetchFailures === 0;
    if (source === undefined && isFirstAttempt) return [];
    const { membership: fleet, random } = this.options;
    const others = fleet.peers().filter(({ address }) => address !== source);
    const chosen = sampleItems(random, others, maxFetchPeers - 1).map(({ address }) => address);
    return source === undefined ? chosen : [source, ...chosen];
  }

  private batches(head: ConfigurationHead, missing: readonly string[]): string[][] {
    const sizes = new Map(head.chunks.map(({ digest, size }) => [digest, size]));
    const batches: string[][] = [];
    let room = 0;
    missing.forEach((digest) => {
      const size = sizes.get(digest) ?? 0;
      if (batches.length === 0 || size > room) {
        batches.push([]);
        room = fetchBatchBytes;
      }
      batches.at(-1)?.push(digest);
      room -= size;
    });
    return batches;
  }

  private async fetchFromPeer(
    address: string,
    digests: readonly string[],
  ): Promise<readonly ConfigurationChunk[]> {
    try {
      const call = this.options.fetchChunks(address, digests);
      return await this.inTime(call, 'configuration.fetchFromPeer', address);
    } catch (error) {
      this.write('info', 'chunks not received', { peer: address, error: String(error) });
      return [];
    }
  }

  private async fetchFromStore(digest: string): Promise<ConfigurationChunk | undefined> {
    try {
      const call = this.options.store.get(chunkKey(digest));
      const entry = await this.inTime(call, 'configuration.fetchFromStore');
      return entry === undefined ? undefined : { digest, content: entry.value };
    } catch (error) {
      this.write('warn', 'chunk not read from the store', { digest, error: String(error) });
      return undefined;
    }
  }

  /** True if the revision needs nothing more from here: it is in force, was overtaken or can never be used. */
  private take(head: ConfigurationHead, chunks: readonly ConfigurationChunk[]): boolean {
    const result = this.options.state.offer(head, chunks);
    if (result.type === 'incomplete') {
      const { damaged } = result;
      if (damaged.length > 0) this.write('warn', 'damaged chunks', { digests: damaged.join(' ') });
      return false;
    }
    const { revision, preset } = head;
    if (result.type === 'in-force') this.write('info', 'revision in force', { revision, preset });
    if (result.type === 'invalid') {
      this.unusableRevision = revision;
      this.write('error', result.problem, { revision });
    }
    return true;
  }

  /** A call that gets no answer must not hold up the task. */
  private inTime<Answer>(call: Promise<Answer>, step: string, peer?: string): Promise<Answer> {
    return new Promise((resolve, reject) => {
      const timer = this.options.clock.after(callTimeout, () => {
        reject(new FleetError(`no answer within ${callTimeout} ms`, { step, peer }));
      });
      call.then(resolve, reject).finally(() => timer.dispose());
    });
  }

  private write(
    level: LogLevel,
    message: string,
    fields: Record<string, string | number | undefined>,
  ): void {
    this.options.log.write({ level, kind: 'configuration', message, fields });
  }
}
