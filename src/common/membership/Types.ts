/** Interfaces of the membership of the fleet. */
import type { DaemonId, Incarnation } from '../base/index.js';
import type { Location, TargetAnnouncement, TargetState } from '../services/Types.js';

/**
 * State of a daemon. `dead` is what others say of a member that does not answer; `left` is what a member says of
 * itself at its end. Records with either are kept as tombstones.
 */
export type MemberStatus = 'alive' | 'leaving' | 'suspect' | 'dead' | 'left';

/** Target in the member record of its home. */
export interface MemberTarget extends Omit<TargetAnnouncement, 'state'> {
  readonly status: TargetState;
  /** Share of normal traffic in (0, 1]. */
  readonly share: number;
}

/** Record of one daemon. Only the daemon itself writes it; others can only change `status`. */
export interface MemberRecord {
  readonly id: DaemonId;
  readonly incarnation: Incarnation;
  readonly version: number;
  /** `host:port` of the peer server. */
  readonly address: string;
  /** `host:port` of the admin endpoint. */
  readonly adminAddress: string;
  readonly location: Location;
  readonly status: MemberStatus;
  /** Version at which `targets` last changed, as far as the holder knows it. */
  readonly targetsVersion: number;
  /** Absent in a message when the receiver can keep its list of `targetsVersion`. */
  readonly targets?: readonly MemberTarget[];
  /** Configuration revision in force when the record was last written. */
  readonly revision: number;
  /** Key ranges that the daemon owns. */
  readonly ranges: readonly number[];
  /** Seconds since the member died or left; only in messages. */
  readonly tombstoneAge?: number;
}

/** The part of its own record that a daemon changes while it runs. */
export interface OwnRecordChange {
  readonly status?: 'alive' | 'leaving' | 'left';
  readonly targets?: readonly MemberTarget[];
  readonly revision?: number;
  readonly ranges?: readonly number[];
}

/** What a daemon holds of a member. An empty incarnation means nothing. */
export interface MemberVersion {
  readonly id: DaemonId;
  readonly incarnation: Incarnation;
  readonly version: number;
  readonly status: MemberStatus;
  readonly targetsVersion: number;
}

/** Difference between the table and what a peer holds. */
export interface MemberDelta {
  /** What the peer lacks. */
  readonly records: readonly MemberRecord[];
  /** What this table holds of the members of which the peer holds more. */
  readonly requests: readonly MemberVersion[];
}

/** Change of one record. */
export interface MemberChangeEvent {
  readonly before?: MemberRecord;
  /** Absent when a tombstone has expired. */
  readonly after?: MemberRecord;
}

/** Message of an exchange. */
export interface MemberUpdate {
  readonly sender: DaemonId;
  readonly records: readonly MemberRecord[];
  readonly versions: readonly MemberVersion[];
  /** Hash of the sender's table; 0 in the later messages of an exchange. */
  readonly digest: number;
  /** Hashes of the parts of the table, sent when `digest` differs. */
  readonly partDigests: readonly number[];
  /** Parts of the table of which `versions` is the whole list. */
  readonly parts: readonly number[];
  /** Configuration revision in force at the sender. */
  readonly revision: number;
  /** Encoded head of that revision, only for a peer with an older one. */
  readonly head?: Uint8Array;
}

/** I/O towards other daemons. Both calls reject when the peer cannot be reached in time. */
export interface PeerLink {
  /** Sends an update to `host:port` and returns the answer. */
  exchange(address: string, update: MemberUpdate): Promise<MemberUpdate>;
  /** Asks the daemon at `host:port` if it is there, or if it can reach `member`. */
  probe(address: string, member?: DaemonId): Promise<boolean>;
}

/** What gossip needs of the configuration: the revision in force here and what peers say of theirs. */
export interface RevisionExchange {
  /** Revision in force; 0 if none. */
  revision(): number;
  /** Encoded head of the revision in force. */
  head(): Uint8Array | undefined;
  /** A peer at `host:port` has this revision in force. */
  offer(address: string, head: Uint8Array): void;
}
