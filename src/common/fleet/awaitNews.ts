import { DisposableStore, type Clock } from '../base/index.js';
import { progressInterval } from './raceStages.js';
import { firstEpoch } from './StorePosition.js';
import type { StoreMirror } from './StoreMirror.js';
import type { RelayPoll } from './Types.js';

/** Milliseconds by which a confirmation must be newer than the follower's; smaller differences are transit times. */
const minGain = 200;
/** Milliseconds beyond its wait for which a poll is held at most while a newer state arrives. */
const maxExtension = 4_000;

/**
 * Holds the poll of a follower until the mirror has a change or a later epoch for it, the store has confirmed the mirror
 * more recently than the follower's state, the wait is over, or `signal` is aborted. It is held longer while a newer state
 * arrives.
 */
export function awaitNews(
  mirror: StoreMirror,
  { after, age, wait }: RelayPoll,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  const confirmedAt = clock.elapsed() - age;
  const hasNews = (): boolean => {
    const epoch = mirror.position?.epoch ?? firstEpoch;
    if (epoch !== after.epoch) return epoch > after.epoch;
    return (
      mirror.changesAfter(after).changes.length > 0 || mirror.confirmedAt - confirmedAt >= minGain
    );
  };
  if (hasNews() || signal.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    const disposables = new DisposableStore();
    const latest = clock.elapsed() + wait + maxExtension;
    const end = (): void => {
      disposables.dispose();
      signal.removeEventListener('abort', end);
      resolve();
    };
    const endUnlessArriving = (): void => {
      const delay = Math.min(latest, mirror.progressedAt + progressInterval) - clock.elapsed();
      if (delay > 0) disposables.add(clock.after(delay, endUnlessArriving));
      else end();
    };
    disposables.add(clock.after(wait, endUnlessArriving));
    disposables.add(
      mirror.onConfirm(() => {
        if (hasNews()) end();
      }),
    );
    signal.addEventListener('abort', end, { once: true });
  });
}
