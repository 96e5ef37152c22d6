import type { Clock } from '../base/index.js';
import { SlidingWindowCounter } from './SlidingWindowCounter.js';

/**
 * Share of the limits that homes use. The rest covers windows that are not aligned, and the calls of targets, which a
 * home cannot tell from requests of callers: they are no first attempts to the platform, and those of a retried request
 * are retries. With C calls among N first attempts, and c calls for each request of the calling service, the sum is at
 * most `share * (ratio * (N + C) + (1 + c) * slack)` for a limit of `ratio * (N - C) + slack`. That holds for a third of
 * calls and c of 1.4, unless the first attempts allow hardly more retries than the slack.
 */
export const usableShare = 0.45;

/** Retry limits of the whole fleet for one service. */
export interface FleetRetryLimits {
  /** Retries allowed per first attempt. */
  readonly ratio: number;
  /** Retries allowed in each window regardless of the number of first attempts. */
  readonly slack: number;
  /** Length of the window in seconds. */
  readonly window: number;
}

/**
 * Share of the fleet's retry budget that the home of one target grants. Every request arrives at a home, so the sum
 * over the homes of a service stays within the limits without coordination, and a retry that one home refuses can be
 * sent to the next one.
 */
export class HomeRetryBudget {
  private readonly firstAttempts: SlidingWindowCounter;

  private readonly retries: SlidingWindowCounter;

  /**
   * `limits` is called each time, since operators can change them; `countTargets` returns the number of targets of the
   * service, which share the slack.
   */
  public constructor(
    private readonly limits: () => FleetRetryLimits,
    private readonly countTargets: () => number,
    clock: Clock,
  ) {
    const { window } = limits();
    this.firstAttempts = new SlidingWindowCounter(window, clock);
    // One second longer, since a sliding window can begin within the oldest second.
    this.retries = new SlidingWindowCounter(window + 1, clock);
  }

  /** Counts a request that was not sent to any target before. */
  public recordFirstAttempt(): void {
    this.firstAttempts.add();
  }

  /** Whether one more retry is allowed now. */
  public get allowsRetry(): boolean {
    const { ratio, slack } = this.limits();
    const allowed =
      usableShare * (ratio * this.firstAttempts.sum + slack / Math.max(1, this.countTargets()));
    return this.retries.sum + 1 <= allowed;
  }

  /** Counts a request that was sent to another target before. */
  public recordRetry(): void {
    this.retries.add();
  }
}
