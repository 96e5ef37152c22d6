/** Types of the admission control for one target. */
import type { RefusalReason } from '../base/index.js';
import type { OutcomeKind, RequestContext, TargetLoad, WorkClass } from '../services/Types.js';

/** Request for a slot of a target. */
export interface AdmissionRequest {
  /** `timeout` counts from the time at which the admission controller receives the request. */
  readonly context: RequestContext;
}

/** State of the admission controller at a decision, for the log line. */
export interface AdmissionFacts {
  readonly workClass: WorkClass;
  readonly isLong: boolean;
  /** Expected wait in milliseconds at the arrival of the request. */
  readonly expectedWait: number;
  /** Expected milliseconds for which the request holds a slot. */
  readonly expectedCost: number;
  /** Milliseconds between arrival and decision. */
  readonly waited: number;
  readonly load: TargetLoad;
}

/** Refusal of a request. It was not started. */
export interface AdmissionRefusal {
  readonly step: 'admission';
  readonly notRun: true;
  readonly reason: RefusalReason;
  /** Explanation for operators. */
  readonly message: string;
  /** Milliseconds after which a retry can succeed. */
  readonly retryAfter: number;
  readonly facts: AdmissionFacts;
}

/** How the request that held a slot ended. */
export interface SlotOutcome {
  readonly kind: OutcomeKind;
}

/** A slot of the target. It is held until `release`, which does nothing when called again. */
export interface Permit {
  readonly facts: AdmissionFacts;
  release(outcome: SlotOutcome): void;
}

/** Limits of an admission controller. */
export interface AdmissionLimits {
  /** Maximum number of concurrent requests at the target. */
  readonly slots: number;
  /** Maximum number of queued requests. */
  readonly maxQueue: number;
}

/** Learned service times of the routes of one service. All times are in milliseconds. */
export interface CostEstimate {
  /** Mean time in a slot, with clipped stragglers. */
  expected(route: string): number;
  /** 90th percentile of the time in a slot. */
  p90(route: string): number;
  /** Whether the median of the route is over four times that of the service. */
  isLong(route: string): boolean;
  /** Adds the time for which a request of the route held its slot. */
  record(route: string, time: number): void;
}
