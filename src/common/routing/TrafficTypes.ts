/** Routes of a fleet that splits traffic and bounds each request. */
import type { RandomSource, ServiceName } from '../base/index.js';

/** Part of a route's traffic that goes to one service. */
export interface WeightedService {
  readonly service: ServiceName;
  /** Positive weight among the parts. */
  readonly weight: number;
}

/** Route with all that decides how its requests are treated. */
export interface TrafficRoute {
  readonly name: string;
  readonly host: string;
  /** Path prefix that begins and ends with a slash. */
  readonly path: string;
  /** Whether a request may run more than once. */
  readonly isIdempotent: boolean;
  /** Milliseconds for which a caller is kept waiting at the longest. */
  readonly timeout: number;
  /** Latency in milliseconds that the operators ask for. */
  readonly goal: number;
  /** 0 is served first. */
  readonly rank: number;
  /** Targets to which one request may be sent at the most. */
  readonly maxAttempts: number;
  readonly parts: readonly WeightedService[];
}

/** Bounds of what a caller may send. */
export interface CallerLimits {
  /** Bytes. */
  readonly maxHeaderBytes: number;
  /** Bytes. */
  readonly maxBodyBytes: number;
  /** Milliseconds in which the head of a request must be in. */
  readonly headerTimeout: number;
  /** Milliseconds for which an idle connection is kept. */
  readonly idleTimeout: number;
}

/** One version of the operators' traffic configuration. */
export interface TrafficConfiguration {
  readonly version: number;
  readonly routes: readonly TrafficRoute[];
  readonly limits: CallerLimits;
}

/** Chooses a part of a route in proportion to the weights. */
export function chooseService(route: TrafficRoute, random: RandomSource): ServiceName | undefined {
  const total = route.parts.reduce((sum, { weight }) => sum + weight, 0);
  let point = random() * total;
  const chosen = route.parts.find(({ weight }) => {
    point -= weight;
    return point < 0;
  });
  return (chosen ?? route.parts.at(-1))?.service;
}
