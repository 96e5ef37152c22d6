/** Interfaces of ejection. Times are milliseconds of a monotonic clock unless a comment says otherwise. */
import type { DaemonId, Incarnation, ServiceName, TargetId } from '../base/index.js';
import type { ProbeOutcome, TargetSummary, VerdictReason } from '../health/index.js';
import type { TargetState } from '../services/Types.js';

/** What an operator has decided about a target. */
export type OperatorHold = 'eject' | 'drain';

/** Why a state was left. */
export type TransitionCause =
  | 'announced'
  | 'warmed-up'
  | 'evidence'
  | 'evidence-cleared'
  | 'ejection-recorded'
  | 'listed-in-record'
  | 'hold-expired'
  | 'trial-failed'
  | 'trial-passed'
  | 'floor-release'
  | 'operator-eject'
  | 'operator-drain'
  | 'operator-restore'
  | 'draining-announced'
  | 'announcement-expired';

/** Change of the state of one target, for log lines and metrics. */
export interface Transition {
  readonly target: TargetId;
  readonly service: ServiceName;
  readonly from: TargetState;
  readonly to: TargetState;
  readonly cause: TransitionCause;
  /** Share of normal traffic after the change, 0 to 1. */
  readonly share: number;
  /** Evidence behind the change, when there is any. */
  readonly reason?: VerdictReason;
}

/** Why a sick target was not ejected. */
export type EjectionRefusalReason =
  | 'floor'
  | 'not-confirmed'
  | 'like-peers'
  | 'service-wide'
  | 'path-fault'
  | 'paused'
  | 'store-away'
  | 'conflict'
  | 'state-changed';

/** A sick target stays in service, for log lines and metrics. */
export interface EjectionRefusal {
  readonly target: TargetId;
  readonly service: ServiceName;
  readonly refusal: EjectionRefusalReason;
  /** Slots in service as counted for the floor, when it was counted. */
  readonly capacity?: number;
  readonly floor?: number;
}

/** One ejected target in the record of its service. */
export interface EjectionEntry {
  readonly target: TargetId;
  readonly incarnation: Incarnation;
  readonly home: DaemonId;
  /** Cause of the verdict, for operators. */
  readonly reason: string;
  readonly severity: number;
  /** ISO 8601 time at the home's clock; orders nothing. */
  readonly ejected: string;
  /** Unique for each write, so that a write whose answer was lost is recognised when it is read back. */
  readonly token: string;
}

/** The record of a service as it was read. */
export interface RecordSnapshot {
  /** Store revision of the record; 0 if there is none. */
  readonly revision: number;
  readonly entries: readonly EjectionEntry[];
}

/** Summaries of a service's targets with the time at which they were asked for. */
export interface TimestampedSummary extends TargetSummary {
  /** Local time at which the question was sent, so a slow answer counts as old. */
  readonly askedAt: number;
}

/** What the floor rule decides on. */
export interface FloorView {
  readonly now: number;
  /** Slots that must stay in service. */
  readonly floor: number;
  readonly record: RecordSnapshot;
  readonly summaries: readonly TimestampedSummary[];
}

/** Judgement of other daemons on a failure seen by the home. */
export type FaultDiagnosis = 'target-faulty' | 'path-faulty' | 'unclear';

/** What the ejection task needs from the daemon around it. Times out on its own: every promise settles. */
export interface EjectionEnvironment {
  /** Summaries from 4 random homes of the service, for the comparison once a second. */
  sampleSummaries(service: ServiceName): Promise<readonly TargetSummary[]>;
  /** Summaries from all other homes of the service, for the floor. */
  allSummaries(service: ServiceName): Promise<readonly TargetSummary[]>;
  /** Probes a target of this home, in at most 1 s. */
  probe(target: TargetId, address: string): Promise<ProbeOutcome>;
  /** Asks two other daemons whether they reach the target. */
  diagnoseFault(target: TargetId, address: string): Promise<FaultDiagnosis>;
  /** Floor of the service in slots under the preset in force. */
  floor(service: ServiceName): number;
  /** Whether operators have paused automatic ejection for the service. */
  isPaused(service: ServiceName): boolean;
}

/** Target as the task publishes it. */
export interface TargetStatus {
  readonly target: TargetId;
  readonly service: ServiceName;
  readonly state: TargetState;
  /** Share of normal traffic, 0 to 1. */
  readonly share: number;
}
