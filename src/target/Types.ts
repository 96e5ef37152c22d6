/** Interfaces of the fake target. */

/** Faults that can be combined; they are set over `PUT /.fault` with a JSON body. */
export interface FaultSettings {
  /** Factor on the service time. */
  readonly slowness: number;
  /** Share of requests that run `stragglerFactor` times longer. */
  readonly stragglerShare: number;
  readonly stragglerFactor: number;
  /** Share of requests answered with 500. */
  readonly errorShare: number;
  /** Share of answers whose body is cut before its length. */
  readonly truncateShare: number;
  /** Share of answers that echo another request's id. */
  readonly crossedShare: number;
  /** Share of requests that run but are never answered: the answer is lost. */
  readonly lostAnswerShare: number;
  /** Accepts connections but answers nothing. */
  readonly isHalfOpen: boolean;
  /** The health endpoint reports the opposite of the truth. */
  readonly isHealthLying: boolean;
  /** Period in milliseconds after which the faults switch off and on again; 0 means constant faults. */
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
  /** Announce ports of daemons, preferred one first. */
  readonly homes: readonly string[];
  readonly slots: number;
  readonly connections: number;
  /** Mean service time in milliseconds. */
  readonly serviceTime: number;
  /** For this long after the start the service time is doubled, in milliseconds. */
  readonly coldStart: number;
  readonly seed: number;
}
