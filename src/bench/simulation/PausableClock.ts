import type { Clock, Disposable } from '../../api/index.js';

/** Clock of a process that can be paused: timers that come due meanwhile fire when it resumes. */
export class PausableClock implements Clock {
  private isPaused = false;

  private late: (() => void)[] = [];

  public constructor(private readonly inner: Clock) {}

  public now(): Date {
    return this.inner.now();
  }

  public elapsed(): number {
    return this.inner.elapsed();
  }

  public after(delay: number, callback: () => void): Disposable {
    let isDisposed = false;
    const fire = (): void => {
      if (!isDisposed) callback();
    };
    const timer = this.inner.after(delay, () => {
      if (this.isPaused) this.late.push(fire);
      else fire();
    });
    return {
      dispose: () => {
        isDisposed = true;
        timer.dispose();
      },
    };
  }

  public pause(): void {
    this.isPaused = true;
  }

  public resume(): void {
    this.isPaused = false;
    const { late } = this;
    this.late = [];
    late.forEach((fire) => fire());
  }
}
