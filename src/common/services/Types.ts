/** Interfaces of the services of a daemon. They are wired in `src/daemon/main.ts` only. */
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

/** Value of a key in the store with the revision at which it was last written. */
export interface StoreEntry {
  readonly key: string;
  readonly value: Uint8Array;
  /** Store revision of the last write; 0 means that the key does not exist. */
  readonly modRevision: number;
}

/** Condition of a transaction: the key must still have this revision; 0 means absent. */
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

/** Result of a transaction; on a conflict the present entries of the compared keys are given. */
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
  /** Greatest number of entries; 0 or absent means all. */
  readonly limit?: number;
}

/** Running watch. `onEnd` fires once when the store ended it; the owner then reads again and watches again. */
export interface StoreWatch extends Disposable {
  readonly onChange: Event<StoreChange>;
  readonly onEnd: Event<Error>;
}

/** The platform's key-value store. Every call can throw `StoreError`, whose outcome says if a write can be in. */
export interface Store extends Disposable {
  get(key: string): Promise<StoreEntry | undefined>;
  range(range: StoreRange): Promise<readonly StoreEntry[]>;
  transact(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): Promise<StoreTransactionResult>;
  /** Grants a lease of `duration` seconds and returns its id. */
  grantLease(duration: number): Promise<string>;
  /** Renews a lease; throws `StoreError` if it has lapsed. */
  keepAlive(lease: string): Promise<void>;
  revokeLease(lease: string): Promise<void>;
  /**
   * Delivers the changes of all keys that start with `prefix`. A read that begins after `watch` has returned sees
   * every change that the watch does not deliver, so an owner first watches and then reads.
   */
  watch(prefix: string): StoreWatch;
}

/** Where a process stands. */
export interface Location {
  readonly region: Region;
  readonly dataCentre: DataCentre;
}

/** What a target says of itself when it announces itself. */
export interface TargetAnnouncement {
  readonly id: TargetId;
  readonly incarnation: Incarnation;
  readonly service: ServiceName;
  /** `host:port` of its HTTP server. */
  readonly address: string;
  /** Requests that it can run at the same time. */
  readonly slots: number;
  /** Connections that it can hold. */
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

/** What the entry knows of a request when it has been routed. */
export interface RequestContext {
  readonly id: RequestId;
  readonly service: ServiceName;
  /** Name of the route that matched; the unit for which cost is learned. */
  readonly route: string;
  readonly workClass: WorkClass;
  readonly isIdempotent: boolean;
  readonly account?: AccountId;
  readonly key?: OperationKey;
  readonly fingerprint?: Fingerprint;
  /** Milliseconds left until the caller's deadline, counted from the moment of sending. */
  readonly timeout: number;
}

/** Part of a target's load that is caused by short or by long work. */
export interface LoadPart {
  readonly queued: number;
  readonly running: number;
  /** Mean service time of the last requests in milliseconds; 0 if there were none. */
  readonly serviceTime: number;
}

/** Load of a target, carried in each answer of its home. */
export interface TargetLoad {
  readonly queued: number;
  readonly running: number;
  readonly slots: number;
  /** Mean service time of the last requests in milliseconds. */
  readonly serviceTime: number;
  /** Part of long work; absent if the home does not tell. The rest is short. */
  readonly long?: LoadPart;
  /** Part of short work; absent if the home does not tell. */
  readonly short?: LoadPart;
  /** Whether the home counts the answered request as long work. */
  readonly isLong?: boolean;
}

/** How one request at a target ended. */
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

/** Outcome of one request at a target as its home saw it. */
export interface TargetOutcome {
  readonly kind: OutcomeKind;
  readonly route: string;
  /** Milliseconds from dispatch to the first byte of the answer, or to the failure. */
  readonly latency: number;
}

/** Outcome that a caller can be told of a non-idempotent operation. */
export type OperationOutcome = 'done' | 'not-run' | 'unknown' | 'pending';

/** A recorded answer of an operation. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
}
