/** Weight of the prior, in number of answers. */
const priorWeight = 4;
/** Weight of the newest answer once many have been seen; follows a change within about thirty answers. */
const minWeight = 0.03;
/** Prior median as a share of the latency goal of the route; typical of both deployments. */
const priorShare = 0.25;
/** Prior standard deviation of the logarithm of the latency. */
const priorSpread = 0.7;
/** Lower bound of the spread, so that after many equal latencies a slightly higher one is not an outlier. */
const minSpread = 0.35;
/** Share of requests at a healthy target that take many times longer than the others. */
const stragglerShare = 0.03;

/** Bisection steps over a range of deviations; the remaining error is about a thousandth. */
const bisectionSteps = 11;

/** Upper tail of the standard normal distribution (Abramowitz and Stegun 26.2.17). */
function upperTail(z: number): number {
  const t = 1 / (1 + 0.2316419 * Math.abs(z));
  const series =
    t *
    (0.31938153 + t * (-0.356563782 + t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))));
  const tail = (Math.exp((-z * z) / 2) / Math.sqrt(2 * Math.PI)) * series;
  return z >= 0 ? tail : 1 - tail;
}

/** Latencies of one route, learned as a log-normal distribution with a share of stragglers. */
export class LatencyDistribution {
  private count = 0;

  private mean: number;

  private variance = priorSpread ** 2;

  /** `goal` is the configured latency goal of the route in milliseconds. */
  public constructor(goal: number) {
    this.mean = Math.log(Math.max(1, goal * priorShare));
  }

  /** Median latency in milliseconds. */
  public get median(): number {
    return Math.exp(this.mean);
  }

  /** Mean latency in milliseconds. */
  public get average(): number {
    return Math.exp(this.mean + this.variance / 2);
  }

  /** Latency in milliseconds at `z` standard deviations of the logarithm above the mean. */
  public atDeviation(z: number): number {
    return Math.exp(this.mean + z * this.spread);
  }

  /** Share of requests at a healthy target that take longer than `age` milliseconds. */
  public survival(age: number): number {
    const z = (Math.log(Math.max(1, age)) - this.mean) / this.spread;
    return stragglerShare + (1 - stragglerShare) * upperTail(z);
  }

  /** Smallest `z` from `lowest` to `highest` at which the upper tail of the distribution is at most `share`. */
  public static deviationForTail(share: number, lowest: number, highest: number): number {
    let low = lowest;
    let high = highest;
    for (let step = 0; step < bisectionSteps; step += 1) {
      const middle = (low + high) / 2;
      if (upperTail(middle) > share) low = middle;
      else high = middle;
    }
    return high;
  }

  /** Records the latency of a complete answer in milliseconds. */
  public record(latency: number): void {
    this.count += 1;
    const weight = Math.max(minWeight, 1 / (this.count + priorWeight));
    const delta = Math.log(Math.max(1, latency)) - this.mean;
    this.mean += weight * delta;
    this.variance = (1 - weight) * (this.variance + weight * delta * delta);
  }

  private get spread(): number {
    return Math.max(minSpread, Math.sqrt(this.variance));
  }
}
