/** Types shared by the services of a daemon. The services are wired in `src/daemon/main.ts` only. */
import type {
  AccountId,
  DaemonId,
  DataCentre,
  Disposable,
  Event,
  Fingerprint,
  Incarnation,
  OperationKey,
  Region,
  RequestId,
  ServiceName,
  TargetId,
} from '../base/index.js';

/** Value of a key in the store with the revision of its last write. */
export interface StoreEntry {
  readonly key: string;
  readonly value: Uint8Array;
  /** Store revision of the last write; 0 means that the key does not exist. */
  readonly modRevision: number;
}

/** Condition of a transaction: the key must have this revision; 0 means absent. */
export interface StoreCompare {
  readonly key: string;
  readonly modRevision: number;
}

/** Write of a transaction. */
export type StoreWrite =
  | {
      readonly type: 'put';
      readonly key: string;
      readonly value: Uint8Array;
      readonly lease?: string;
    }
  | { readonly type: 'delete'; readonly key: string };

/** Result of a transaction. On a conflict it contains the current entries of the compared keys. */
export type StoreTransactionResult =
  | { readonly applied: true; readonly revision: number }
  | { readonly applied: false; readonly present: readonly StoreEntry[] };

/** Change seen by a watch. */
export interface StoreChange {
  readonly type: 'put' | 'delete';
  readonly entry: StoreEntry;
}

/** Range of keys that start with a prefix, ordered by key. */
export interface StoreRange {
  readonly prefix: string;
  /** Maximum number of entries; 0 or absent means all. */
  readonly limit?: number;
}

/** Running watch. `onEnd` fires once when the store ends it; the owner then starts a new watch and reads again. */
export interface StoreWatch extends Disposable {
  readonly onChange: Event<StoreChange>;
  readonly onEnd: Event<Error>;
}

/** The platform's key-value store. Calls can throw `StoreError`, whose outcome tells if a write may have been applied. */
export interface Store extends Disposable {
  get(key: string): Promise<StoreEntry | undefined>;
  range(range: StoreRange): Promise<readonly StoreEntry[]>;
  transact(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): Promise<StoreTransactionResult>;
  /** Grants a lease of `duration` seconds and returns its id. */
  grantLease(duration: number): Promise<string>;
  /** Renews a lease; throws `StoreError` if it has expired. */
  keepAlive(lease: string): Promise<void>;
  revokeLease(lease: string): Promise<void>;
  /**
   * Delivers the changes of all keys that start with `prefix`. A read that begins after `watch` has returned sees
   * every change that the watch does not deliver, so an owner first watches and then reads.
   */
  watch(prefix: string): StoreWatch;
}

/** Location of a process. */
export interface Location {
  readonly region: Region;
  readonly dataCentre: DataCentre;
}

/** Announcement of a target. */
export interface TargetAnnouncement {
  readonly id: TargetId;
  readonly incarnation: Incarnation;
  readonly service: ServiceName;
  /** `host:port` of its HTTP server. */
  readonly address: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Maximum number of open connections. */
  readonly connections: number;
  readonly state: 'starting' | 'active' | 'draining';
  /** Changes of home in this incarnation, counted by the target; orders the claims of two homes. Absent means 0. */
  readonly move?: number;
}

/** State of a target as its home sees it. */
export type TargetState =
  'starting' | 'active' | 'suspect' | 'ejected' | 'trial' | 'draining' | 'gone' | 'held';

/** Target as all daemons know it through the member record of its home. */
export interface TargetEntry extends TargetAnnouncement {
  readonly home: DaemonId;
  readonly location: Location;
  readonly status: TargetState;
  /** Share of normal traffic in (0, 1]; below 1 only in `trial` and `starting`. */
  readonly share: number;
}

/** Class of work. `critical` work is the last to be refused. */
export type WorkClass = 'critical' | 'interactive' | 'bulk';

/** Properties of a routed request. */
export interface RequestContext {
  readonly id: RequestId;
  readonly service: ServiceName;
  /** Name of the matched route; costs are learned per route. */
  readonly route: string;
  readonly workClass: WorkClass;
  readonly isIdempotent: boolean;
  readonly account?: AccountId;
  readonly key?: OperationKey;
  readonly fingerprint?: Fingerprint;
  /** Milliseconds left until the caller's deadline, counted from the time of sending. */
  readonly timeout: number;
}

/** Part of a target's load caused by short or by long work. */
export interface LoadPart {
  readonly queued: number;
  readonly running: number;
  /** Mean service time of recent requests in milliseconds; 0 if there were none. */
  readonly serviceTime: number;
}

/** Load of a target, sent with each response of its home. */
export interface TargetLoad {
  readonly queued: number;
  readonly running: number;
  readonly slots: number;
  /** Mean service time of recent requests in milliseconds. */
  readonly serviceTime: number;
  /** Load of long work; absent if the home does not report it. */
  readonly long?: LoadPart;
  /** Load of short work; absent if the home does not report it. */
  readonly short?: LoadPart;
  /** Whether the home counts the request as long work. */
  readonly isLong?: boolean;
}

/** Kind of outcome of a request at a target. */
export type OutcomeKind =
  | 'success'
  | 'server-error'
  | 'shed'
  | 'timeout'
  | 'connect-failed'
  | 'reset'
  | 'truncated'
  | 'invalid'
  | 'cancelled';

/** Outcome of one request at a target as seen by its home. */
export interface TargetOutcome {
  readonly kind: OutcomeKind;
  readonly route: string;
  /** Milliseconds from dispatch to the first byte of the response, or to the failure. */
  readonly latency: number;
}

/** Outcome of a non-idempotent operation as reported to callers. */
export type OperationOutcome = 'done' | 'not-run' | 'unknown' | 'pending';

/** Recorded response of an operation. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
}
