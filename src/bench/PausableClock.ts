import type { Clock, Disposable } from '../api/index.js';

/** Clock of one process that can be paused: its timers become due as usual and fire when it resumes. */
export class PausableClock implements Clock {
  private isPaused = false;

  private isEnded = false;

  private overdue: (() => void)[] = [];

  public constructor(private readonly clock: Clock) {}

  public now(): Date {
    return this.clock.now();
  }

  public elapsed(): number {
    return this.clock.elapsed();
  }

  public after(delay: number, callback: () => void): Disposable {
    let isDisposed = false;
    const run = (): void => {
      if (!isDisposed) callback();
    };
    const timer = this.clock.after(delay, () => this.fire(run));
    return {
      dispose: () => {
        isDisposed = true;
        timer.dispose();
      },
    };
  }

  /** Stops all timers of the process. */
  public pause(): void {
    this.isPaused = true;
  }

  /** Fires the overdue timers in their order. */
  public resume(): void {
    this.isPaused = false;
    const { overdue } = this;
    this.overdue = [];
    overdue.forEach((run) => run());
  }

  /** Kills the process: no timer fires any more. */
  public end(): void {
    this.isEnded = true;
    this.overdue = [];
  }

  private fire(run: () => void): void {
    if (this.isEnded) return;
    if (this.isPaused) this.overdue.push(run);
    else run();
  }
}
