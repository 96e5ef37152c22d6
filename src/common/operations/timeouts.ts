import type { Clock } from '../base/index.js';

/** Result of `withDeadline` when the deadline passes before the promise settles. */
export const timedOut = Symbol('timedOut');

/** Waits for a promise until `deadline` (`Clock.elapsed`) at the latest. Rejects if the promise does. */
export function withDeadline<Value>(
  clock: Clock,
  deadline: number,
  promise: Promise<Value>,
): Promise<Value | typeof timedOut> {
  return new Promise((resolve, reject) => {
    const timer = clock.after(deadline - clock.elapsed(), () => resolve(timedOut));
    promise.then(resolve, reject).finally(() => timer.dispose());
  });
}

/** Resolves after `delay` milliseconds. */
export function sleep(clock: Clock, delay: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(delay, resolve);
  });
}
