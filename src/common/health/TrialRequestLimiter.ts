import type { Clock } from '../base/index.js';

/**
 * Milliseconds between two scouts while none of them is answered. A sick target costs its scouts an attempt each, and
 * sick spells last seconds.
 */
const scoutInterval = 1_500;

/** Bounds the requests that a suspected target gets to show whether it has recovered. */
export class TrialRequestLimiter {
  private nextAt = 0;

  public constructor(private readonly clock: Clock) {}

  /** Takes the permission for one scout; false if the last one left too little time ago. */
  public tryAcquire(): boolean {
    const now = this.clock.elapsed();
    if (now < this.nextAt) return false;
    this.nextAt = now + scoutInterval;
    return true;
  }

  /** An answer came: the next scout may follow at once, so that a recovered target is used again soon. */
  public reset(): void {
    this.nextAt = 0;
  }
}
