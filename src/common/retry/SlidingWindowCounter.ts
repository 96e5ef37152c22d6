import type { Clock } from '../base/index.js';

/** Milliseconds of one bucket. */
const bucketLength = 1_000;

/** Counts events in a sliding window of buckets of one second. */
export class SlidingWindowCounter {
  private readonly buckets: number[];

  private newest: number;

  private total = 0;

  /** `length` is the number of seconds, including the current one. */
  public constructor(
    length: number,
    private readonly clock: Clock,
  ) {
    this.buckets = new Array<number>(length).fill(0);
    this.newest = this.currentSecond();
  }

  /** Number of events in the window. */
  public get sum(): number {
    this.discardOld();
    return this.total;
  }

  /** Counts one event now. */
  public add(): void {
    this.discardOld();
    const index = this.newest % this.buckets.length;
    this.buckets[index] = (this.buckets[index] ?? 0) + 1;
    this.total += 1;
  }

  private discardOld(): void {
    const now = this.currentSecond();
    const steps = Math.min(now - this.newest, this.buckets.length);
    for (let step = 1; step <= steps; step += 1) {
      const index = (now - steps + step) % this.buckets.length;
      this.total -= this.buckets[index] ?? 0;
      this.buckets[index] = 0;
    }
    this.newest = now;
  }

  private currentSecond(): number {
    return Math.floor(this.clock.elapsed() / bucketLength);
  }
}
