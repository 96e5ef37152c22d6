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

/** Number of daemons of each data centre that watch the head in the store. */
export const watchersPerDataCentre = 2;

/** Milliseconds between two elections of the watchers, and before the first, until the members are known. */
export const watcherElectionInterval = 2000;

/** Milliseconds between two reads of the head by a watcher, since a watch can stop delivering without an error. */
export const headCheckInterval = 5000;

/** Timeout of a call to the store or a peer in milliseconds. */
export const callTimeout = 2000;

/** Upper bounds in milliseconds of the first and of any retry delay; the delay is uniformly random below the bound. */
export const initialRetryDelay = 250;
export const maxRetryDelay = 4000;

/** Maximum bytes of chunks requested from a peer in one call; a message of the protocol holds 4 MB. */
export const fetchBatchBytes = 1024 * 1024;

/** Maximum number of peers that are asked for chunks before the store, the one that announced the revision included. */
export const maxFetchPeers = 3;

/** A daemon from which chunks can be fetched. */
export interface ChunkPeer {
  readonly id: DaemonId;
  /** `host:port` of the peer server. */
  readonly address: string;
}

/** Part of the membership that the task uses. */
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

/** Dependencies of the task. */
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

interface PendingRevision {
  readonly head: ConfigurationHead;
  /** Address of the peer that announced the revision; absent if it came from the store. */
  readonly source?: string;
}

/** Receives new revisions from the store or from peers, fetches their chunks and puts them in force. */
export class ConfigurationTask implements Disposable {
  private readonly timers = new Map<string, Disposable>();

  private watch: DisposableStore | undefined;

  private watchFailures = 0;

  private fetchFailures = 0;

  private pending: PendingRevision | undefined;

  private isFetching = false;

  /** Revision whose chunks are intact but cannot be decoded, so that it is not fetched again. */
  private unusableRevision = 0;

  private isDisposed = false;

  public constructor(private readonly options: ConfigurationTaskOptions) {}

  /** Starts to follow the configuration. */
  public start(): void {
    this.schedule('election', watcherElectionInterval, () => this.electWatchers());
  }

  /** Whether this daemon currently watches the head. */
  public get isWatching(): boolean {
    return this.watch !== undefined;
  }

  /** Receives the encoded head of a revision from the peer at `host:port`. */
  public offer(address: string, encoded: Uint8Array): void {
    this.receiveHead(encoded, address);
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

  private electWatchers(): void {
    this.schedule('election', watcherElectionInterval, () => this.electWatchers());
    const { membership } = this.options;
    const ranked = rankByRendezvous(`config/${membership.dataCentre}`, membership.members());
    const isWatcher = ranked.slice(0, watchersPerDataCentre).includes(membership.self);
    if (isWatcher && this.watch === undefined && !this.timers.has('watch')) this.startWatch();
    if (!isWatcher) this.stopWatch();
  }

  private startWatch(): void {
    this.timers.delete('watch');
    const watch = new DisposableStore();
    this.watch = watch;
    try {
      this.subscribe(this.options.store.watch(headKey), watch);
    } catch (error) {
      this.handleWatchFailure(watch, error);
      return;
    }
    this.checkHead(watch);
  }

  private subscribe(source: StoreWatch, watch: DisposableStore): void {
    watch.add(source);
    watch.add(
      source.onChange(({ type, entry }) => {
        if (type === 'put' && entry.key === headKey) this.receiveHead(entry.value);
      }),
    );
    watch.add(source.onEnd((error) => this.handleWatchFailure(watch, error)));
  }

  private stopWatch(): void {
    this.watch?.dispose();
    this.watch = undefined;
    ['watch', 'check'].forEach((name) => {
      this.timers.get(name)?.dispose();
      this.timers.delete(name);
    });
  }

  /** Reads the head once for changes before the watch began, then periodically in case the watch delivers nothing. */
  private checkHead(watch: DisposableStore): void {
    this.schedule('check', headCheckInterval, () => this.checkHead(watch));
    const read = this.withTimeout(this.options.store.get(headKey), 'configuration.readHead');
    read.then(
      (entry) => {
        if (this.watch !== watch) return;
        this.watchFailures = 0;
        if (entry !== undefined) this.receiveHead(entry.value);
      },
      (error: unknown) => this.handleWatchFailure(watch, error),
    );
  }

  /** Restarts the watch after a random delay, so that the watchers do not all return at once after an outage. */
  private handleWatchFailure(watch: DisposableStore, error: unknown): void {
    if (this.watch !== watch) return;
    this.stopWatch();
    this.log('warn', 'watch of the head ended', { error: String(error) });
    const delay = this.retryDelay(this.watchFailures);
    this.watchFailures += 1;
    this.schedule('watch', delay, () => this.startWatch());
  }

  private retryDelay(failures: number): number {
    const limit = Math.min(maxRetryDelay, initialRetryDelay * 2 ** Math.min(failures, 16));
    return limit * this.options.random();
  }

  private receiveHead(encoded: Uint8Array, source?: string): void {
    if (this.isDisposed) return;
    const head = decodeHead(encoded, this.options.digest);
    if (isLeft(head)) {
      this.log('error', head.left, { peer: source });
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
    let attempted: PendingRevision | undefined;
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

  private async fetch({ head, source }: PendingRevision): Promise<void> {
    const { state } = this.options;
    if (this.offerChunks(head, [])) return;
    for (const address of this.chooseSources(source)) {
      for (const batch of this.batches(head, state.missingDigests(head))) {
        if (this.offerChunks(head, await this.fetchFromPeer(address, batch))) return;
      }
    }
    for (const digest of state.missingDigests(head)) {
      const chunk = await this.fetchFromStore(digest);
      if (chunk === undefined || this.offerChunks(head, [chunk])) return;
    }
  }

  /** Peers to ask first. None on the first attempt for a revision from the store, which the peers do not have yet. */
  private chooseSources(source: string | undefined): string[] {
    const isFirstAttempt = this.fetchFailures === 0;
    if (source === undefined && isFirstAttempt) return [];
    const { membership, random } = this.options;
    const others = membership.peers().filter(({ address }) => address !== source);
    const chosen = sampleItems(random, others, maxFetchPeers - 1).map(({ address }) => address);
    return source === undefined ? chosen : [source, ...chosen];
  }

  private batches(head: ConfigurationHead, missing: readonly string[]): string[][] {
    const sizes = new Map(head.chunks.map(({ digest, size }) => [digest, size]));
    const batches: string[][] = [];
    let bytesLeft = 0;
    missing.forEach((digest) => {
      const size = sizes.get(digest) ?? 0;
      if (batches.length === 0 || size > bytesLeft) {
        batches.push([]);
        bytesLeft = fetchBatchBytes;
      }
      batches.at(-1)?.push(digest);
      bytesLeft -= size;
    });
    return batches;
  }

  private async fetchFromPeer(
    address: string,
    digests: readonly string[],
  ): Promise<readonly ConfigurationChunk[]> {
    try {
      const call = this.options.fetchChunks(address, digests);
      return await this.withTimeout(call, 'configuration.fetchFromPeer', address);
    } catch (error) {
      this.log('info', 'chunks not received', { peer: address, error: String(error) });
      return [];
    }
  }

  private async fetchFromStore(digest: string): Promise<ConfigurationChunk | undefined> {
    try {
      const call = this.options.store.get(chunkKey(digest));
      const entry = await this.withTimeout(call, 'configuration.fetchFromStore');
      return entry === undefined ? undefined : { digest, content: entry.value };
    } catch (error) {
      this.log('warn', 'chunk not read from the store', { digest, error: String(error) });
      return undefined;
    }
  }

  /** Returns true if no more chunks are needed: the revision is in force, has been superseded or is invalid. */
  private offerChunks(head: ConfigurationHead, chunks: readonly ConfigurationChunk[]): boolean {
    const result = this.options.state.offer(head, chunks);
    if (result.type === 'incomplete') {
      const { damaged } = result;
      if (damaged.length > 0) this.log('warn', 'damaged chunks', { digests: damaged.join(' ') });
      return false;
    }
    const { revision, preset } = head;
    if (result.type === 'in-force') this.log('info', 'revision in force', { revision, preset });
    if (result.type === 'invalid') {
      this.unusableRevision = revision;
      this.log('error', result.problem, { revision });
    }
    return true;
  }

  /** Rejects if a call gets no answer in time, so that it does not block the task. */
  private withTimeout<Answer>(call: Promise<Answer>, step: string, peer?: string): Promise<Answer> {
    return new Promise((resolve, reject) => {
      const timer = this.options.clock.after(callTimeout, () => {
        reject(new FleetError(`no answer within ${callTimeout} ms`, { step, peer }));
      });
      call.then(resolve, reject).finally(() => timer.dispose());
    });
  }

  private log(
    level: LogLevel,
    message: string,
    fields: Record<string, string | number | undefined>,
  ): void {
    this.options.log.write({ level, kind: 'configuration', message, fields });
  }
}
