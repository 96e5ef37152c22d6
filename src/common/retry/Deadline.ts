import type { Clock } from '../base/index.js';

/** Minimum timeout in milliseconds, since a timeout that is rounded to 0 could be taken as no timeout. */
const minTimeout = 1;

/** Deadline of a request on the monotonic clock of this process. */
export class Deadline {
  private readonly expiresAt: number;

  /** `timeout` in milliseconds from now. */
  public constructor(
    timeout: number,
    private readonly clock: Clock,
  ) {
    this.expiresAt = clock.elapsed() + timeout;
  }

  /** Remaining milliseconds; 0 when the deadline has passed. */
  public get remaining(): number {
    return Math.max(0, this.expiresAt - this.clock.elapsed());
  }

  /** Whether the deadline has passed. */
  public get isPast(): boolean {
    return this.remaining === 0;
  }

  /** Timeout in milliseconds for the next process, given the round trip to it. */
  public timeoutForNextHop(roundTrip: number): number {
    return Math.max(minTimeout, this.remaining - roundTrip);
  }

  /** Timeout in milliseconds of an attempt that leaves `1 - share` of the remaining time for the next one. */
  public attemptTimeout(share: number): number {
    return Math.max(minTimeout, this.remaining * share);
  }
}

/**
 * Timeout of a request in milliseconds: the one that the caller requested in a header if it is a positive number, but
 * at most that of the route.
 */
export function chooseTimeout(requested: string | undefined, maxTimeout: number): number {
  const timeout = Number(requested ?? maxTimeout);
  return timeout > 0 ? Math.min(timeout, maxTimeout) : maxTimeout;
}
