import type { Clock } from '../base/index.js';

/** Milliseconds without a request after which a target counts as idle. */
const idleThreshold = 2_000;

/** A span without requests to a target that has reached the threshold. */
export interface IdleSpan {
  /** Milliseconds since the last request was sent to the target, or since it was first known. */
  readonly idleTime: number;
  /** Requests that its home refused in this span. */
  readonly refused: number;
}

/** When a target last got a request, as seen by its home, which is the only way to it. */
export class TargetUsage {
  private lastStart: number;

  private refused = 0;

  private isReported = false;

  public constructor(private readonly clock: Clock) {
    this.lastStart = clock.elapsed();
  }

  /** Milliseconds since the last request was sent to the target, or since it was first known. */
  public get idleTime(): number {
    return this.clock.elapsed() - this.lastStart;
  }

  /** Records a request that is sent to the target. */
  public recordStart(): void {
    this.lastStart = this.clock.elapsed();
    this.refused = 0;
    this.isReported = false;
  }

  /** Records a request that the home refused. */
  public recordRefusal(): void {
    this.refused += 1;
  }

  /** The current idle span, once for each span that reaches the threshold. */
  public takeIdleSpan(): IdleSpan | undefined {
    const { idleTime, refused } = this;
    if (this.isReported || idleTime < idleThreshold) return undefined;
    this.isReported = true;
    return { idleTime, refused };
  }
}
