import type { Clock, Disposable } from '../api/index.js';

/** Clock based on the system time and timers. */
export class SystemClock implements Clock {
  public now(): Date {
    return new Date();
  }

  public elapsed(): number {
    return performance.now();
  }

  public after(delay: number, callback: () => void): Disposable {
    const timer = setTimeout(callback, delay);
    return { dispose: () => clearTimeout(timer) };
  }
}
