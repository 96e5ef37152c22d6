import type { RandomSource } from '../base/index.js';

/** Waits between tries in milliseconds, doubling up to the longest, with jitter so that homes do not act in step. */
export class Backoff {
  private wait: number;

  private nextAt = -Infinity;

  public constructor(
    private readonly shortest: number,
    private readonly longest: number,
    private readonly random: RandomSource,
  ) {
    this.wait = shortest;
  }

  /** Whether the next try may start at `now`. */
  public isDue(now: number): boolean {
    return now >= this.nextAt;
  }

  /** A try failed at `now`. */
  public failed(now: number): void {
    this.nextAt = now + this.wait * (0.75 + 0.5 * this.random());
    this.wait = Math.min(this.longest, this.wait * 2);
  }

  /** A try succeeded. */
  public succeeded(): void {
    this.wait = this.shortest;
    this.nextAt = -Infinity;
  }
}
