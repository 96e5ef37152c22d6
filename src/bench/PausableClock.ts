import type { Clock, Disposable } from '../api/index.js';

/** Clock of a process that can be paused: timers that expire during the pause fire on resume. */
export class PausableClock implements Clock {
  private isPaused = false;

  private isStopped = false;

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

  /** Defers all timers of the process until `resume`. */
  public pause(): void {
    this.isPaused = true;
  }

  /** Fires the overdue timers in the order in which they expired. */
  public resume(): void {
    this.isPaused = false;
    const { overdue } = this;
    this.overdue = [];
    overdue.forEach((run) => run());
  }

  /** Drops all timers, as when the process is killed. */
  public stop(): void {
    this.isStopped = true;
    this.overdue = [];
  }

  private fire(run: () => void): void {
    if (this.isStopped) return;
    if (this.isPaused) this.overdue.push(run);
    else run();
  }
}
