/** Types of the traffic configuration: routes with traffic splits, and request limits. */
import type { RandomSource, ServiceName } from '../base/index.js';

/** Service that gets a part of a route's traffic. */
export interface WeightedService {
  readonly service: ServiceName;
  /** Positive weight relative to the other parts. */
  readonly weight: number;
}

/** Route with the settings for the handling of its requests. */
export interface TrafficRoute {
  readonly name: string;
  readonly host: string;
  /** Path prefix; begins and ends with a slash. */
  readonly path: string;
  /** Whether a request may run more than once. */
  readonly isIdempotent: boolean;
  /** Maximum milliseconds until the caller gets a response. */
  readonly timeout: number;
  /** Latency goal in milliseconds, set by the operators. */
  readonly goal: number;
  /** Priority; 0 is served first. */
  readonly rank: number;
  /** Maximum number of targets to which one request is sent. */
  readonly maxAttempts: number;
  readonly parts: readonly WeightedService[];
}

/** Limits for callers. */
export interface CallerLimits {
  /** Bytes. */
  readonly maxHeaderBytes: number;
  /** Bytes. */
  readonly maxBodyBytes: number;
  /** Milliseconds within which the head of a request must be received. */
  readonly headerTimeout: number;
  /** Milliseconds for which an idle connection is kept open. */
  readonly idleTimeout: number;
}

/** One version of the traffic configuration. */
export interface TrafficConfiguration {
  readonly version: number;
  readonly routes: readonly TrafficRoute[];
  readonly limits: CallerLimits;
}

/** Chooses a service of a route at random in proportion to the weights. */
export function chooseService(route: TrafficRoute, random: RandomSource): ServiceName | undefined {
  const total = route.parts.reduce((sum, { weight }) => sum + weight, 0);
  let point = random() * total;
  const chosen = route.parts.find(({ weight }) => {
    point -= weight;
    return point < 0;
  });
  return (chosen ?? route.parts.at(-1))?.service;
}
