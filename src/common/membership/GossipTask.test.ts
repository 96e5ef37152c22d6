import { expect } from 'chai';
import { MemberFleet } from '../../bench/simulation/MemberFleet.js';
import { VirtualClock } from '../base/index.js';
import { isGone } from './MemberOrder.js';

/** Milliseconds within which all tables must agree (docs/design.md 5.1). */
const agreementBound = 16000;
const minute = 60 * 1000;
const hour = 60 * minute;

const dataCentres = ['gam-a', 'gam-b', 'gte-a', 'gte-b'];

function locationOf(index: number): { region: string; dataCentre: string } {
  const dataCentre = dataCentres[index % dataCentres.length] as string;
  return { region: dataCentre.slice(0, 3), dataCentre };
}

function isOtherRegion(sender: number, receiver: number): boolean {
  return locationOf(sender).region !== locationOf(receiver).region;
}

async function startFleet(
  seed: number,
  size: number,
): Promise<{ clock: VirtualClock; fleet: MemberFleet }> {
  const clock = new VirtualClock();
  const fleet = new MemberFleet({ clock, seed, size, locationOf });
  fleet.start();
  expect(await fleet.timeToConvergence(agreementBound), 'first agreement').to.be.below(
    agreementBound,
  );
  return { clock, fleet };
}

/** Collects the running members that some running daemon marks dead or left. */
function watchFalseDeaths(fleet: MemberFleet): Set<string> {
  const deaths = new Set<string>();
  fleet.running().forEach(({ table }) =>
    table.onChange(({ after }) => {
      const isRunning = fleet.running().some((node) => node.table.self.id === after?.id);
      if (after !== undefined && isGone(after.status) && isRunning) deaths.add(after.id);
    }),
  );
  return deaths;
}

describe('GossipTask and FailureDetector in a fleet', () => {
  const cases = [
    {
      name: 'a crashed daemon',
      seed: 1,
      size: 8,
      fault: (fleet: MemberFleet): void => fleet.crash(3),
    },
    {
      name: 'a rack of a quarter of the fleet lost at once',
      seed: 2,
      size: 32,
      fault: (fleet: MemberFleet): void => [0, 1, 2, 3, 4, 5, 6, 7].forEach((i) => fleet.crash(i)),
    },
    {
      name: 'a restart with a new incarnation',
      seed: 3,
      size: 8,
      fault: (fleet: MemberFleet): void => fleet.restart(2),
    },
    {
      name: 'all daemons of a data centre restarted at once',
      seed: 4,
      size: 16,
      fault: (fleet: MemberFleet): void => [0, 4, 8, 12].forEach((i) => fleet.restart(i)),
    },
  ];
  cases.forEach(({ name, seed, size, fault }) => {
    it(`agrees within 16 s after ${name} (seed ${seed})`, async () => {
      const { clock, fleet } = await startFleet(seed, size);
      fault(fleet);
      await clock.advanceAsync(1);
      expect(await fleet.timeToConvergence(agreementBound)).to.be.below(agreementBound);
      fleet.dispose();
    });
  });

  const cuts = [
    {
      name: 'requests from one daemon to another are lost',
      seed: 5,
      isCut: (sender: number, receiver: number): boolean => sender === 1 && receiver === 2,
    },
    {
      name: 'one daemon cannot reach half of the fleet',
      seed: 6,
      isCut: (sender: number, receiver: number): boolean => sender === 1 && receiver > 3,
    },
  ];
  cuts.forEach(({ name, seed, isCut }) => {
    it(`declares nobody dead for 2 min while ${name} (seed ${seed})`, async () => {
      const { clock, fleet } = await startFleet(seed, 8);
      const deaths = watchFalseDeaths(fleet);
      fleet.isCut = isCut;
      await clock.advanceAsync(2 * minute);
      expect([...deaths]).to.deep.equal([]);
      fleet.dispose();
    });
  });

  it('declares a paused daemon dead, takes it back, and it declares nobody dead on resuming (seed 7)', async () => {
    const { clock, fleet } = await startFleet(7, 8);
    const paused = fleet.node(5);
    paused.clock.pause();
    await clock.advanceAsync(agreementBound);
    const { status } = fleet.node(0).table.get(paused.table.self.id) ?? {};
    expect(status).to.equal('dead');
    const deaths = watchFalseDeaths(fleet);
    paused.clock.resume();
    expect(await fleet.timeToConvergence(agreementBound)).to.be.below(agreementBound);
    expect([...deaths]).to.deep.equal([]);
    fleet.dispose();
  });

  const partitions = [
    { name: '12 s', seed: 8, duration: 12 * 1000 },
    { name: 'an hour', seed: 9, duration: hour },
  ];
  partitions.forEach(({ name, seed, duration }) => {
    it(`merges two regions after a partition of ${name} without declaring live members dead (seed ${seed})`, async () => {
      const { clock, fleet } = await startFleet(seed, 8);
      fleet.isCut = isOtherRegion;
      await clock.advanceAsync(duration);
      const near = fleet
        .node(0)
        .table.live()
        .map(({ id }) => id);
      if (duration === hour) expect(near.length).to.equal(4);
      const deaths = watchFalseDeaths(fleet);
      fleet.isCut = () => false;
      expect(await fleet.timeToConvergence(agreementBound)).to.be.below(agreementBound);
      expect([...deaths]).to.deep.equal([]);
      fleet.dispose();
    }).timeout(120000);
  });

  it('does not let a peer paused for a minute bring back a daemon that left (seed 10)', async () => {
    const { clock, fleet } = await startFleet(10, 8);
    const stale = fleet.node(6);
    stale.clock.pause();
    const leaver = fleet.node(3);
    leaver.table.updateSelf({ status: 'left' });
    leaver.gossip.exchangeNow();
    await clock.advanceAsync(2000);
    fleet.crash(3);
    await clock.advanceAsync(minute);
    const returned: string[] = [];
    fleet.node(0).table.onChange(({ before, after }) => {
      const isBack = before !== undefined && isGone(before.status) && after?.status === 'alive';
      if (isBack) returned.push(before.id);
    });
    stale.clock.resume();
    expect(await fleet.timeToConvergence(agreementBound)).to.be.below(agreementBound);
    expect(returned).not.to.include(leaver.table.self.id);
    fleet.dispose();
  });

  it('spreads `leaving` without waiting for the next period (seed 11)', async () => {
    const { clock, fleet } = await startFleet(11, 4);
    const leaver = fleet.node(2);
    leaver.table.updateSelf({ status: 'leaving' });
    leaver.gossip.exchangeNow();
    await clock.advanceAsync(50);
    const seen = fleet.running().map(({ table }) => table.get(leaver.table.self.id)?.status);
    expect(seen).to.deep.equal(['leaving', 'leaving', 'leaving', 'leaving']);
    fleet.dispose();
  });
});
