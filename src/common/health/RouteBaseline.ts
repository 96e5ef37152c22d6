import type { RouteLatency } from './Types.js';

/** Minimum number of samples before a quantile is used. */
export const minimumSamples = 20;

const recentCount = 16;
const minimumStep = 0.01;
const upperShare = 0.95;
const factorRange = { lowest: 3, highest: 6 };

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[sorted.length >> 1] ?? NaN;
}

/**
 * Latency of one route at one target: long-term quantiles, learned by stochastic approximation on the logarithm, and
 * the most recent values. Latencies relative to the route's own median are comparable between routes of different cost.
 */
export class RouteBaseline {
  private readonly recent: number[] = [];

  private position = 0;

  private count = 0;

  private logMedian = 0;

  private logUpper = 0;

  private lastUsed = 0;

  public constructor(private readonly route: string) {}

  /** Number of samples learned. */
  public get samples(): number {
    return this.count;
  }

  /** Time of the last sample. */
  public get usedAt(): number {
    return this.lastUsed;
  }

  /** Long-term median in milliseconds, or undefined while there are too few samples. */
  public get median(): number | undefined {
    return this.count < minimumSamples ? undefined : Math.exp(this.logMedian);
  }

  /**
   * Multiple of the median above which a request counts as slow. It grows with the spread of the route, but at most to 6,
   * so that a target that is 10 times slower exceeds it on every route.
   */
  public get slowFactor(): number {
    const spread = 1.5 * Math.exp(this.logUpper - this.logMedian);
    return Math.min(factorRange.highest, Math.max(factorRange.lowest, spread));
  }

  /** Adds a latency in milliseconds; a `rate` below 1 slows learning down while the target may be unhealthy. */
  public add(latency: number, now: number, rate = 1): void {
    this.lastUsed = now;
    this.recent[this.position] = latency;
    this.position = (this.position + 1) % recentCount;
    this.learn(Math.log(Math.max(0.1, latency)), rate);
  }

  /** Median of the most recent values, or undefined while there are too few. */
  public summary(): RouteLatency | undefined {
    if (this.recent.length < recentCount / 2) return undefined;
    return { route: this.route, median: medianOf(this.recent), samples: this.recent.length };
  }

  private learn(value: number, rate: number): void {
    if (this.count === 0) {
      this.logMedian = value;
      this.logUpper = value + Math.log(factorRange.lowest / 1.5);
    }
    this.count += 1;
    const step = rate * Math.max(minimumStep, 1 / this.count);
    this.logMedian += value > this.logMedian ? step : -step;
    // In equilibrium, 5% of the values lie above the upper quantile, so their steps are 19 times as long.
    this.logUpper += value > this.logUpper ? step * upperShare * 2 : -step * (1 - upperShare) * 2;
  }
}
