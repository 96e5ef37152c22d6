import { expect } from 'chai';
import { reliable } from '../../bench/FakeStore.js';
import { healthy } from '../../bench/FakeTarget.js';
import type { Fault } from '../../bench/FakeTarget.js';
import { EjectionFleet } from '../../bench/EjectionFleet.js';
import type { EjectionFleetOptions } from '../../bench/EjectionFleet.js';
import { auctionRoutes, FleetTraffic, createHomeView } from '../../bench/FleetTraffic.js';
import { simulateHealthy } from '../../bench/HealthySimulation.js';
import { pickIndex, sampleItems } from '../base/index.js';
import type { TargetState } from '../services/Types.js';
import { FloorChecker } from '../../bench/FloorChecker.js';

const seeds = [11, 23, 37];
const defaultOptions: Omit<EjectionFleetOptions, 'seed'> = { targets: 8, slots: 5, floor: 25 };
const failing: Fault = { ...healthy, failureShare: 0.6 };
const refusingConnections: Fault = { ...healthy, failureShare: 1, failure: 'connect-failed' };
const learningSeconds = 40;

class Scenario {
  public readonly fleet: EjectionFleet;

  public readonly traffic: FleetTraffic;

  public constructor(options: EjectionFleetOptions, rate = 60) {
    this.fleet = new EjectionFleet(options);
    const views = this.fleet.members.map(createHomeView);
    this.fleet.onTransition.event(() => views.forEach((view) => view.refresh()));
    this.fleet.members.forEach(({ task, announcement }) => task.announce(announcement));
    const traffic = { rate, stragglerShare: 0.005, routes: auctionRoutes };
    this.traffic = new FleetTraffic(this.fleet.clock, this.fleet.random, views, traffic);
  }

  public async advance(seconds: number): Promise<void> {
    await this.fleet.advance(seconds * 1000);
  }

  public setFault(fault: Fault, ...targets: readonly number[]): void {
    targets.forEach((index) => {
      this.fleet.member(index).target.fault = fault;
    });
  }

  /** Injects faults or crashes into up to four targets, restores the others, and restarts one home without its state. */
  public injectFaults(hasCrashes: boolean): void {
    const { fleet } = this;
    const { random, members } = fleet;
    const faulty = sampleItems(random, members, 4).map(({ index }) => index);
    members.forEach(({ index, isDown }) => {
      if (isDown) fleet.restart(index);
      this.setFault(faulty.includes(index) ? failing : healthy, index);
    });
    const home = pickIndex(random, members.length);
    fleet.restartHome(home);
    fleet.member(home).task.announce(fleet.member(home).announcement);
    const crashed = faulty[0];
    if (!hasCrashes || crashed === undefined) return;
    fleet.member(crashed).isDown = true;
    this.setFault(refusingConnections, crashed);
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

function createScenario(
  seed: number,
  options: Partial<EjectionFleetOptions> = {},
  rate?: number,
): Scenario {
  return new Scenario({ ...defaultOptions, ...options, seed }, rate);
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
    { name: 'with fresh and complete views', network: {}, store, hasCrashes: false },
    { name: 'with stale views', network: { delay: 1_500 }, store, hasCrashes: false },
    { name: 'with partial views', network: { lossShare: 0.3 }, store, hasCrashes: false },
    {
      name: 'when responses of the store are lost',
      network: { delay: 500, lossShare: 0.1 },
      store: { ...store, delay: 2_000, lostAnswerShare: 0.3, lostWriteShare: 0.2 },
      hasCrashes: false,
    },
    { name: 'when targets crash', network: { delay: 500 }, store, hasCrashes: true },
  ];
  cases.forEach(({ name, network, store: fault, hasCrashes }) => {
    it(`${name}, with homes that act concurrently`, async () => {
      let ejections = 0;
      let refusals = 0;
      await expectForSeeds(
        async (seed) => {
          const scenario = createScenario(seed, { floor: 30 });
          const { fleet } = scenario;
          const history = new FloorChecker(fleet);
          fleet.store.fault = fault;
          fleet.network = { ...fleet.network, ...network };
          await scenario.advance(learningSeconds);
          for (let round = 0; round < 8; round += 1) {
            scenario.injectFaults(hasCrashes);
            await scenario.advance(30);
          }
          expect(history.violations, `seed ${seed}`).to.deep.equal([]);
          ejections += history.ejections;
          refusals += fleet.refusals.filter(({ refusal }) => refusal === 'floor').length;
        },
        [11, 23, 37, 41, 59, 61],
      );
      // Without ejections and refusals the check would be void.
      expect(ejections).to.be.greaterThan(20);
      expect(refusals).to.be.greaterThan(20);
    });
  });
});

describe('EjectionTask', () => {
  it('ejects no healthy target because of stragglers, cold starts, delayed reports or brownouts', async () => {
    // One hour of virtual time per seed. The full check is `npm run bench -- false-ejection`.
    await expectForSeeds(
      async (seed) => {
        const job = { type: 'healthy', seed, hours: 1, hasBrownouts: true } as const;
        expect((await simulateHealthy(job)).ejections, `seed ${seed}`).to.equal(0);
      },
      [73, 101, 139],
    );
  });

  const serviceCases = [
    { name: 'slows down', fault: { ...healthy, slowness: 10 } },
    { name: 'fails 1 request in 3', fault: { ...healthy, failureShare: 1 / 3 } },
  ];
  serviceCases.forEach(({ name, fault }) => {
    it(`ejects no target when the whole service ${name}`, () =>
      expectForSeeds(async (seed) => {
        const scenario = createScenario(seed);
        await scenario.advance(learningSeconds);
        scenario.setFault(fault, 0, 1, 2, 3, 4, 5, 6, 7);
        await scenario.advance(60);
        scenario.setFault(healthy, 0, 1, 2, 3, 4, 5, 6, 7);
        await scenario.advance(60);
        expect(scenario.ejections, `seed ${seed}`).to.equal(0);
      }));
  });

  const sickCases: readonly { name: string; fault: Fault }[] = [
    { name: 'refuses connections', fault: refusingConnections },
    { name: 'is 10 times slower', fault: { ...healthy, slowness: 10 } },
    { name: 'fails 1 request in 3', fault: { ...healthy, failureShare: 1 / 3 } },
    { name: 'is silent', fault: { ...healthy, isSilent: true } },
    {
      name: 'truncates 1 response in 3',
      fault: { ...healthy, failureShare: 1 / 3, failure: 'truncated' },
    },
  ];
  sickCases.forEach(({ name, fault }) => {
    it(`ejects a target that ${name}, and restores it without an operator once it is healthy`, () =>
      expectForSeeds(async (seed) => {
        const scenario = createScenario(seed);
        await scenario.advance(learningSeconds);
        scenario.setFault(fault, 3);
        await scenario.advance(120);
        expect(scenario.ejectionsOf(3), `seed ${seed}`).to.be.greaterThan(0);
        scenario.setFault(healthy, 3);
        await scenario.advance(400);
        expect(scenario.fleet.stateOf(3), `seed ${seed}`).to.equal('active');
        expect(scenario.ejections - scenario.ejectionsOf(3), `seed ${seed}`).to.equal(0);
      }));
  });

  it('ejects a flapping target less and less often', () =>
    expectForSeeds(async (seed) => {
      const scenario = createScenario(seed);
      await scenario.advance(learningSeconds);
      for (let round = 0; round < 40; round += 1) {
        scenario.setFault(round % 2 === 0 ? failing : healthy, 3);
        await scenario.advance(30);
      }
      // Holds of a constant 5 s would allow about 20 ejections in 20 minutes.
      expect(scenario.ejectionsOf(3), `seed ${seed}`).to.be.within(3, 10);
    }));

  it('does not eject a target that is unreachable only from its home, and reassigns it', () =>
    expectForSeeds(async (seed) => {
      const scenario = createScenario(seed);
      await scenario.advance(learningSeconds);
      scenario.fleet.network = { ...scenario.fleet.network, cutHomes: new Set([3, 4]) };
      scenario.setFault({ ...healthy, isSilent: true }, 3);
      scenario.setFault(refusingConnections, 4);
      await scenario.advance(60);
      expect(scenario.ejections, `seed ${seed}`).to.equal(0);
      expect(scenario.fleet.reassigned).to.include.members(['t3', 't4']);
      // Refused connections on a cut path are no evidence against the target.
      const suspects = scenario.fleet.transitions.filter(({ to }) => to === 'suspect');
      expect(suspects.map(({ target }) => target)).not.to.include('t4');
    }));

  it('does not eject a healthy target whose health endpoint reports it as unhealthy', () =>
    expectForSeeds(async (seed) => {
      const scenario = createScenario(seed, {}, 6);
      scenario.fleet.member(3).reportedHealth = 'unhealthy';
      await scenario.advance(600);
      const suspects = scenario.fleet.transitions.filter(({ to }) => to === 'suspect');
      expect(suspects, `seed ${seed}`).to.deep.equal([]);
    }));

  const coldCases = ['starting', 'active'] as const;
  coldCases.forEach((announced) => {
    it(`does not eject a cold target that announces itself as ${announced}`, () =>
      expectForSeeds(async (seed) => {
        const scenario = createScenario(seed);
        await scenario.advance(learningSeconds);
        scenario.fleet.restart(3, announced);
        scenario.setFault({ ...healthy, slowness: 10 }, 3);
        await scenario.advance(20);
        scenario.setFault(healthy, 3);
        scenario.fleet.member(3).announcement = {
          ...scenario.fleet.member(3).announcement,
          state: 'active',
        };
        await scenario.advance(60);
        expect(scenario.ejections, `seed ${seed}`).to.equal(0);
        expect(scenario.fleet.stateOf(3), `seed ${seed}`).to.equal('active');
      }));
  });

  const unavailableStore = { ...reliable, isUnavailable: true };

  it('suspects but does not eject while the store is unavailable, and ejects once it is back', () =>
    expectForSeeds(async (seed) => {
      const scenario = createScenario(seed);
      await scenario.advance(learningSeconds);
      scenario.fleet.store.fault = unavailableStore;
      scenario.setFault(failing, 3);
      await scenario.advance(60);
      expect(scenario.ejections, `seed ${seed}`).to.equal(0);
      expect(scenario.fleet.transitions.some(({ to }) => to === 'suspect')).to.equal(true);
      scenario.fleet.store.fault = reliable;
      await scenario.advance(90);
      expect(scenario.ejectionsOf(3), `seed ${seed}`).to.be.greaterThan(0);
    }));

  it('releases without the store, and removes the entry from the record once it is back', async () => {
    const scenario = createScenario(11);
    const { fleet } = scenario;
    await scenario.advance(learningSeconds);
    scenario.setFault(refusingConnections, 3);
    await scenario.advance(10);
    expect(fleet.stateOf(3)).to.equal('ejected');
    fleet.store.fault = unavailableStore;
    scenario.setFault(healthy, 3);
    await scenario.advance(120);
    expect(fleet.stateOf(3)).to.equal('active');
    fleet.store.fault = reliable;
    await scenario.advance(60);
    const entry = await fleet.store.get('ejection/pujas');
    expect(new TextDecoder().decode(entry?.value)).to.include('"entries":[]');
  });

  it('ejects no target while operators have paused ejection', async () => {
    const scenario = createScenario(11);
    await scenario.advance(learningSeconds);
    scenario.fleet.isPaused = true;
    scenario.setFault(failing, 3);
    await scenario.advance(60);
    expect(scenario.ejections).to.equal(0);
    scenario.fleet.isPaused = false;
    await scenario.advance(60);
    expect(scenario.ejectionsOf(3)).to.be.greaterThan(0);
  });

  it('releases the targets of lowest severity when crashes reduce the capacity below the floor', () =>
    expectForSeeds(async (seed) => {
      const scenario = createScenario(seed, { floor: 30 });
      const { fleet } = scenario;
      await scenario.advance(learningSeconds);
      scenario.setFault(refusingConnections, 3, 4);
      await scenario.advance(12);
      expect(scenario.ejectionsOf(3) + scenario.ejectionsOf(4)).to.be.greaterThan(1);
      [0, 1, 2].forEach((index) => {
        fleet.member(index).isDown = true;
        scenario.setFault(refusingConnections, index);
      });
      await scenario.advance(10);
      const states = [3, 4].map((index) => fleet.stateOf(index));
      expect(states, `seed ${seed}`).to.deep.equal(['suspect', 'suspect']);
    }));

  it('puts an ejected target into trial when its home has lost its state', async () => {
    const scenario = createScenario(11);
    const { fleet } = scenario;
    await scenario.advance(learningSeconds);
    scenario.setFault(refusingConnections, 3);
    await scenario.advance(5);
    expect(fleet.stateOf(3)).to.equal('ejected');
    fleet.restartHome(3);
    fleet.member(3).task.announce(fleet.member(3).announcement);
    await scenario.advance(1);
    expect(fleet.stateOf(3)).to.equal('trial');
  });

  it('lets an operator hold, restore and drain a target', async () => {
    const scenario = createScenario(11);
    const { task, announcement } = scenario.fleet.member(3);
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
      { act: () => scenario.setFault(refusingConnections, 3), seconds: 5, state: 'ejected' },
      { act: () => task.restore(announcement.id), seconds: 0.1, state: 'trial' },
    ];
    await scenario.advance(learningSeconds);
    for (const { act, seconds, state } of steps) {
      act();
      await scenario.advance(seconds);
      expect(scenario.fleet.stateOf(3)).to.equal(state);
    }
  });
});
