import { DisposableStore, type Clock } from '../base/index.js';
import type { StoreMirror } from './StoreMirror.js';
import type { RelayPoll } from './Types.js';

/** Milliseconds by which a confirmation must be newer than the follower's; smaller differences are transit times. */
const minGain = 200;

/**
 * Holds the poll of a follower until the mirror has a change for it, the store has confirmed the mirror more recently
 * than the follower's state, the wait is over, or `signal` is aborted.
 */
export function awaitNews(
  mirror: StoreMirror,
  { after, age, wait }: RelayPoll,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  const confirmedAt = clock.elapsed() - age;
  const hasNews = (): boolean =>
    mirror.changesAfter(after).changes.length > 0 || mirror.confirmedAt - confirmedAt >= minGain;
  if (hasNews() || signal.aborted) return Promise.resolve();
  return new Promise((resolve, reject) => {
    const disposables = new DisposableStore();
    const end = (): void => {
      disposables.dispose();
      signal.removeEventListener('abort', end);
      resolve();
    };
    const check = (): void => {
      try {
        if (hasNews()) end();
      } catch (error) {
        end();
        reject(error);
      }
    };
    disposables.add(clock.after(wait, end));
    disposables.add(mirror.onConfirm(check));
    signal.addEventListener('abort', end, { once: true });
  });
}
