import type { Clock } from '../base/index.js';

/** Milliseconds that every attempt gets, so that a rounding to 0 does not mean "no limit" on the way. */
const leastTimeout = 1;

/** Moment up to which an answer is of use, on the monotonic clock of this process. */
export class Deadline {
  private readonly due: number;

  /** `timeout` in milliseconds from now. */
  public constructor(
    timeout: number,
    private readonly clock: Clock,
  ) {
    this.due = clock.elapsed() + timeout;
  }

  /** Milliseconds left; 0 when it has passed. */
  public get remaining(): number {
    return Math.max(0, this.due - this.clock.elapsed());
  }

  /** Whether it has passed. */
  public get isPast(): boolean {
    return this.remaining === 0;
  }

  /** Timeout in milliseconds to hand to the next process when the path there and back takes `roundTrip`. */
  public timeoutForNextHop(roundTrip: number): number {
    return Math.max(leastTimeout, this.remaining - roundTrip);
  }

  /** Timeout of an attempt that leaves `1 - share` of the remaining time to the one that follows. */
  public attemptTimeout(share: number): number {
    return Math.max(leastTimeout, this.remaining * share);
  }
}

/**
 * Timeout of a request in milliseconds: the caller's wish, as text of a header, if it is a positive
 * number, but never more than the route allows.
 */
export function chooseTimeout(wish: string | undefined, longest: number): number {
  const wanted = Number(wish ?? longest);
  return wanted > 0 ? Math.min(wanted, longest) : longest;
}
