import { expect } from 'chai';
import { createRandom } from '../base/index.js';
import { followedKey, RelayedFleet, SharedLink } from '../../testing/RelayedFleet.js';

const maxStaleness = 2_000;
const seeds = 20;
/** Bytes of a configuration with some thousand routes. */
const size = 1_250_000;
/** Bytes per millisecond: a quarter of the capacity between two regions, which others use too. */
const capacity = 1_300;
/** Milliseconds that the change needs on an idle link. */
const transferTime = size / capacity;
/** The relay and the two daemons that may stand in for it. */
const maxTransfers = 3;

describe('large change', () => {
  const cases: readonly {
    readonly name: string;
    /** Milliseconds before the change at which daemons start. */
    readonly starts: readonly number[];
  }[] = [
    { name: 'while no daemon starts', starts: [] },
    { name: 'while daemons start', starts: [1_500, 1_000, 500, 0] },
  ];
  cases.forEach(({ name, starts }) => {
    it(`is not read from the store by one daemon after the other, which fills the link between the regions: ${name}`, async () => {
      for (let seed = 1; seed <= seeds; seed += 1) {
        const random = createRandom(seed);
        const link = new SharedLink(capacity);
        const settings = {
          size: 14,
          maxStaleness,
          storeLatency: 25,
          relayLatency: 2,
          random,
          link,
        };
        const fleet = new RelayedFleet(settings);
        fleet.store.put(followedKey, 'a'.repeat(size));
        await fleet.clock.advanceAsync(30_000 + random() * 2_000);
        for (const [index, lead] of starts.entries()) {
          fleet.addDaemon(`new-${index}`);
          await fleet.clock.advanceAsync(lead - (starts[index + 1] ?? 0));
        }
        const before = link.count;
        const value = 'b'.repeat(size);
        fleet.store.put(followedKey, value);
        await fleet.clock.advanceAsync(maxStaleness + transferTime);
        const late = fleet.followers.filter(({ seen }) => seen.get(followedKey) !== value);
        const found = {
          late: late.map(({ id }) => id),
          isOften: link.count - before > maxTransfers,
        };
        expect(found, `seed ${seed}`).to.deep.equal({ late: [], isOften: false });
      }
    });
  });
});
