/** Types of fleet membership. */
import type { DaemonId, Incarnation } from '../base/index.js';
import type { Location, TargetAnnouncement, TargetState } from '../services/Types.js';

/**
 * State of a daemon. Other daemons declare a member that does not answer `dead`; a member that stops declares itself
 * `left`. Records with either status are kept as tombstones.
 */
export type MemberStatus = 'alive' | 'leaving' | 'suspect' | 'dead' | 'left';

/** Target in the member record of its home. */
export interface MemberTarget extends Omit<TargetAnnouncement, 'state'> {
  readonly status: TargetState;
  /** Fraction of normal traffic, in (0, 1]. */
  readonly share: number;
}

/** Record of one daemon, written by that daemon; others only change `status`. */
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
  /** Version at which `targets` last changed; 0 if the list has not been received. */
  readonly targetsVersion: number;
  /** Omitted in a message when the receiver already has the list of `targetsVersion`. */
  readonly targets?: readonly MemberTarget[];
  /** Configuration revision in force when the record was last written. */
  readonly revision: number;
  /** Operation key ranges that the daemon owns. */
  readonly ranges: readonly number[];
  /** Seconds since the member died or left; only in messages. */
  readonly tombstoneAge?: number;
}

/** Fields that a daemon changes in its own record while it runs. */
export interface OwnRecordChange {
  readonly status?: 'alive' | 'leaving' | 'left';
  readonly targets?: readonly MemberTarget[];
  readonly revision?: number;
  readonly ranges?: readonly number[];
}

/** Version of a daemon's copy of a member record. An empty incarnation means that there is no copy. */
export interface MemberVersion {
  readonly id: DaemonId;
  readonly incarnation: Incarnation;
  readonly version: number;
  readonly status: MemberStatus;
  readonly targetsVersion: number;
}

/** Difference between the table and a peer's versions. */
export interface MemberDelta {
  /** Records that are missing or outdated at the peer. */
  readonly records: readonly MemberRecord[];
  /** Versions in this table of the members for which the peer has a newer record. */
  readonly requests: readonly MemberVersion[];
}

/** Change of one record: its value before and after. */
export interface MemberChangeEvent {
  readonly before?: MemberRecord;
  /** Absent when an expired tombstone was removed. */
  readonly after?: MemberRecord;
}

/** Message of a gossip exchange. */
export interface MemberUpdate {
  readonly sender: DaemonId;
  readonly records: readonly MemberRecord[];
  readonly versions: readonly MemberVersion[];
  /** Hash of the sender's table; 0 in all but the first message of an exchange. */
  readonly digest: number;
  /** Hashes of the table parts, sent in reply to a different `digest`. */
  readonly partDigests: readonly number[];
  /** Table parts of which `versions` is the complete list. */
  readonly parts: readonly number[];
  /** Configuration revision in force at the sender. */
  readonly revision: number;
  /** Encoded head of that revision; only sent to a peer with an older one. */
  readonly head?: Uint8Array;
}

/** Calls to other daemons. Both reject when the peer does not answer in time. */
export interface PeerLink {
  /** Sends an update to `host:port` and returns the peer's update. */
  exchange(address: string, update: MemberUpdate): Promise<MemberUpdate>;
  /** Probes the daemon at `host:port`, or asks it to probe `member`. */
  probe(address: string, member?: DaemonId): Promise<boolean>;
}

/** Configuration revision as exchanged by gossip. */
export interface RevisionExchange {
  /** Revision in force; 0 if none. */
  revision(): number;
  /** Encoded head of the revision in force. */
  head(): Uint8Array | undefined;
  /** Reports that the peer at `host:port` has a newer revision in force. */
  offer(address: string, head: Uint8Array): void;
}
