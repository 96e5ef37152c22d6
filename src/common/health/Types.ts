/** Interfaces of failure detection. Times are milliseconds of a monotonic clock. */
import type { TargetId } from '../base/index.js';
import type { TargetState } from '../services/Types.js';

/** A request that the target is running. */
export interface InFlightRequest {
  readonly route: string;
  readonly startedAt: number;
  /** How often the age of this request has been counted as slow. */
  slowCount: number;
}

/** Result of a probe of the target's health endpoint. */
export interface ProbeOutcome {
  /** `unhealthy`: it answered that it is unhealthy; `unreachable`: no complete answer in time. */
  readonly kind: 'healthy' | 'unhealthy' | 'unreachable';
}

/** What the evidence is about. */
export type VerdictCause = 'none' | 'errors' | 'slow' | 'health-report';

/** Reason of a verdict, written to the log. */
export interface VerdictReason {
  readonly cause: VerdictCause;
  /** Log-likelihood ratio of "sick" against "healthy" for this cause. */
  readonly score: number;
  /** Share of errors in the window, 0 to 1. */
  readonly errorRate: number;
  /** Share of slow requests in the window, 0 to 1. */
  readonly slowShare: number;
  /** Number of outcomes in the window. */
  readonly samples: number;
  /** Number of peers that the target was compared with. */
  readonly peers: number;
}

/** Assessment of one target. A `suspect` target is used only as a fallback, a `sick` one may be ejected. */
export interface Verdict {
  readonly health: 'healthy' | 'uncertain' | 'suspect' | 'sick';
  /** Highest score of all causes; a higher one is worse. */
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

/** State of a target as its home reports it to other daemons. */
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

/** Aggregated state of the other targets of a service. */
export interface PeerView {
  /** Number of peers with enough samples for a comparison. */
  readonly peers: number;
  /** Median of their error rates, 0 to 1. */
  readonly errorRate: number;
  /** Median over the peers of the recent median of each route, in milliseconds. */
  readonly routes: ReadonlyMap<string, number>;
}
