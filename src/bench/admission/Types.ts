/** Interfaces of the simulated fleet for selection, admission and retries. */
import type { WorkClass } from '../../api/index.js';
import type { AdmissionFleet } from './AdmissionFleet.js';

/** Kind of request that callers send. */
export interface RequestKind {
  readonly route: string;
  readonly workClass: WorkClass;
  /** Share among all requests. */
  readonly share: number;
  /** Mean time in milliseconds that a request occupies a slot. */
  readonly meanServiceTime: number;
  /** Timeout of a request in milliseconds. */
  readonly timeout: number;
  readonly isIdempotent: boolean;
  /** Milliseconds for which a caller retries a refused request; 0 disables such retries. */
  readonly maxRetryDuration: number;
}

/** One request of a caller. */
export interface SimulatedRequest {
  readonly kind: RequestKind;
  /** Time in milliseconds that the request occupies a slot. */
  readonly serviceTime: number;
  /** Arrival in milliseconds on the virtual clock. */
  readonly arrivedAt: number;
  readonly id: string;
}

/** Result of a request at its caller. */
export interface SimulatedResult {
  readonly type: 'answered' | 'refused' | 'failed' | 'timeout';
  /** Milliseconds until the caller received the result. */
  readonly latency: number;
  /** Milliseconds after which a refused caller may retry. */
  readonly retryAfter: number;
}

/** Request with its final result. Times count from the first attempt of the caller. */
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
  /** Requests per second at a virtual time in milliseconds. */
  readonly rateAt: (time: number) => number;
  /** Milliseconds during which requests arrive. */
  readonly duration: number;
  /** Events during the run, such as faults, at times in milliseconds. */
  readonly events?: readonly {
    readonly at: number;
    readonly action: (fleet: AdmissionFleet) => void;
  }[];
}
