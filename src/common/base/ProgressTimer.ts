import type { Clock, Disposable } from './Types.js';

/** Limits of an operation in milliseconds. */
export interface ProgressLimits {
  /** Longest time without progress. */
  readonly idle: number;
  /** Longest time in total. */
  readonly total: number;
}

/** Calls `onExpire` once when an operation makes no progress for too long, or takes too long in total. */
export class ProgressTimer implements Disposable {
  private readonly deadline: number;

  private lastProgress: number;

  private timer: Disposable | undefined;

  public constructor(
    private readonly clock: Clock,
    private readonly limits: ProgressLimits,
    private readonly onExpire: () => void,
  ) {
    this.lastProgress = clock.elapsed();
    this.deadline = this.lastProgress + limits.total;
    this.schedule();
  }

  /** Restarts the limit on the time without progress. */
  public recordProgress(): void {
    this.lastProgress = this.clock.elapsed();
  }

  public dispose(): void {
    this.timer?.dispose();
  }

  private get expiresAt(): number {
    return Math.min(this.deadline, this.lastProgress + this.limits.idle);
  }

  /** Progress only moves `expiresAt`, since restarting a timer for each chunk would cost more. */
  private schedule(): void {
    const wait = Math.max(0, this.expiresAt - this.clock.elapsed());
    this.timer = this.clock.after(wait, () => {
      if (this.clock.elapsed() >= this.expiresAt) this.onExpire();
      else this.schedule();
    });
  }
}
