/** Shares of bad outcomes between which a test decides, each in (0, 1). */
export interface Hypotheses {
  /** Highest share at a healthy target. */
  readonly healthy: number;
  /** Lowest share at a sick target. */
  readonly sick: number;
}

/**
 * Cumulative sum test (CUSUM) on a sequence of good and bad outcomes. The score is the log-likelihood ratio of `sick`
 * against `healthy` since the start time that maximizes it, so no window length is needed.
 */
export class SequentialTest {
  private value = 0;

  private changedAt = 0;

  private badStep = 0;

  private goodStep = 0;

  /** `halfLife` is the half-life of the score in milliseconds. */
  public constructor(
    hypotheses: Hypotheses,
    private readonly halfLife: number,
  ) {
    this.setHypotheses(hypotheses);
  }

  /** Changes the two shares, for example because the error rate of the peers has risen. */
  public setHypotheses({ healthy, sick }: Hypotheses): void {
    this.badStep = Math.log(sick / healthy);
    this.goodStep = Math.log((1 - sick) / (1 - healthy));
  }

  /** Adds one outcome at `now` with a weight in (0, 1]. */
  public add(isBad: boolean, now: number, weight = 1): void {
    const step = isBad ? this.badStep : this.goodStep;
    this.value = Math.max(0, this.score(now) + weight * step);
    this.changedAt = now;
  }

  /** Score at `now`; 0 means no evidence against the target. */
  public score(now: number): number {
    if (this.value === 0) return 0;
    return this.value * 0.5 ** ((now - this.changedAt) / this.halfLife);
  }

  public reset(): void {
    this.value = 0;
  }
}
