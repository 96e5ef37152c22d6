/** Smallest relative step. A tenfold change is followed within about fifty samples. */
const smallestStep = 0.1;

/**
 * Quantile of a stream of positive samples by stochastic approximation on a logarithmic scale.
 * It keeps two numbers and follows changes of the stream.
 */
export class RunningQuantile {
  private count = 0;

  private current = 0;

  /** `share` in (0, 1); 0.5 is the median. */
  public constructor(private readonly share: number) {}

  /** Samples seen. */
  public get samples(): number {
    return this.count;
  }

  /** Present estimate; 0 before the first sample. */
  public get value(): number {
    return this.current;
  }

  /** Adds a sample, which is at least 0. */
  public record(sample: number): void {
    this.count += 1;
    if (this.count === 1) {
      this.current = sample;
      return;
    }
    const step = Math.max(smallestStep, 1 / this.count);
    const move = sample > this.current ? step * this.share : -step * (1 - this.share);
    this.current = this.moveTowards(
      sample,
      Math.max(this.current, Number.MIN_VALUE) * Math.exp(move),
    );
  }

  private moveTowards(sample: number, next: number): number {
    // A step that would pass the sample ends at it, so that equal samples give their exact value.
    if (sample > this.current) return Math.min(sample, next);
    return Math.max(sample, next);
  }
}
