import type { Clock, Disposable } from '../api/index.js';

/** Milliseconds of the longest timer; a longer one would fire at once. */
const maxDelay = 2 ** 31 - 1;

/** Clock based on the system time and timers. */
export class SystemClock implements Clock {
  public now(): Date {
    return new Date();
  }

  public elapsed(): number {
    return performance.now();
  }

  public after(delay: number, callback: () => void): Disposable {
    const timer = setTimeout(callback, Math.min(delay, maxDelay));
    return { dispose: () => clearTimeout(timer) };
  }
}
