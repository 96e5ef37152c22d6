/** Shares of bad outcomes that a test tells apart, each in (0, 1). */
export interface Hypotheses {
  /** Highest share that is still healthy. */
  readonly healthy: number;
  /** Lowest share that is sick. */
  readonly sick: number;
}

/**
 * Cumulative sum test (CUSUM) on a stream of good and bad outcomes. The score is the logarithm of the likelihood
 * ratio of `sick` against `healthy` since the moment that speaks most for sickness, so it needs no window length.
 */
export class SequentialTest {
  private value = 0;

  private changedAt = 0;

  private badStep = 0;

  private goodStep = 0;

  /** `halfLife` in milliseconds: evidence fades when nothing renews it. */
  public constructor(
    hypotheses: Hypotheses,
    private readonly halfLife: number,
  ) {
    this.setHypotheses(hypotheses);
  }

  /** Changes the two shares, for example because the peers have become worse. */
  public setHypotheses({ healthy, sick }: Hypotheses): void {
    this.badStep = Math.log(sick / healthy);
    this.goodStep = Math.log((1 - sick) / (1 - healthy));
  }

  /** Counts one outcome at `now` with a weight in (0, 1]. */
  public add(isBad: boolean, now: number, weight = 1): void {
    const step = isBad ? this.badStep : this.goodStep;
    this.value = Math.max(0, this.score(now) + weight * step);
    this.changedAt = now;
  }

  /** Score at `now`; 0 means no evidence of sickness. */
  public score(now: number): number {
    if (this.value === 0) return 0;
    return this.value * 0.5 ** ((now - this.changedAt) / this.halfLife);
  }

  public reset(): void {
    this.value = 0;
  }
}
