import { RunningQuantile } from './RunningQuantile.js';

/** Weight of one sample in the mean. */
const meanWeight = 0.1;

/** Samples count for at most this many medians, because one straggler would distort the mean for long. */
const clipFactor = 8;

/** Share of requests that stay below the likely cost. */
const likelyShare = 0.9;

/** Samples of a route that are needed before its own figures replace those of the service. */
const minimumSamples = 3;

/** Time in a slot of one kind of work, learned from its samples. All times are in milliseconds. */
export class RouteCost {
  /** Half of the work takes less. */
  public readonly median = new RunningQuantile(0.5);

  /** Nine in ten take less. */
  public readonly p90 = new RunningQuantile(likelyShare);

  /** Mean in which stragglers are clipped. */
  public mean = 0;

  /** Adds a sample. */
  public record(time: number): void {
    this.median.record(time);
    this.p90.record(time);
    const clipped = Math.min(time, this.median.value * clipFactor);
    const weight = Math.max(meanWeight, 1 / this.median.samples);
    this.mean += weight * (clipped - this.mean);
  }

  /** Whether there are enough samples to rely on. */
  public get hasEnoughSamples(): boolean {
    return this.median.samples >= minimumSamples;
  }
}
