import type { RandomSource } from '../base/index.js';

/** Exponential backoff in milliseconds up to a maximum, with jitter so that homes do not retry in step. */
export class Backoff {
  private delay: number;

  private nextAttemptAt = -Infinity;

  public constructor(
    private readonly minDelay: number,
    private readonly maxDelay: number,
    private readonly random: RandomSource,
  ) {
    this.delay = minDelay;
  }

  /** Whether the next attempt may start at `now`. */
  public isDue(now: number): boolean {
    return now >= this.nextAttemptAt;
  }

  /** Records an attempt that failed at `now`. */
  public failed(now: number): void {
    this.nextAttemptAt = now + this.delay * (0.75 + 0.5 * this.random());
    this.delay = Math.min(this.maxDelay, this.delay * 2);
  }

  /** Records a successful attempt. */
  public succeeded(): void {
    this.delay = this.minDelay;
    this.nextAttemptAt = -Infinity;
  }
}
