/** Weight of one outcome. Three failures in a row reach half. */
const outcomeWeight = 0.2;

/** Milliseconds after which half of a failure share is forgotten while nothing is sent. */
const halfLife = 5_000;

/** Share of failures among the last outcomes of one target. */
export class FailureRate {
  private share = 0;

  private changedAt = 0;

  /** Present share at a time on the monotonic clock in milliseconds. */
  public at(now: number): number {
    return this.share === 0 ? 0 : this.share * 0.5 ** ((now - this.changedAt) / halfLife);
  }

  /** Adds an outcome. */
  public record(isFailure: boolean, now: number): void {
    const before = this.at(now);
    this.share = before + outcomeWeight * ((isFailure ? 1 : 0) - before);
    this.changedAt = now;
  }
}
