import type { RouteLatency } from './Types.js';

/** Samples that make a quantile worth using. */
export const minimumSamples = 20;

const recentLength = 16;
const minimumStep = 0.01;
const upperQuantile = 0.95;
const factorRange = { lowest: 3, highest: 6 };

function middle(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[sorted.length >> 1] ?? NaN;
}

/**
 * Latency of one route at one target: its past (slowly moving quantiles, learned by stochastic approximation on the
 * logarithm) and its last few values. Dividing by the route's own past makes routes of different cost comparable.
 */
export class RouteBaseline {
  private readonly recent: number[] = [];

  private position = 0;

  private sampleCount = 0;

  private logMedian = 0;

  private logUpper = 0;

  private lastUsed = 0;

  public constructor(private readonly route: string) {}

  /** Samples learned so far. */
  public get samples(): number {
    return this.sampleCount;
  }

  /** Time of the last sample, for dropping routes that are no longer used. */
  public get usedAt(): number {
    return this.lastUsed;
  }

  /** Median of the past in milliseconds, or undefined while there are too few samples. */
  public get median(): number | undefined {
    return this.sampleCount < minimumSamples ? undefined : Math.exp(this.logMedian);
  }

  /**
   * Factor on the median above which one request counts as slow. It follows the spread of the route up to 6, so that
   * a target 10 times slower crosses it on any route.
   */
  public get slowFactor(): number {
    const spread = 1.5 * Math.exp(this.logUpper - this.logMedian);
    return Math.min(factorRange.highest, Math.max(factorRange.lowest, spread));
  }

  /** Adds a latency in milliseconds; `rate` below 1 slows learning down while the target is in doubt. */
  public add(latency: number, now: number, rate = 1): void {
    this.lastUsed = now;
    this.recent[this.position] = latency;
    this.position = (this.position + 1) % recentLength;
    this.learn(Math.log(Math.max(0.1, latency)), rate);
  }

  /** Median of the last values, or undefined while there are too few. */
  public summary(): RouteLatency | undefined {
    if (this.recent.length < recentLength / 2) return undefined;
    return { route: this.route, median: middle(this.recent), samples: this.recent.length };
  }

  private learn(value: number, rate: number): void {
    if (this.sampleCount === 0) {
      this.logMedian = value;
      this.logUpper = value + Math.log(factorRange.lowest / 1.5);
    }
    this.sampleCount += 1;
    const step = rate * Math.max(minimumStep, 1 / this.sampleCount);
    this.logMedian += value > this.logMedian ? step : -step;
    // At rest, 5% of the values lie above the upper quantile, so their steps are 19 times as long.
    this.logUpper +=
      value > this.logUpper ? step * upperQuantile * 2 : -step * (1 - upperQuantile) * 2;
  }
}
