/** Types of a fleet whose daemons find each other through the store. */
import type {
  DaemonId,
  DataCentre,
  Disposable,
  Incarnation,
  Region,
  ServiceName,
  TargetId,
} from '../base/index.js';
import type { Store, StoreChange, StoreEntry } from '../services/Types.js';

/** Target as its home publishes it. */
export interface PublishedTarget {
  readonly id: TargetId;
  readonly incarnation: Incarnation;
  readonly service: ServiceName;
  /** Requests that it runs at the same time. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
}

/** A daemon with the targets beside it, as it stands in the store. */
export interface DaemonRecord {
  readonly daemon: DaemonId;
  readonly incarnation: Incarnation;
  /** Counts the records of one incarnation, so that a late one does not replace a newer one. */
  readonly serial: number;
  /** `host:port` for requests of other daemons. */
  readonly address: string;
  readonly region: Region;
  readonly dataCentre: DataCentre;
  /** `leaving`: it finishes what it has and takes nothing new. */
  readonly state: 'serving' | 'leaving';
  readonly targets: readonly PublishedTarget[];
}

/** What a target says of itself, after decoding. */
export interface TargetReport {
  readonly id: TargetId;
  /** Unix millisecond of its start. */
  readonly startedAt: number;
  /** Counts the reports of one incarnation. */
  readonly sequence: number;
  readonly service: ServiceName;
  /** `host:port` of its HTTP server. */
  readonly address: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Milliseconds for which it is still slow after its start. */
  readonly warmUp: number;
}

/** Entries below a prefix and the store revision at which they were read. */
export interface StoreSnapshot {
  readonly entries: readonly StoreEntry[];
  readonly revision: number;
}

/** Changes below a prefix up to a store revision. */
export interface StoreChanges {
  readonly changes: readonly StoreChange[];
  readonly revision: number;
}

/** Store whose changes are read by polling. Every call can throw `StoreError`. */
export interface PolledStore
  extends Pick<Store, 'get' | 'transact' | 'grantLease' | 'keepAlive' | 'revokeLease'>, Disposable {
  /** Reads all entries below a prefix. */
  snapshot(prefix: string): Promise<StoreSnapshot>;
  /**
   * Waits up to `wait` milliseconds for changes after a revision.
   * Throws `HistoryLostError` if the store no longer has them.
   */
  changes(prefix: string, after: number, wait: number, signal: AbortSignal): Promise<StoreChanges>;
}
