/** Interfaces of retries, hedges and deadlines. */
import type { Either } from 'fp-ts/lib/Either.js';
import type { ServiceName } from '../base/index.js';
import type { RequestContext } from '../services/Types.js';

/** Decides whether an entry may send a request once more. */
export interface RetryLimiter {
  /** Counts a request of a caller. */
  recordRequest(service: ServiceName): void;
  /** Takes one retry or hedge from the budget; false if there is none left. */
  takeRetry(service: ServiceName): boolean;
}

/** Why a request is not hedged. */
export type HedgeRefusal = 'off' | 'not-idempotent' | 'not-learned' | 'long' | 'deadline';

/** Decides whether and when a second copy of a request is sent. */
export interface Hedging {
  /** Milliseconds after which the second copy may be sent, if the budget allows it then. */
  delayFor(context: RequestContext): Either<HedgeRefusal, number>;
  /** Adds the latency of an answer of the route in milliseconds. */
  record(route: string, latency: number): void;
}

/** What a hedge policy depends on. */
export interface HedgeSettings {
  readonly isEnabled: (service: ServiceName) => boolean;
  /** Whether the route takes far longer than the rest of its service. */
  readonly isLong: (route: string) => boolean;
}
