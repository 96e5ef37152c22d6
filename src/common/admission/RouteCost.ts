import { RunningQuantile } from './RunningQuantile.js';

/** Weight of one sample in the moving average. */
const smoothingFactor = 0.1;

/** Samples are clipped at this multiple of the median, because one straggler would distort the mean for long. */
const clipFactor = 8;

/** Quantile estimated by `p90`. */
const highQuantile = 0.9;

/** Samples of a route required before its estimates replace those of the service. */
const minSamples = 3;

/** Estimated time for which requests of a route or service hold a slot. All times are in milliseconds. */
export class RouteCost {
  public readonly median = new RunningQuantile(0.5);

  public readonly p90 = new RunningQuantile(highQuantile);

  /** Mean with clipped stragglers. */
  public mean = 0;

  public record(time: number): void {
    this.median.record(time);
    this.p90.record(time);
    const clipped = Math.min(time, this.median.value * clipFactor);
    const weight = Math.max(smoothingFactor, 1 / this.median.samples);
    this.mean += weight * (clipped - this.mean);
  }

  /** Whether the estimates are based on enough samples. */
  public get hasEnoughSamples(): boolean {
    return this.median.samples >= minSamples;
  }
}
