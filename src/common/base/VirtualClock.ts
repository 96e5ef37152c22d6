import type { Clock, Disposable } from './Types.js';

interface Timer {
  readonly due: number;
  readonly sequence: number;
  /** Undefined once the timer has been disposed. */
  callback: (() => void) | undefined;
}

function firesBefore(left: Timer, right: Timer): boolean {
  return left.due === right.due ? left.sequence < right.sequence : left.due < right.due;
}

/** Clock that advances only on request, for tests and simulations. Timers fire in order of due time. */
export class VirtualClock implements Clock {
  private time = 0;

  private nextSequence = 0;

  /** Binary heap: long simulations have many timers, and insertion into a sorted array would copy it. */
  private readonly timers: Timer[] = [];

  public constructor(private readonly start: Date = new Date('2026-01-01T00:00:00Z')) {}

  public now(): Date {
    return new Date(this.start.getTime() + this.time);
  }

  public elapsed(): number {
    return this.time;
  }

  public after(delay: number, callback: () => void): Disposable {
    const timer: Timer = {
      due: this.time + Math.max(0, delay),
      sequence: this.nextSequence,
      callback,
    };
    this.nextSequence += 1;
    this.insert(timer);
    return {
      dispose: () => {
        timer.callback = undefined;
      },
    };
  }

  /** Fires all timers due within the next `duration` milliseconds and advances the time by it. */
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
      // Timers may depend on promises that earlier timers resolved.
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
    this.removeFirst();
    const { callback } = timer;
    if (callback === undefined) return true;
    this.time = Math.max(this.time, timer.due);
    callback();
    return true;
  }

  private insert(timer: Timer): void {
    let index = this.timers.length;
    while (index > 0) {
      const parent = (index - 1) >>> 1;
      const other = this.timers[parent];
      if (other === undefined || !firesBefore(timer, other)) break;
      this.timers[index] = other;
      index = parent;
    }
    this.timers[index] = timer;
  }

  private removeFirst(): void {
    const last = this.timers.pop();
    if (last === undefined || this.timers.length === 0) return;
    let index = 0;
    for (;;) {
      const child = this.earlierChild(index);
      const other = this.timers[child];
      if (other === undefined || !firesBefore(other, last)) break;
      this.timers[index] = other;
      index = child;
    }
    this.timers[index] = last;
  }

  private earlierChild(index: number): number {
    const first = 2 * index + 1;
    const left = this.timers[first];
    const right = this.timers[first + 1];
    const isRightEarlier = left !== undefined && right !== undefined && firesBefore(right, left);
    return isRightEarlier ? first + 1 : first;
  }
}
