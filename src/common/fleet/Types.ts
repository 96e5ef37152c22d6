/** Types of a fleet whose daemons discover each other through the store. */
import type {
  DaemonId,
  DataCentre,
  Disposable,
  Event,
  Incarnation,
  Region,
  ServiceName,
  StoreEpoch,
  TargetId,
} from '../base/index.js';
import type { Store, StoreChange, StoreEntry } from '../services/Types.js';
import type { StorePosition } from './StorePosition.js';

/** Target in the record of its home. */
export interface PublishedTarget {
  readonly id: TargetId;
  readonly incarnation: Incarnation;
  readonly service: ServiceName;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
}

/** Record of a daemon and its targets in the store. */
export interface DaemonRecord {
  readonly daemon: DaemonId;
  readonly incarnation: Incarnation;
  /** Sequence number of the record within one incarnation, so that a late one does not replace a newer one. */
  readonly serial: number;
  /** `host:port` for requests of other daemons. */
  readonly address: string;
  readonly region: Region;
  readonly dataCentre: DataCentre;
  /** `leaving`: it finishes running requests and accepts no new ones. */
  readonly state: 'serving' | 'leaving';
  /** Newest encoding of forwarded requests that the daemon reads; 1 if it is missing. */
  readonly encoding?: number;
  /** Newest version of the polls that it answers as a relay; 1 if it is missing. */
  readonly relayVersion?: number;
  readonly targets: readonly PublishedTarget[];
}

/** Decoded announcement of a target. */
export interface TargetReport {
  readonly id: TargetId;
  /** Start time as a Unix timestamp in milliseconds. */
  readonly startedAt: number;
  /** Sequence number of the report within one incarnation. */
  readonly sequence: number;
  readonly service: ServiceName;
  /** `host:port` of its HTTP server. */
  readonly address: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Remaining warm-up time in milliseconds, during which it is slow. */
  readonly warmUp: number;
}

/** Entries under a prefix and the position at which they were read. */
export interface StoreSnapshot extends StorePosition {
  readonly entries: readonly StoreEntry[];
}

/** Changes under a prefix up to a position. */
export interface StoreChanges extends StorePosition {
  readonly changes: readonly StoreChange[];
  /** All keys that exist, if some deletions are not among the changes. */
  readonly keys?: readonly string[];
}

/** Poll of a daemon that follows another one. */
export interface RelayPoll {
  /** Position that the follower knows. */
  readonly after: StorePosition;
  /** Milliseconds since the store confirmed the state of the follower; 0 if it does not say. */
  readonly age: number;
  /** Milliseconds for which the poll may be held without news. */
  readonly wait: number;
  /** Whether the follower reads from this relay usually; it polls others when that one gives no news. */
  readonly isFollower: boolean;
}

/** Store whose changes are read by long polling. Every call can throw `StoreError`. */
export interface PolledStore
  extends Pick<Store, 'get' | 'transact' | 'grantLease' | 'keepAlive'>, Disposable {
  /** Fires with the epoch of the first response, and of each later one with a higher epoch, before the call returns. */
  readonly onEpoch: Event<StoreEpoch>;
  /** Reads all entries under a prefix. */
  snapshot(prefix: string, signal?: AbortSignal, onProgress?: () => void): Promise<StoreSnapshot>;
  /**
   * Waits up to `wait` milliseconds for changes after a position; calls `onProgress` while a response arrives.
   * Throws `RevisionCompactedError` if the store has compacted them or is in a later epoch.
   */
  changes(
    prefix: string,
    after: StorePosition,
    wait: number,
    signal: AbortSignal,
    onProgress?: () => void,
  ): Promise<StoreChanges>;
}

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
  /** Throws `RevisionCompactedError` if the relay is in a later epoch. */
  changes(
    daemon: DaemonId,
    prefix: string,
    poll: RelayPoll,
    signal: AbortSignal,
    onProgress: () => void,
  ): Promise<Aged<StoreChanges>>;
}
