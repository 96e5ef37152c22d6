import type { Clock } from '../base/index.js';

const millisecondsPerSecond = 1_000;
/** Milliseconds of the rate that may start at once after a pause. */
const burstTime = 500;
/** Requests per second below which a target would not show in time that it takes more again. */
const minRate = 0.25;

/**
 * Limits the starts of requests to a rate, by the generic cell rate algorithm: starts are spaced evenly, and a pause saves
 * up at most half a second of the rate. A target whose limit is zero still gets a request in 4 s, whose answer shows
 * whether the limit has been lifted.
 */
export class RateLimit {
  /** Milliseconds between starts; undefined without a limit. */
  private spacing: number | undefined;

  /** Time at which the next request would start if all were evenly spaced. */
  private nextAt = 0;

  public constructor(private readonly clock: Clock) {}

  /** Milliseconds between starts; undefined without a limit. */
  public get interval(): number | undefined {
    return this.spacing;
  }

  /** Sets the limit in requests per second, at least 0; undefined removes it. */
  public set(rate: number | undefined): void {
    if (rate === undefined) {
      this.spacing = undefined;
      return;
    }
    const isNew = this.spacing === undefined;
    this.spacing = millisecondsPerSecond / Math.max(minRate, rate);
    const full = this.clock.elapsed() + this.tolerance(this.spacing);
    // A new limit starts without saved-up starts, and a higher one ends the long waits of a lower one.
    this.nextAt = isNew ? full : Math.min(this.nextAt, full + this.spacing);
  }

  /** Milliseconds until a request may start that has `ahead` others before it; 0 if it may start now. */
  public waitFor(ahead: number): number {
    if (this.spacing === undefined) return 0;
    const now = this.clock.elapsed();
    const next = Math.max(this.nextAt, now) + ahead * this.spacing;
    return Math.max(0, next - this.tolerance(this.spacing) - now);
  }

  /** Records the start of a request. */
  public recordStart(): void {
    if (this.spacing === undefined) return;
    this.nextAt = Math.max(this.nextAt, this.clock.elapsed()) + this.spacing;
  }

  /** Milliseconds by which starts may be ahead of the even spacing. */
  private tolerance(spacing: number): number {
    return Math.max(0, burstTime - spacing);
  }
}
