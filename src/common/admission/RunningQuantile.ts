/** Minimum relative step; the estimate follows a tenfold change within about 50 samples. */
const minStep = 0.1;

/**
 * Quantile of a stream of positive samples by stochastic approximation on a logarithmic scale.
 * It keeps two numbers and adapts to changes of the stream.
 */
export class RunningQuantile {
  private count = 0;

  private estimate = 0;

  /** `quantile` is in (0, 1); 0.5 is the median. */
  public constructor(private readonly quantile: number) {}

  /** Number of recorded samples. */
  public get samples(): number {
    return this.count;
  }

  /** Current estimate; 0 before the first sample. */
  public get value(): number {
    return this.estimate;
  }

  /** Adds a non-negative sample. */
  public record(sample: number): void {
    this.count += 1;
    if (this.count === 1) {
      this.estimate = sample;
      return;
    }
    const step = Math.max(minStep, 1 / this.count);
    const move = sample > this.estimate ? step * this.quantile : -step * (1 - this.quantile);
    this.estimate = this.limitStep(
      sample,
      Math.max(this.estimate, Number.MIN_VALUE) * Math.exp(move),
    );
  }

  private limitStep(sample: number, next: number): number {
    // A step ends at the sample at the latest, so that equal samples give their exact value.
    if (sample > this.estimate) return Math.min(sample, next);
    return Math.max(sample, next);
  }
}
