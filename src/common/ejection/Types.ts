/** Types of ejection. Times are milliseconds on the monotonic clock unless stated otherwise. */
import type { DaemonId, Incarnation, ServiceName, TargetId } from '../base/index.js';
import type { ProbeOutcome, TargetSummary, VerdictReason } from '../health/index.js';
import type { TargetState } from '../services/Types.js';

/** Decision of an operator on a target. */
export type OperatorHold = 'eject' | 'drain';

/** Cause of a state transition. */
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
  /** Evidence for the change, if any. */
  readonly reason?: VerdictReason;
}

/** Reason why a sick target was not ejected. */
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

/** Refused ejection of a sick target, for log lines and metrics. */
export interface EjectionRefusal {
  readonly target: TargetId;
  readonly service: ServiceName;
  readonly refusal: EjectionRefusalReason;
  /** Slots in service, if they were counted for the floor. */
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
  /** ISO 8601 time of the home's clock; informative, not used for ordering. */
  readonly ejected: string;
  /** Unique for each write, so that a write with a lost response is recognised when the record is read back. */
  readonly token: string;
}

/** Record of a service at one revision. */
export interface RecordSnapshot {
  /** Store revision of the record; 0 if there is none. */
  readonly revision: number;
  readonly entries: readonly EjectionEntry[];
}

/** Summary of a target with the time at which it was requested. */
export interface TimestampedSummary extends TargetSummary {
  /** Local time at which the request was sent, so that a slow response counts as old. */
  readonly askedAt: number;
}

/** Input of the floor rule. */
export interface FloorView {
  readonly now: number;
  /** Slots that must stay in service. */
  readonly floor: number;
  readonly record: RecordSnapshot;
  readonly summaries: readonly TimestampedSummary[];
}

/** Diagnosis of a failure seen by the home, based on probes by other daemons. */
export type FaultDiagnosis = 'target-faulty' | 'path-faulty' | 'unclear';

/** Operations of the daemon that the ejection task uses. All have timeouts, so every promise settles. */
export interface EjectionEnvironment {
  /** Summaries from 4 random homes of the service, for the peer comparison once per second. */
  sampleSummaries(service: ServiceName): Promise<readonly TargetSummary[]>;
  /** Summaries from all other homes of the service, for the floor. */
  allSummaries(service: ServiceName): Promise<readonly TargetSummary[]>;
  /** Probes a target of this home within 1 s. */
  probe(target: TargetId, address: string): Promise<ProbeOutcome>;
  /** Asks two other daemons whether they can reach the target. */
  diagnoseFault(target: TargetId, address: string): Promise<FaultDiagnosis>;
  /** Floor of the service in slots under the preset in force. */
  floor(service: ServiceName): number;
  /** Whether operators have paused automatic ejection for the service. */
  isPaused(service: ServiceName): boolean;
}

/** Published state of a target. */
export interface TargetStatus {
  readonly target: TargetId;
  readonly service: ServiceName;
  readonly state: TargetState;
  /** Share of normal traffic, 0 to 1. */
  readonly share: number;
}
