import { expect } from 'chai';
import { rankByRendezvous } from '../base/index.js';
import type { FakeStoreCopy } from '../../testing/FakePolledStore.js';
import { followedKey, followedPrefix, RelayedFleet } from '../../testing/RelayedFleet.js';

const maxStaleness = 2_000;
/** Milliseconds for which the store is away, and from its return until the operator writes again. */
const outage = 2_000;
const rewriteDelay = 1_500;
const otherKey = `${followedPrefix}other`;

/** Lets the store be away and come back from a copy. */
async function restore({ store, clock }: RelayedFleet, copy: FakeStoreCopy): Promise<void> {
  store.faults.isDown = true;
  await clock.advanceAsync(outage);
  store.restore(copy);
  store.faults.isDown = false;
}

describe('store that comes back from an older copy', () => {
  const cases: readonly {
    readonly name: string;
    /** Called after the copy was made. */
    readonly act: (fleet: RelayedFleet, copy: FakeStoreCopy) => Promise<void>;
  }[] = [
    {
      name: 'a change has a revision that was given out before',
      act: async (fleet, copy) => {
        for (let index = 0; index < 5; index += 1) fleet.store.put(followedKey, `lost ${index}`);
        await fleet.clock.advanceAsync(5_000);
        await restore(fleet, copy);
        await fleet.clock.advanceAsync(rewriteDelay);
        fleet.store.put(followedKey, 'again');
      },
    },
    {
      name: 'its revision has passed the known one',
      act: async (fleet, copy) => {
        fleet.store.put(followedKey, 'lost');
        await fleet.clock.advanceAsync(5_000);
        await restore(fleet, copy);
        for (let index = 0; index < 5; index += 1) fleet.store.put(otherKey, `${index}`);
        await fleet.clock.advanceAsync(rewriteDelay);
      },
    },
    {
      name: 'a key that it lost is not written again',
      act: async (fleet, copy) => {
        fleet.store.put(otherKey, 'lost');
        await fleet.clock.advanceAsync(5_000);
        await restore(fleet, copy);
        await fleet.clock.advanceAsync(rewriteDelay);
      },
    },
    {
      name: 'it comes back twice',
      act: async (fleet, copy) => {
        fleet.store.put(followedKey, 'lost');
        await fleet.clock.advanceAsync(5_000);
        await restore(fleet, copy);
        for (let index = 0; index < 3; index += 1) fleet.store.put(followedKey, `lost ${index}`);
        await fleet.clock.advanceAsync(100);
        await restore(fleet, copy);
        await fleet.clock.advanceAsync(rewriteDelay);
        fleet.store.put(followedKey, 'again');
      },
    },
    {
      name: 'the relay of the others is frozen meanwhile',
      act: async (fleet, copy) => {
        const [first] = rankByRendezvous(followedPrefix, fleet.ids);
        const relay = fleet.find(first!)!;
        fleet.store.put(followedKey, 'lost');
        await fleet.clock.advanceAsync(5_000);
        relay.isFrozen = true;
        await restore(fleet, copy);
        await fleet.clock.advanceAsync(rewriteDelay);
        fleet.store.put(followedKey, 'again');
        relay.isFrozen = false;
      },
    },
  ];
  cases.forEach(({ name, act }) => {
    it(`does not keep daemons from following it: ${name}`, async () => {
      const fleet = new RelayedFleet({ size: 8, maxStaleness, storeLatency: 25, relayLatency: 2 });
      await fleet.settle();
      const copy = fleet.store.copy();
      await act(fleet, copy);
      await fleet.clock.advanceAsync(maxStaleness);
      const { entries } = await fleet.store.snapshot(followedPrefix);
      const expected = entries.map(({ key, value }) => `${key}=${Buffer.from(value).toString()}`);
      const known = fleet.followers.map(({ seen }) =>
        [...seen].map(([key, value]) => `${key}=${value}`).sort(),
      );
      expect(known).to.deep.equal(fleet.followers.map(() => [...expected].sort()));
    });
  });
});
