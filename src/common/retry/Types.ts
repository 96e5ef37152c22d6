/** Interfaces of retries and hedging. */
import type { Either } from 'fp-ts/lib/Either.js';
import type { ServiceName } from '../base/index.js';
import type { RequestContext } from '../services/Types.js';

/** Limits the retries of an entry. */
export interface RetryLimiter {
  /** Counts a request of a caller. */
  recordRequest(service: ServiceName): void;
  /** Takes one retry or hedge from the budget; false if none is left. */
  takeRetry(service: ServiceName): boolean;
}

/** Why a request is not hedged. */
export type HedgeRefusal = 'off' | 'not-idempotent' | 'not-learned' | 'long' | 'deadline';

/** Decides whether and when a request is hedged. */
export interface Hedging {
  /** Milliseconds after which the second request may be sent, if the retry budget allows it then. */
  delayFor(context: RequestContext): Either<HedgeRefusal, number>;
  /** Records the latency of an answer of the route in milliseconds. */
  record(route: string, latency: number): void;
}

/** Settings of a hedge policy. */
export interface HedgeSettings {
  readonly isEnabled: (service: ServiceName) => boolean;
  /** Whether the route takes far longer than the rest of its service. */
  readonly isLong: (route: string) => boolean;
}
