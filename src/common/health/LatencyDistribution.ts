/** Weight of what is assumed of a route before its first answer, in answers. */
const assumedSamples = 4;
/** Weight of the newest answer once many have been seen; follows a change within some thirty answers. */
const leastWeight = 0.03;
/** Work takes about a quarter of the latency that the operators ask for, in both of today's deployments. */
const assumedShare = 0.25;
/** Spread of the logarithm of the latency before the first answers. */
const assumedSpread = 0.7;
/** Narrowest spread that is believed, so that a run of equal answers condemns no slower one. */
const leastSpread = 0.35;
/** Share of requests that run many times longer than the others. */
const stragglerShare = 0.03;

/** Halvings of a range of deviations; leaves an error of a thousandth. */
const bisections = 11;

/** Upper tail of the standard normal distribution (Abramowitz and Stegun 26.2.17). */
function upperTail(z: number): number {
  const t = 1 / (1 + 0.2316419 * Math.abs(z));
  const series =
    t *
    (0.31938153 + t * (-0.356563782 + t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))));
  const tail = (Math.exp((-z * z) / 2) / Math.sqrt(2 * Math.PI)) * series;
  return z >= 0 ? tail : 1 - tail;
}

/** Learned latencies of one route as a log-normal distribution with some stragglers. */
export class LatencyDistribution {
  private count = 0;

  private mean: number;

  private variance = assumedSpread ** 2;

  /** `goal` is the latency in milliseconds that the operators ask for. */
  public constructor(goal: number) {
    this.mean = Math.log(Math.max(1, goal * assumedShare));
  }

  /** Typical latency in milliseconds. */
  public get median(): number {
    return Math.exp(this.mean);
  }

  /** Expected latency in milliseconds. */
  public get average(): number {
    return Math.exp(this.mean + this.variance / 2);
  }

  /** Latency in milliseconds that a request exceeds by `z` standard deviations of the logarithm. */
  public atDeviation(z: number): number {
    return Math.exp(this.mean + z * this.spread);
  }

  /** Share of healthy requests that take longer than `age` milliseconds. */
  public survival(age: number): number {
    const z = (Math.log(Math.max(1, age)) - this.mean) / this.spread;
    return stragglerShare + (1 - stragglerShare) * upperTail(z);
  }

  /** Least `z` of `lowest` to `highest` at which at most this share of healthy requests is still running. */
  public static deviationForTail(share: number, lowest: number, highest: number): number {
    let low = lowest;
    let high = highest;
    for (let step = 0; step < bisections; step += 1) {
      const middle = (low + high) / 2;
      if (upperTail(middle) > share) low = middle;
      else high = middle;
    }
    return high;
  }

  /** Adds the latency of a whole answer in milliseconds. */
  public record(latency: number): void {
    this.count += 1;
    const weight = Math.max(leastWeight, 1 / (this.count + assumedSamples));
    const delta = Math.log(Math.max(1, latency)) - this.mean;
    this.mean += weight * delta;
    this.variance = (1 - weight) * (this.variance + weight * delta * delta);
  }

  private get spread(): number {
    return Math.max(leastSpread, Math.sqrt(this.variance));
  }
}
