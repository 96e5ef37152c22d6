/** Types of the fake target. */

/** Faults, which can be combined; set through `PUT /.fault` with a JSON body. */
export interface FaultSettings {
  /** Factor on the service time. */
  readonly slowness: number;
  /** Share of requests that take `stragglerFactor` times longer. */
  readonly stragglerShare: number;
  readonly stragglerFactor: number;
  /** Share of requests answered with 500. */
  readonly errorShare: number;
  /** Share of responses whose body ends before its declared length. */
  readonly truncateShare: number;
  /** Share of responses that echo the ID of the previous request. */
  readonly crossedShare: number;
  /** Share of requests that run but whose connection is closed without a response. */
  readonly lostAnswerShare: number;
  /** Accepts connections and requests but never responds. */
  readonly isHalfOpen: boolean;
  /** The health endpoint reports the opposite of the actual health. */
  readonly isHealthLying: boolean;
  /** Milliseconds after which the faults toggle between on and off; 0 means that they stay on. */
  readonly flapPeriod: number;
}

/** No fault. */
export const noFault: FaultSettings = {
  slowness: 1,
  stragglerShare: 0,
  stragglerFactor: 50,
  errorShare: 0,
  truncateShare: 0,
  crossedShare: 0,
  lostAnswerShare: 0,
  isHalfOpen: false,
  isHealthLying: false,
  flapPeriod: 0,
};

/** Settings of one fake target. */
export interface TargetSettings {
  readonly id: string;
  readonly service: string;
  readonly listen: string;
  /** `host:port` of the daemons to announce to, in order of preference. */
  readonly homes: readonly string[];
  /** Requests that run at the same time; further ones are queued. */
  readonly slots: number;
  /** Connections that the target announces it can hold. */
  readonly connections: number;
  /** Mean service time in milliseconds. */
  readonly serviceTime: number;
  /** Milliseconds after the start in which the service time is doubled. */
  readonly coldStart: number;
  readonly seed: number;
}
