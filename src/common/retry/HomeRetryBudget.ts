import type { Clock } from '../base/index.js';
import { SlidingWindowCounter } from './SlidingWindowCounter.js';

/**
 * Part of the fleet's allowance that is used. The rest covers windows that slide differently, and the calls that
 * targets make while they run a repeated request: those arrive elsewhere as if they were first ones.
 */
const usedShare = 0.6;

/** Allowance of the whole fleet for one service. */
export interface FleetRetryLimits {
  /** Repeats for each first arrival. */
  readonly ratio: number;
  /** Repeats in each window that need no first arrival. */
  readonly slack: number;
  /** Seconds of the window. */
  readonly window: number;
}

/**
 * Part of the fleet's retry budget that the home of one target may grant. Homes see every arrival, so that the
 * sum over the homes of a service keeps the bound without a message, and a retry that one home has no budget for
 * can ask the next one.
 */
export class HomeRetryBudget {
  private readonly first: SlidingWindowCounter;

  private readonly repeated: SlidingWindowCounter;

  /**
   * `allowance` is asked each time, since operators can change it; `homes` gives the number of targets of the
   * service, which share the slack.
   */
  public constructor(
    private readonly allowance: () => FleetRetryLimits,
    private readonly homes: () => number,
    clock: Clock,
  ) {
    const { window } = allowance();
    this.first = new SlidingWindowCounter(window, clock);
    // One second more, since a window that slides can begin within the oldest second.
    this.repeated = new SlidingWindowCounter(window + 1, clock);
  }

  /** Counts a request that has not been sent to any target before. */
  public recordFirstAttempt(): void {
    this.first.add();
  }

  /** Whether one more repeat may be sent now. */
  public get allowsRetry(): boolean {
    const { ratio, slack } = this.allowance();
    const allowed = usedShare * (ratio * this.first.sum + slack / Math.max(1, this.homes()));
    return this.repeated.sum + 1 <= allowed;
  }

  /** Counts a request that was sent to another target before. */
  public recordRetry(): void {
    this.repeated.add();
  }
}
