import { expect } from 'chai';
import { createRandom, rankByRendezvous, sampleItems, type RandomSource } from '../base/index.js';
import {
  followedKey,
  followedPrefix,
  RelayedFleet,
  type Follower,
  type StoreLink,
} from '../../testing/RelayedFleet.js';

/** Milliseconds within which a change must be known; the bound that the daemons of the platform have. */
const maxStaleness = 2_000;
const daemons = 14;
const seeds = 40;
/** Milliseconds after the end of an outage from which the bound holds. */
const stableWindow = 3_000;
/** Milliseconds before the change in which the faults begin. */
const maxLead = 2_500;

const isAwake = ({ isFrozen }: Follower): boolean => !isFrozen;
const hasStore = ({ isFrozen, storeLink }: Follower): boolean => !isFrozen && storeLink === 'open';

/** The daemons that relay first, in their order. */
function relaysOf({ ids, followers }: RelayedFleet, count: number): Follower[] {
  const ranked = rankByRendezvous(followedPrefix, ids).slice(0, count);
  return followers.filter(({ id }) => ranked.includes(id));
}

describe('bound of the staleness', () => {
  const faults: readonly {
    readonly name: string;
    readonly begin: (fleet: RelayedFleet, random: RandomSource) => void;
  }[] = [
    {
      name: 'two relays in a row are frozen',
      begin: (fleet) => {
        relaysOf(fleet, 2).forEach((relay) => Object.assign(relay, { isFrozen: true }));
      },
    },
    {
      name: 'two relays in a row get no response from the store',
      begin: (fleet) => {
        relaysOf(fleet, 2).forEach((relay) => Object.assign(relay, { storeLink: 'silent' }));
      },
    },
    {
      name: 'the first relay gets no response from the store and the next one is frozen',
      begin: (fleet) => {
        const [first, second] = rankByRendezvous(followedPrefix, fleet.ids);
        Object.assign(fleet.find(first!)!, { storeLink: 'silent' });
        Object.assign(fleet.find(second!)!, { isFrozen: true });
      },
    },
    {
      name: 'the store refuses a third of the daemons',
      begin: ({ followers }, random) => {
        const links: readonly StoreLink[] = ['silent', 'refusing'];
        const storeLink = links[random() < 0.5 ? 0 : 1];
        sampleItems(random, followers, daemons / 3).forEach((follower) => {
          Object.assign(follower, { storeLink });
        });
      },
    },
    {
      name: 'only two daemons reach the store',
      begin: ({ followers }, random) => {
        sampleItems(random, followers, followers.length - 2).forEach((follower) => {
          Object.assign(follower, { storeLink: 'silent' });
        });
      },
    },
    {
      name: 'all connections to the store go silent',
      begin: ({ followers }) => followers.forEach((follower) => follower.silenceStoreConnections()),
    },
    {
      name: 'a relay is frozen while other daemons become the first ones',
      begin: (fleet) => {
        relaysOf(fleet, 1).forEach((relay) => Object.assign(relay, { isFrozen: true }));
        for (let index = 0; index < 6; index += 1) fleet.addDaemon(`new-${index}`);
      },
    },
  ];
  faults.forEach(({ name, begin }) => {
    it(`keeps a change from coming late at a daemon with a way to the store: ${name}`, async () => {
      for (let seed = 1; seed <= seeds; seed += 1) {
        const random = createRandom(seed);
        const fleet = new RelayedFleet({
          size: daemons,
          maxStaleness,
          storeLatency: 25,
          relayLatency: 2,
          random,
        });
        await fleet.clock.advanceAsync(20_000 + random() * 2_000);
        begin(fleet, random);
        await fleet.clock.advanceAsync(random() * maxLead);
        fleet.store.put(followedKey, 'second');
        await fleet.clock.advanceAsync(maxStaleness);
        const hasWay = fleet.followers.some(hasStore);
        const late = fleet.followers.filter(
          (follower) => isAwake(follower) && hasWay && follower.seen.get(followedKey) !== 'second',
        );
        expect(
          late.map(({ id }) => id),
          `seed ${seed}`,
        ).to.deep.equal([]);
      }
    });
  });

  // Calls of the last moments of an outage are on connections that stay silent when the store answers new ones again.
  const darkFor = [300, 1_000, 3_300, 9_000];
  darkFor.forEach((duration) => {
    it(`knows a change in time although the store was silent for ${duration} ms and no call of that time returns`, async () => {
      for (let seed = 1; seed <= seeds; seed += 1) {
        const random = createRandom(seed);
        const settings = { size: daemons, maxStaleness, storeLatency: 25, relayLatency: 2, random };
        const fleet = new RelayedFleet(settings);
        await fleet.clock.advanceAsync(20_000 + random() * 2_000);
        fleet.followers.forEach((follower) => {
          follower.silenceStoreConnections();
          Object.assign(follower, { storeLink: 'silent' });
        });
        await fleet.clock.advanceAsync(duration);
        fleet.followers.forEach((follower) => Object.assign(follower, { storeLink: 'open' }));
        await fleet.clock.advanceAsync(stableWindow + random() * stableWindow);
        fleet.store.put(followedKey, 'second');
        await fleet.clock.advanceAsync(maxStaleness);
        expect(new Set(fleet.current), `seed ${seed}`).to.deep.equal(new Set(['second']));
      }
    });
  });
});
