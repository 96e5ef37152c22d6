/** Shortest and longest hold time in milliseconds. */
export const holdTimeRange = { shortest: 5_000, longest: 300_000 };

/** Milliseconds in good health after which the next hold time is halved. */
export const halvingInterval = 600_000;

/** Hold time of one target: doubles with each ejection and halves with each 10 minutes of good health. */
export class HoldTime {
  private next = holdTimeRange.shortest;

  private healthySince = 0;

  /** Returns the hold time of an ejection at `now` in milliseconds and doubles the next one. */
  public take(now: number): number {
    const duration = this.peek(now);
    this.next = Math.min(holdTimeRange.longest, duration * 2);
    this.healthySince = Infinity;
    return duration;
  }

  /** Hold time that an ejection at `now` would get, in milliseconds. */
  public peek(now: number): number {
    const halvings = Math.max(0, Math.floor((now - this.healthySince) / halvingInterval));
    return Math.max(holdTimeRange.shortest, this.next * 0.5 ** halvings);
  }

  /** Records that the target returned to full service at `now`. */
  public markRecovered(now: number): void {
    if (this.healthySince === Infinity) this.healthySince = now;
  }

  /** Forgets earlier ejections. */
  public reset(): void {
    this.next = holdTimeRange.shortest;
  }
}
