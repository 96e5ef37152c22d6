import { expect } from 'chai';
import { reliable } from '../../bench/FakeStore.js';
import { healthy } from '../../bench/FakeTarget.js';
import type { Fault } from '../../bench/FakeTarget.js';
import { Fleet } from '../../bench/Fleet.js';
import type { FleetOptions } from '../../bench/Fleet.js';
import { auctionRoutes, FleetTraffic, viewHome } from '../../bench/FleetTraffic.js';
import { simulateHealthy } from '../../bench/HealthySimulation.js';
import { pickIndex, sampleItems } from '../base/index.js';
import type { TargetState } from '../services/Types.js';
import { FloorHistory } from '../../bench/FloorHistory.js';

const seeds = [11, 23, 37];
const usual: Omit<FleetOptions, 'seed'> = { targets: 8, slots: 5, floor: 25 };
const erring: Fault = { ...healthy, failureShare: 0.6 };
const refusing: Fault = { ...healthy, failureShare: 1, failure: 'connect-failed' };
const learning = 40;

class Rehearsal {
  public readonly fleet: Fleet;

  public readonly traffic: FleetTraffic;

  public constructor(options: FleetOptions, rate = 60) {
    this.fleet = new Fleet(options);
    const views = this.fleet.members.map(viewHome);
    this.fleet.onTransition.event(() => views.forEach((view) => view.refresh()));
    this.fleet.members.forEach(({ task, announcement }) => task.announce(announcement));
    const traffic = { rate, stragglerShare: 0.005, routes: auctionRoutes };
    this.traffic = new FleetTraffic(this.fleet.clock, this.fleet.random, views, traffic);
  }

  public async pass(seconds: number): Promise<void> {
    await this.fleet.advance(seconds * 1000);
  }

  public setFault(fault: Fault, ...targets: readonly number[]): void {
    targets.forEach((index) => {
      this.fleet.member(index).target.fault = fault;
    });
  }

  /** Fails or crashes up to four targets, heals others, loses the memory of a home. */
  public disturb(hasCrashes: boolean): void {
    const { fleet } = this;
    const { random, members } = fleet;
    const sick = sampleItems(random, members, 4).map(({ index }) => index);
    members.forEach(({ index, isDown }) => {
      if (isDown) fleet.restart(index);
      this.setFault(sick.includes(index) ? erring : healthy, index);
    });
    const home = pickIndex(random, members.length);
    fleet.restartHome(home);
    fleet.member(home).task.announce(fleet.member(home).announcement);
    const crashed = sick[0];
    if (!hasCrashes || crashed === undefined) return;
    fleet.member(crashed).isDown = true;
    this.setFault(refusing, crashed);
  }

  public ejectionsOf(index: number): number {
    return this.fleet.transitions.filter(
      ({ target, to }) => to === 'ejected' && target === `t${index}`,
    ).length;
  }

  public get ejections(): number {
    return this.fleet.transitions.filter(({ to }) => to === 'ejected').length;
  }
}

function rehearse(seed: number, options: Partial<FleetOptions> = {}, rate?: number): Rehearsal {
  return new Rehearsal({ ...usual, ...options, seed }, rate);
}

async function expectForSeeds(
  check: (seed: number) => Promise<void>,
  list: readonly number[] = seeds,
): Promise<void> {
  for (const seed of list) await check(seed);
}

describe('EjectionTask keeps the floor at each ejection', () => {
  const store = { ...reliable, delay: 300 };
  const cases = [
    { name: 'with fresh and whole views', network: {}, store, hasCrashes: false },
    { name: 'with stale views', network: { delay: 1_500 }, store, hasCrashes: false },
    { name: 'with partial views', network: { lossShare: 0.3 }, store, hasCrashes: false },
    {
      name: 'when answers of the store are lost',
      network: { delay: 500, lossShare: 0.1 },
      store: { ...store, delay: 2_000, lostAnswerShare: 0.3, lostWriteShare: 0.2 },
      hasCrashes: false,
    },
    { name: 'when targets crash', network: { delay: 500 }, store, hasCrashes: true },
  ];
  cases.forEach(({ name, network, store: fault, hasCrashes }) => {
    it(`${name}, over homes that act at the same time`, async () => {
      let ejections = 0;
      let refusals = 0;
      await expectForSeeds(
        async (seed) => {
          const rehearsal = rehearse(seed, { floor: 30 });
          const { fleet } = rehearsal;
          const history = new FloorHistory(fleet);
          fleet.store.fault = fault;
          fleet.network = { ...fleet.network, ...network };
          await rehearsal.pass(learning);
          for (let round = 0; round < 8; round += 1) {
            rehearsal.disturb(hasCrashes);
            await rehearsal.pass(30);
          }
          expect(history.violations, `seed ${seed}`).to.deep.equal([]);
          ejections += history.ejections;
          refusals += fleet.refusals.filter(({ refusal }) => refusal === 'floor').length;
        },
        [11, 23, 37, 41, 59, 61],
      );
      // Without ejections and refusals the history shows nothing.
      expect(ejections).to.be.greaterThan(20);
      expect(refusals).to.be.greaterThan(20);
    });
  });
});

describe('EjectionTask', () => {
  it('ejects no healthy target for stragglers, cold starts, lagging reports and brownouts', async () => {
    // A count over virtual time: 1 hour for each seed. The full check is `npm run bench -- false-ejection`.
    await expectForSeeds(
      async (seed) => {
        const job = { type: 'healthy', seed, hours: 1, hasBrownouts: true } as const;
        expect((await simulateHealthy(job)).ejections, `seed ${seed}`).to.equal(0);
      },
      [73, 101, 139],
    );
  });

  const wholeCases = [
    { name: 'slows down', fault: { ...healthy, slowness: 10 } },
    { name: 'fails 1 request in 3', fault: { ...healthy, failureShare: 1 / 3 } },
  ];
  wholeCases.forEach(({ name, fault }) => {
    it(`ejects nobody when the whole service ${name}`, () =>
      expectForSeeds(async (seed) => {
        const rehearsal = rehearse(seed);
        await rehearsal.pass(learning);
        rehearsal.setFault(fault, 0, 1, 2, 3, 4, 5, 6, 7);
        await rehearsal.pass(60);
        rehearsal.setFault(healthy, 0, 1, 2, 3, 4, 5, 6, 7);
        await rehearsal.pass(60);
        expect(rehearsal.ejections, `seed ${seed}`).to.equal(0);
      }));
  });

  const sickCases: readonly { name: string; fault: Fault }[] = [
    { name: 'refuses connections', fault: refusing },
    { name: 'is 10 times slower', fault: { ...healthy, slowness: 10 } },
    { name: 'fails 1 request in 3', fault: { ...healthy, failureShare: 1 / 3 } },
    { name: 'is silent', fault: { ...healthy, isSilent: true } },
    {
      name: 'truncates 1 answer in 3',
      fault: { ...healthy, failureShare: 1 / 3, failure: 'truncated' },
    },
  ];
  sickCases.forEach(({ name, fault }) => {
    it(`ejects a target that ${name}, and restores it without an operator when it is well`, () =>
      expectForSeeds(async (seed) => {
        const rehearsal = rehearse(seed);
        await rehearsal.pass(learning);
        rehearsal.setFault(fault, 3);
        await rehearsal.pass(120);
        expect(rehearsal.ejectionsOf(3), `seed ${seed}`).to.be.greaterThan(0);
        rehearsal.setFault(healthy, 3);
        await rehearsal.pass(400);
        expect(rehearsal.fleet.stateOf(3), `seed ${seed}`).to.equal('active');
        expect(rehearsal.ejections - rehearsal.ejectionsOf(3), `seed ${seed}`).to.equal(0);
      }));
  });

  it('ejects a flapping target ever more rarely', () =>
    expectForSeeds(async (seed) => {
      const rehearsal = rehearse(seed);
      await rehearsal.pass(learning);
      for (let round = 0; round < 40; round += 1) {
        rehearsal.setFault(round % 2 === 0 ? erring : healthy, 3);
        await rehearsal.pass(30);
      }
      // Holds of a constant 5 s would allow about 20 ejections in 20 minutes.
      expect(rehearsal.ejectionsOf(3), `seed ${seed}`).to.be.within(3, 10);
    }));

  it('does not eject a target that only its home does not reach, and sends it elsewhere', () =>
    expectForSeeds(async (seed) => {
      const rehearsal = rehearse(seed);
      await rehearsal.pass(learning);
      rehearsal.fleet.network = { ...rehearsal.fleet.network, cutHomes: new Set([3, 4]) };
      rehearsal.setFault({ ...healthy, isSilent: true }, 3);
      rehearsal.setFault(refusing, 4);
      await rehearsal.pass(60);
      expect(rehearsal.ejections, `seed ${seed}`).to.equal(0);
      expect(rehearsal.fleet.reassigned).to.include.members(['t3', 't4']);
      // Refused connections on a cut path are no evidence at all.
      const suspects = rehearsal.fleet.transitions.filter(({ to }) => to === 'suspect');
      expect(suspects.map(({ target }) => target)).not.to.include('t4');
    }));

  it('ejects nobody for a health endpoint that calls a healthy target ill', () =>
    expectForSeeds(async (seed) => {
      const rehearsal = rehearse(seed, {}, 6);
      rehearsal.fleet.member(3).report = 'unhealthy';
      await rehearsal.pass(600);
      const suspects = rehearsal.fleet.transitions.filter(({ to }) => to === 'suspect');
      expect(suspects, `seed ${seed}`).to.deep.equal([]);
    }));

  const coldCases = ['starting', 'active'] as const;
  coldCases.forEach((announced) => {
    it(`does not eject a cold target that calls itself ${announced}`, () =>
      expectForSeeds(async (seed) => {
        const rehearsal = rehearse(seed);
        await rehearsal.pass(learning);
        rehearsal.fleet.restart(3, announced);
        rehearsal.setFault({ ...healthy, slowness: 10 }, 3);
        await rehearsal.pass(20);
        rehearsal.setFault(healthy, 3);
        rehearsal.fleet.member(3).announcement = {
          ...rehearsal.fleet.member(3).announcement,
          state: 'active',
        };
        await rehearsal.pass(60);
        expect(rehearsal.ejections, `seed ${seed}`).to.equal(0);
        expect(rehearsal.fleet.stateOf(3), `seed ${seed}`).to.equal('active');
      }));
  });

  const withoutStore = { ...reliable, isAway: true };

  it('suspects but does not eject while the store is away, and ejects when it is back', () =>
    expectForSeeds(async (seed) => {
      const rehearsal = rehearse(seed);
      await rehearsal.pass(learning);
      rehearsal.fleet.store.fault = withoutStore;
      rehearsal.setFault(erring, 3);
      await rehearsal.pass(60);
      expect(rehearsal.ejections, `seed ${seed}`).to.equal(0);
      expect(rehearsal.fleet.transitions.some(({ to }) => to === 'suspect')).to.equal(true);
      rehearsal.fleet.store.fault = reliable;
      await rehearsal.pass(90);
      expect(rehearsal.ejectionsOf(3), `seed ${seed}`).to.be.greaterThan(0);
    }));

  it('releases without the store, and cleans the record when it is back', async () => {
    const rehearsal = rehearse(11);
    const { fleet } = rehearsal;
    await rehearsal.pass(learning);
    rehearsal.setFault(refusing, 3);
    await rehearsal.pass(10);
    expect(fleet.stateOf(3)).to.equal('ejected');
    fleet.store.fault = withoutStore;
    rehearsal.setFault(healthy, 3);
    await rehearsal.pass(120);
    expect(fleet.stateOf(3)).to.equal('active');
    fleet.store.fault = reliable;
    await rehearsal.pass(60);
    const entry = await fleet.store.get('ejection/pujas');
    expect(new TextDecoder().decode(entry?.value)).to.include('"entries":[]');
  });

  it('ejects nobody while operators have paused it', async () => {
    const rehearsal = rehearse(11);
    await rehearsal.pass(learning);
    rehearsal.fleet.isPaused = true;
    rehearsal.setFault(erring, 3);
    await rehearsal.pass(60);
    expect(rehearsal.ejections).to.equal(0);
    rehearsal.fleet.isPaused = false;
    await rehearsal.pass(60);
    expect(rehearsal.ejectionsOf(3)).to.be.greaterThan(0);
  });

  it('releases the least bad targets when crashes take the capacity below the floor', () =>
    expectForSeeds(async (seed) => {
      const rehearsal = rehearse(seed, { floor: 30 });
      const { fleet } = rehearsal;
      await rehearsal.pass(learning);
      rehearsal.setFault(refusing, 3, 4);
      await rehearsal.pass(12);
      expect(rehearsal.ejectionsOf(3) + rehearsal.ejectionsOf(4)).to.be.greaterThan(1);
      [0, 1, 2].forEach((index) => {
        fleet.member(index).isDown = true;
        rehearsal.setFault(refusing, index);
      });
      await rehearsal.pass(10);
      const states = [3, 4].map((index) => fleet.stateOf(index));
      expect(states, `seed ${seed}`).to.deep.equal(['suspect', 'suspect']);
    }));

  it('puts an ejected target into trial when its home has lost its memory', async () => {
    const rehearsal = rehearse(11);
    const { fleet } = rehearsal;
    await rehearsal.pass(learning);
    rehearsal.setFault(refusing, 3);
    await rehearsal.pass(5);
    expect(fleet.stateOf(3)).to.equal('ejected');
    fleet.restartHome(3);
    fleet.member(3).task.announce(fleet.member(3).announcement);
    await rehearsal.pass(1);
    expect(fleet.stateOf(3)).to.equal('trial');
  });

  it('lets an operator hold, restore and drain a target', async () => {
    const rehearsal = rehearse(11);
    const { task, announcement } = rehearsal.fleet.member(3);
    const steps: readonly { act: () => void; seconds: number; state: TargetState }[] = [
      {
        act: () => task.setOperatorHolds(new Map([[announcement.id, 'eject']])),
        seconds: 600,
        state: 'held',
      },
      { act: () => task.setOperatorHolds(new Map()), seconds: 1, state: 'trial' },
      { act: () => {}, seconds: 60, state: 'active' },
      {
        act: () => task.setOperatorHolds(new Map([[announcement.id, 'drain']])),
        seconds: 600,
        state: 'draining',
      },
      { act: () => task.setOperatorHolds(new Map()), seconds: 60, state: 'active' },
      { act: () => rehearsal.setFault(refusing, 3), seconds: 5, state: 'ejected' },
      { act: () => task.restore(announcement.id), seconds: 0.1, state: 'trial' },
    ];
    await rehearsal.pass(learning);
    for (const { act, seconds, state } of steps) {
      act();
      await rehearsal.pass(seconds);
      expect(rehearsal.fleet.stateOf(3)).to.equal(state);
    }
  });
});
