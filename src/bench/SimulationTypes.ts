/** Jobs and results of the detection simulations, which run in worker threads. */
import type { BaselineName } from './BaselinePolicy.js';

/** Kinds of failure that must be detected. */
export type FailureName = 'hard' | 'slow' | 'erring' | 'silent' | 'wrong';

/** Ejection policy under test. */
export type PolicyName = 'limpettrack' | BaselineName;

/** Measures the time until one failure is detected. */
export interface DetectionJob {
  readonly type: 'detection';
  readonly seed: number;
  readonly failure: FailureName;
  readonly policy: PolicyName;
}

/** Result of a detection job. */
export interface DetectionResult {
  /** Milliseconds from the failure until the target stops receiving normal traffic. */
  readonly delay: number;
  /** Ejections of other targets, by any cause. */
  readonly falseEjections: number;
}

/** Counts ejections of healthy targets. */
export interface HealthyJob {
  readonly type: 'healthy';
  readonly seed: number;
  readonly hours: number;
  /** Every 20 minutes the whole service is slow for 20 s or fails 3 requests in 10 for 10 s. */
  readonly hasBrownouts: boolean;
}

/** Result of a job without failures. */
export interface HealthyResult {
  readonly ejections: number;
  readonly suspicions: number;
  /** Ejections that each baseline would have made for the same outcomes. */
  readonly baselines: Readonly<Record<BaselineName, number>>;
  readonly requests: number;
}

/** Job of a worker thread. */
export type SimulationJob = DetectionJob | HealthyJob;
