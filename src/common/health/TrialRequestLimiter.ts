import type { Clock } from '../base/index.js';

/**
 * Milliseconds between trial requests while none succeeds. Each trial request to an unhealthy target wastes an attempt,
 * and unhealthy periods last seconds.
 */
const trialInterval = 1_500;

/** Limits the rate of trial requests, which a suspected target gets to detect its recovery. */
export class TrialRequestLimiter {
  private nextAt = 0;

  public constructor(private readonly clock: Clock) {}

  /** Acquires the permit for one trial request; false if the last one was granted too recently. */
  public tryAcquire(): boolean {
    const now = this.clock.elapsed();
    if (now < this.nextAt) return false;
    this.nextAt = now + trialInterval;
    return true;
  }

  /** Permits the next trial request at once; called after an answer, so that a recovered target is used again soon. */
  public reset(): void {
    this.nextAt = 0;
  }
}
