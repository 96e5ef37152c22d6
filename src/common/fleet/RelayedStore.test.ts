import { expect } from 'chai';
import { rankByRendezvous } from '../base/index.js';
import {
  followedKey as key,
  followedPrefix as prefix,
  RelayedFleet,
  type Follower,
} from '../../testing/RelayedFleet.js';

/** Milliseconds within which a change must be known. */
const maxStaleness = 2_500;

const createFleet = (size: number): RelayedFleet => new RelayedFleet({ size, maxStaleness });

describe('RelayedStore', () => {
  it('keeps the calls to the store the same for 6 and for 30 daemons of a data centre', async () => {
    const small = createFleet(6);
    const large = createFleet(30);
    await Promise.all([small.settle(), large.settle()]);
    const [few, many] = [await small.pollsIn(60_000), await large.pollsIn(60_000)];
    expect(many).to.equal(few);
    expect(few).to.be.at.most(60_000 / (0.4 * maxStaleness) + 1);
  });

  it('brings a change to all daemons with one poll of the store', async () => {
    const fleet = createFleet(30);
    await fleet.settle();
    const before = fleet.store.callCounts.watch ?? 0;
    fleet.store.put(key, 'second');
    await fleet.clock.advanceAsync(50);
    expect(new Set(fleet.current)).to.deep.equal(new Set(['second']));
    expect(fleet.store.callCounts.watch).to.be.at.most(before + 2);
  });

  it('removes keys that were deleted', async () => {
    const fleet = createFleet(5);
    await fleet.settle();
    fleet.store.remove(key);
    await fleet.clock.advanceAsync(50);
    expect(new Set(fleet.current)).to.deep.equal(new Set([undefined]));
  });

  it('takes the whole state from the relay after the store has compacted its history', async () => {
    const fleet = createFleet(12);
    await fleet.settle();
    const before = fleet.store.callCounts.range ?? 0;
    fleet.store.put(key, 'second');
    fleet.store.compact();
    await fleet.settle();
    expect(new Set(fleet.current)).to.deep.equal(new Set(['second']));
    expect((fleet.store.callCounts.range ?? 0) - before).to.equal(1);
  });

  const faults: readonly {
    readonly name: string;
    readonly begin: (relay: Follower) => void;
  }[] = [
    { name: 'is frozen', begin: (relay) => Object.assign(relay, { isFrozen: true }) },
    {
      name: 'is cut from the store',
      begin: (relay) => Object.assign(relay, { storeLink: 'silent' }),
    },
  ];
  faults.forEach(({ name, begin }) => {
    it(`follows another source when the relay ${name}, so that a change is not missed`, async () => {
      const fleet = createFleet(8);
      await fleet.settle();
      const [first] = rankByRendezvous(prefix, fleet.ids);
      const relay = fleet.followers.find(({ id }) => id === first) as Follower;
      begin(relay);
      fleet.store.put(key, 'second');
      await fleet.clock.advanceAsync(maxStaleness);
      const others = fleet.followers.filter((follower) => follower !== relay);
      expect(new Set(others.map(({ seen }) => seen.get(key)))).to.deep.equal(new Set(['second']));
    });
  });

  it('follows another daemon when the store does not answer it, although others follow it', async () => {
    const fleet = createFleet(8);
    await fleet.settle();
    const cut = rankByRendezvous(prefix, fleet.ids).slice(0, 3);
    const affected = fleet.followers.filter(({ id }) => cut.includes(id));
    affected.forEach((follower) => Object.assign(follower, { storeLink: 'silent' }));
    await fleet.clock.advanceAsync(5_000);
    fleet.store.put(key, 'second');
    await fleet.clock.advanceAsync(10_000);
    expect(new Set(fleet.current)).to.deep.equal(new Set(['second']));
  });

  it('reads the store itself at the start, since it cannot tell how old the state of a relay is', async () => {
    const fleet = createFleet(3);
    await fleet.clock.advanceAsync(10);
    expect(fleet.store.callCounts.range).to.equal(3);
  });

  it('asks a daemon that has a newer state at once, since the own source may be behind', async () => {
    const fleet = createFleet(8);
    await fleet.settle();
    const [first, , third] = rankByRendezvous(prefix, fleet.ids);
    fleet.followers.forEach((follower) => {
      Object.assign(follower, { storeLink: follower.id === third ? 'open' : 'silent' });
    });
    const late = fleet.followers.find(({ id }) => id !== first && id !== third) as Follower;
    fleet.store.put(key, 'second');
    fleet.find(third!)!.refreshFrom(first!);
    await fleet.clock.advanceAsync(200);
    late.refreshFrom(third!);
    await fleet.clock.advanceAsync(50);
    expect(late.seen.get(key)).to.equal('second');
  });
});
