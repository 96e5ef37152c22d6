import type { Clock, Disposable } from './Types.js';

interface Timer {
  readonly due: number;
  readonly order: number;
  readonly callback: () => void;
}

/** Clock that moves only when told to, for tests and simulations. Timers fire in order of due time. */
export class VirtualClock implements Clock {
  private time = 0;

  private order = 0;

  private timers: Timer[] = [];

  public constructor(private readonly start: Date = new Date('2026-01-01T00:00:00Z')) {}

  public now(): Date {
    return new Date(this.start.getTime() + this.time);
  }

  public elapsed(): number {
    return this.time;
  }

  public after(delay: number, callback: () => void): Disposable {
    const timer: Timer = { due: this.time + Math.max(0, delay), order: this.order, callback };
    this.order += 1;
    this.insert(timer);
    return {
      dispose: () => {
        this.timers = this.timers.filter((other) => other !== timer);
      },
    };
  }

  /** Runs all timers due within the next `duration` milliseconds, then sets the time to its end. */
  public advance(duration: number): void {
    const end = this.time + duration;
    while (this.fireNext(end));
    this.time = end;
  }

  /** As `advance`, but lets pending promises settle after each timer. */
  public async advanceAsync(duration: number): Promise<void> {
    const end = this.time + duration;
    await VirtualClock.settle();
    while (this.fireNext(end)) {
      // Timers depend on the promises that earlier timers resolved.
      await VirtualClock.settle();
    }
    this.time = end;
  }

  private static settle(): Promise<void> {
    return new Promise((resolve) => {
      setImmediate(resolve);
    });
  }

  private fireNext(end: number): boolean {
    const timer = this.timers[0];
    if (timer === undefined || timer.due > end) return false;
    this.timers.shift();
    this.time = Math.max(this.time, timer.due);
    timer.callback();
    return true;
  }

  private insert(timer: Timer): void {
    let low = 0;
    let high = this.timers.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = this.timers[middle];
      if (other !== undefined && other.due <= timer.due) low = middle + 1;
      else high = middle;
    }
    this.timers.splice(low, 0, timer);
  }
}
