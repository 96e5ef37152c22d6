import { expect } from 'chai';
import { createRandom, VirtualClock } from '../base/index.js';
import { HomeRetryBudget, usableShare } from './HomeRetryBudget.js';

interface Attempts {
  readonly firstAttempts: number[];
  readonly retries: number[];
}

/** Simulates a minute in which every request fails and asks up to three homes for a retry. */
function simulateOutage(targetCount: number, rate: number, slack: number): Attempts {
  const clock = new VirtualClock();
  const random = createRandom(7);
  const limits = { ratio: 0.2, slack, window: 10 };
  const budgets = Array.from(
    { length: targetCount },
    () =>
      new HomeRetryBudget(
        () => limits,
        () => targetCount,
        clock,
      ),
  );
  const pickBudget = (): HomeRetryBudget | undefined => budgets[Math.floor(random() * targetCount)];
  const firstAttempts: number[] = [];
  const retries: number[] = [];
  for (let tick = 0; tick < 60 * rate; tick += 1) {
    pickBudget()?.recordFirstAttempt();
    firstAttempts.push(clock.elapsed());
    const grantingBudget = [pickBudget(), pickBudget(), pickBudget()].find(
      (budget) => budget?.allowsRetry,
    );
    grantingBudget?.recordRetry();
    if (grantingBudget !== undefined) retries.push(clock.elapsed());
    clock.advance(1_000 / rate);
  }
  return { firstAttempts, retries };
}

describe('HomeRetryBudget', () => {
  const cases = [
    { name: 'small fleet under load', targetCount: 8, rate: 60, slack: 56 },
    { name: 'small fleet that is nearly idle', targetCount: 8, rate: 2, slack: 56 },
    { name: 'large fleet', targetCount: 150, rate: 400, slack: 160 },
  ];
  cases.forEach(({ name, targetCount, rate, slack }) => {
    it(`keeps the limit of the fleet in every window without coordination: ${name}`, () => {
      const { firstAttempts, retries } = simulateOutage(targetCount, rate, slack);
      for (let from = 0; from < 50_000; from += 500) {
        const within = (time: number) => time >= from && time < from + 10_000;
        // The limit counts the first attempts of this window or of the one half a window before.
        const before = (time: number) => time >= from - 5_000 && time < from + 5_000;
        const firstCount = Math.max(
          firstAttempts.filter(within).length,
          firstAttempts.filter(before).length,
        );
        expect(retries.filter(within).length).to.be.at.most(0.2 * firstCount + slack);
      }
    });
  });

  it('lets a retry use the budget of any home, so that most of the usable limit is used in an outage', () => {
    const { firstAttempts, retries } = simulateOutage(8, 12, 56);
    // 24 and 56 retries are allowed in ten seconds.
    const limit = 0.2 * firstAttempts.length + 6 * 56;
    expect(retries.length).to.be.above(0.75 * usableShare * limit);
  });

  // The calls of a retried look-up count as retries at the service that it calls, and no call counts as a first attempt.
  const callers = [
    {
      name: 'seven in ten call it once',
      callsPerRun: 0.7,
      slack: 56,
      caller: { targets: 8, rate: 13 },
      called: { targets: 8, callerRate: 28, callRate: 9 },
    },
    {
      name: 'seven in ten call it twice',
      callsPerRun: 1.4,
      slack: 162,
      caller: { targets: 20, rate: 71 },
      called: { targets: 36, callerRate: 200, callRate: 100 },
    },
  ];
  callers.forEach(({ name, callsPerRun, slack, caller, called }) => {
    it(`keeps the limit of a service that is called by retried requests of another service: ${name}`, () => {
      const { targets, callerRate, callRate } = called;
      const ofCaller = simulateOutage(caller.targets, caller.rate, slack);
      const ofCalled = simulateOutage(targets, callerRate + callRate, slack);
      for (let from = 0; from < 50_000; from += 500) {
        const within = (time: number) => time >= from && time < from + 10_000;
        const retriedCalls = callsPerRun * ofCaller.retries.filter(within).length;
        const retries = ofCalled.retries.filter(within).length + retriedCalls;
        expect(retries).to.be.at.most(0.2 * 10 * callerRate + slack);
      }
    });
  });

  it('allows no retry without first attempts and slack', () => {
    const clock = new VirtualClock();
    const budget = new HomeRetryBudget(
      () => ({ ratio: 0.2, slack: 0, window: 10 }),
      () => 1,
      clock,
    );
    expect(budget.allowsRetry).to.equal(false);
  });
});
