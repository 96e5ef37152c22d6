interface Bucket {
  second: number;
  total: number;
  bad: number;
  slow: number;
}

/** Counts of outcomes in a window. */
export interface WindowCounts {
  readonly total: number;
  readonly bad: number;
  readonly slow: number;
}

/** Sliding window of outcome counts in buckets of one second. */
export class OutcomeWindow {
  private readonly buckets: Bucket[];

  /** `length` is the number of seconds. */
  public constructor(private readonly length: number) {
    this.buckets = Array.from({ length }, () => ({ second: -1, total: 0, bad: 0, slow: 0 }));
  }

  /** Counts one outcome at `now` milliseconds. */
  public add(now: number, isBad: boolean, isSlow: boolean): void {
    const bucket = this.bucketAt(Math.floor(now / 1000));
    bucket.total += 1;
    if (isBad) bucket.bad += 1;
    if (isSlow) bucket.slow += 1;
  }

  /** Sum over the last `seconds`, by default the whole window. */
  public counts(now: number, seconds: number = this.length): WindowCounts {
    const first = Math.floor(now / 1000) - seconds + 1;
    let total = 0;
    let bad = 0;
    let slow = 0;
    for (const bucket of this.buckets) {
      if (bucket.second < first) continue;
      total += bucket.total;
      bad += bucket.bad;
      slow += bucket.slow;
    }
    return { total, bad, slow };
  }

  private bucketAt(second: number): Bucket {
    const bucket = this.buckets[second % this.length] as Bucket;
    if (bucket.second !== second) {
      bucket.second = second;
      bucket.total = 0;
      bucket.bad = 0;
      bucket.slow = 0;
    }
    return bucket;
  }
}
