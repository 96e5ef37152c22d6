import { expect } from 'chai';
import { brandAs, VirtualClock, type StoreEpoch } from '../base/index.js';
import type { StoreChange } from '../services/Types.js';
import { awaitNews } from './awaitNews.js';
import { StoreMirror } from './StoreMirror.js';

const epoch = brandAs<StoreEpoch>(1);
const next = brandAs<StoreEpoch>(2);
const change: StoreChange = {
  type: 'put',
  entry: { key: 'a', value: Buffer.from('2'), modRevision: 7 },
};

describe('awaitNews', () => {
  const cases: readonly {
    readonly name: string;
    /** Milliseconds since the store confirmed the mirror and the follower's state. */
    readonly mirrorAge: number;
    readonly age: number;
    /** Called 100 ms after the poll. */
    readonly act?: (mirror: StoreMirror, abort: AbortController, clock: VirtualClock) => unknown;
    readonly endsAt: number;
  }[] = [
    { name: 'is held for its wait without news', mirrorAge: 300, age: 310, endsAt: 1_000 },
    {
      name: 'ends when there is a change',
      mirrorAge: 300,
      age: 310,
      act: (mirror) => mirror.add({ epoch, changes: [change], revision: 8 }, 0),
      endsAt: 100,
    },
    {
      name: 'ends when the store confirms the state',
      mirrorAge: 300,
      age: 310,
      act: (mirror) => mirror.add({ epoch, changes: [], revision: 6 }, 0),
      endsAt: 100,
    },
    {
      name: 'is held if the state is confirmed that the follower knows, or polls would follow each other without a pause',
      mirrorAge: 300,
      age: 310,
      act: (mirror) => mirror.add({ epoch, changes: [], revision: 6 }, 400),
      endsAt: 1_000,
    },
    {
      name: 'ends at once if the follower has an older confirmation',
      mirrorAge: 300,
      age: 1_200,
      endsAt: 0,
    },
    {
      name: 'ends when the store is in a later epoch',
      mirrorAge: 300,
      age: 310,
      act: (mirror) => mirror.replace({ entries: [], epoch: next, revision: 2 }, 0),
      endsAt: 100,
    },
    {
      name: 'is held longer while a newer state arrives',
      mirrorAge: 300,
      age: 310,
      act: (mirror, _, clock) => {
        for (let time = 0; time <= 1_200; time += 200) {
          clock.after(time, () => mirror.recordProgress());
        }
        clock.after(1_250, () => mirror.add({ epoch, changes: [change], revision: 8 }, 0));
      },
      endsAt: 1_350,
    },
    {
      name: 'ends when a newer state no longer arrives',
      mirrorAge: 300,
      age: 310,
      act: (mirror, _, clock) => {
        clock.after(800, () => mirror.recordProgress());
      },
      endsAt: 1_200,
    },
    {
      name: 'ends when the follower leaves',
      mirrorAge: 300,
      age: 310,
      act: (_, abort) => abort.abort(),
      endsAt: 100,
    },
  ];
  cases.forEach(({ name, mirrorAge, age, act, endsAt }) => {
    it(`a poll ${name}`, async () => {
      const clock = new VirtualClock();
      const abort = new AbortController();
      const mirror = new StoreMirror(clock);
      clock.advance(5_000);
      mirror.replace({ entries: [], epoch, revision: 6 }, mirrorAge);
      let endedAt: number | undefined;
      const poll = { after: { epoch, revision: 6 }, age, wait: 1_000, isFollower: true };
      void awaitNews(mirror, poll, clock, abort.signal).then(() => {
        endedAt = clock.elapsed() - 5_000;
      });
      await clock.advanceAsync(100);
      act?.(mirror, abort, clock);
      await clock.advanceAsync(2_000);
      expect(endedAt).to.equal(endsAt);
    });
  });
});
