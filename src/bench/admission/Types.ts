/** Interfaces of the simulated fleet for selection, admission and retries. */
import type { WorkClass } from '../../api/index.js';
import type { Fleet } from './Fleet.js';

/** Kind of request that callers send. */
export interface RequestKind {
  readonly route: string;
  readonly workClass: WorkClass;
  /** Share among all requests. */
  readonly share: number;
  /** Mean milliseconds of a slot. */
  readonly work: number;
  /** Milliseconds. */
  readonly timeout: number;
  readonly isIdempotent: boolean;
  /** Milliseconds for which a caller repeats a refused request; 0 if it gives up at once. */
  readonly patience: number;
}

/** One request of a caller. */
export interface SimulatedRequest {
  readonly kind: RequestKind;
  /** Milliseconds of a slot. */
  readonly work: number;
  /** Milliseconds on the virtual clock. */
  readonly arrived: number;
  readonly id: string;
}

/** What the caller got. */
export interface SimulatedResult {
  readonly type: 'answered' | 'refused' | 'failed' | 'timeout';
  /** Milliseconds until the caller knew. */
  readonly latency: number;
  /** Milliseconds after which a refused caller tries again. */
  readonly retryAfter: number;
}

/** Request with its last result. Times count from the first time that the caller sent it. */
export interface Observation {
  readonly request: SimulatedRequest;
  /** Refusals before the result. */
  readonly refusals: number;
  readonly result: SimulatedResult;
}

/** Entry of a fleet under some policy. */
export interface SimulatedEntry {
  send(request: SimulatedRequest, done: (result: SimulatedResult) => void): void;
}

/** Size of a simulated fleet. */
export interface FleetSize {
  readonly entries: number;
  readonly targets: number;
  readonly slots: number;
  readonly maxQueue: number;
}

/** Settings of a run. */
export interface RunSettings {
  readonly size: FleetSize;
  readonly kinds: readonly RequestKind[];
  /** Requests a second at a time in milliseconds. */
  readonly rateAt: (time: number) => number;
  /** Milliseconds. */
  readonly duration: number;
  /** Events during the run, such as faults, at times in milliseconds. */
  readonly onTime?: readonly { readonly at: number; readonly action: (fleet: Fleet) => void }[];
}
