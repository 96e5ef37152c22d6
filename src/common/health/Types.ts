/** Interfaces of detection. Times are milliseconds of a monotonic clock. */
import type { TargetId } from '../base/index.js';
import type { TargetState } from '../services/Types.js';

/** Request that is running at the target. */
export interface InFlightRequest {
  readonly route: string;
  readonly startedAt: number;
  /** How often the age of this request has been counted as slow. */
  slowCount: number;
}

/** Answer of the target's health endpoint, or the lack of one. */
export interface ProbeOutcome {
  /** `unhealthy`: it answered and called itself ill; `unreachable`: no whole answer in time. */
  readonly kind: 'healthy' | 'unhealthy' | 'unreachable';
}

/** What the evidence is about. */
export type VerdictCause = 'none' | 'errors' | 'slow' | 'health-report';

/** Structured reason of a verdict, written into the log line. */
export interface VerdictReason {
  readonly cause: VerdictCause;
  /** Logarithm of the likelihood ratio of "sick" against "healthy" for that cause. */
  readonly score: number;
  /** Share of errors in the window, 0 to 1. */
  readonly errorRate: number;
  /** Share of slow requests in the window, 0 to 1. */
  readonly slowShare: number;
  /** Outcomes in the window. */
  readonly samples: number;
  /** Peers that the target was compared with. */
  readonly peers: number;
}

/** Judgement of one target. `suspect` is grounds to prefer others, `sick` is grounds to eject. */
export interface Verdict {
  readonly health: 'healthy' | 'uncertain' | 'suspect' | 'sick';
  /** Greatest score of all causes; orders targets from least to most bad. */
  readonly severity: number;
  readonly reason: VerdictReason;
}

/** Recent latency of one route at one target. */
export interface RouteLatency {
  readonly route: string;
  /** Milliseconds. */
  readonly median: number;
  readonly samples: number;
}

/** What a home tells others of one of its targets. */
export interface TargetSummary {
  readonly target: TargetId;
  readonly status: TargetState;
  readonly slots: number;
  /** Share of normal traffic, 0 to 1. */
  readonly share: number;
  /** Milliseconds since the target last announced itself to this home. */
  readonly age: number;
  readonly errorRate: number;
  readonly samples: number;
  readonly severity: number;
  readonly routes: readonly RouteLatency[];
}

/** What the other targets of a service show at present. */
export interface PeerView {
  /** Peers with enough samples to be compared with. */
  readonly peers: number;
  /** Median of their error rates, 0 to 1. */
  readonly errorRate: number;
  /** Median over the peers of the recent median of each route, in milliseconds. */
  readonly routes: ReadonlyMap<string, number>;
}
