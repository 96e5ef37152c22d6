/** Interfaces of the admission of work to one target. */
import type { RefusalReason } from '../base/index.js';
import type { OutcomeKind, RequestContext, TargetLoad, WorkClass } from '../services/Types.js';

/** A request that asks for a slot of a target. */
export interface AdmissionRequest {
  /** `timeout` counts from the moment at which the gate receives the request. */
  readonly context: RequestContext;
}

/** State of the gate at a decision, for the log line. */
export interface AdmissionFacts {
  readonly workClass: WorkClass;
  readonly isLong: boolean;
  /** Milliseconds that the request was expected to wait when it arrived. */
  readonly expectedWait: number;
  /** Milliseconds of a slot that the request was expected to need. */
  readonly expectedCost: number;
  /** Milliseconds that the request waited until the decision. */
  readonly waited: number;
  readonly load: TargetLoad;
}

/** The request was refused and has not been started. */
export interface AdmissionRefusal {
  readonly step: 'admission';
  readonly notRun: true;
  readonly reason: RefusalReason;
  /** Explains the reason to an operator. */
  readonly message: string;
  /** Milliseconds after which another attempt can succeed. */
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

/** Limits of a gate. */
export interface AdmissionLimits {
  /** Requests that the target runs at the same time. */
  readonly slots: number;
  /** Requests that may wait. */
  readonly maxQueue: number;
}

/** Learned service times of the routes of one service. All times are in milliseconds. */
export interface CostEstimate {
  /** Mean time in a slot; stragglers are clipped. */
  expected(route: string): number;
  /** Time in a slot that nine in ten requests of the route stay below. */
  p90(route: string): number;
  /** Whether the route takes over four times the median of the service. */
  isLong(route: string): boolean;
  /** Adds the time that a request of the route held its slot. */
  record(route: string, time: number): void;
}
