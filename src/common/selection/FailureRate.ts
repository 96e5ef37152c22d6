/** Weight of one outcome in the moving average. Three consecutive failures raise the rate to about 0.5. */
const smoothingFactor = 0.2;

/** Half-life in milliseconds of the failure rate while no requests are sent. */
const halfLife = 5_000;

/** Exponential moving average of the failures of one target. */
export class FailureRate {
  private rate = 0;

  private updatedAt = 0;

  /** Failure rate, 0 to 1, at a time on the monotonic clock in milliseconds. */
  public at(now: number): number {
    return this.rate === 0 ? 0 : this.rate * 0.5 ** ((now - this.updatedAt) / halfLife);
  }

  public record(isFailure: boolean, now: number): void {
    const decayed = this.at(now);
    this.rate = decayed + smoothingFactor * ((isFailure ? 1 : 0) - decayed);
    this.updatedAt = now;
  }
}
