import { expect } from 'chai';
import { createRandom, VirtualClock } from '../base/index.js';
import { HomeRetryBudget } from './HomeRetryBudget.js';

interface Arrivals {
  readonly first: number[];
  readonly repeated: number[];
}

/** Plays a minute in which every request asks up to three homes for a retry. */
function playOutage(homes: number, rate: number, slack: number): Arrivals {
  const clock = new VirtualClock();
  const random = createRandom(7);
  const allowance = { ratio: 0.2, slack, window: 10 };
  const budgets = Array.from(
    { length: homes },
    () =>
      new HomeRetryBudget(
        () => allowance,
        () => homes,
        clock,
      ),
  );
  const pick = (): HomeRetryBudget | undefined => budgets[Math.floor(random() * homes)];
  const first: number[] = [];
  const repeated: number[] = [];
  for (let tick = 0; tick < 60 * rate; tick += 1) {
    pick()?.recordFirstAttempt();
    first.push(clock.elapsed());
    const granting = [pick(), pick(), pick()].find((budget) => budget?.allowsRetry);
    granting?.recordRetry();
    if (granting !== undefined) repeated.push(clock.elapsed());
    clock.advance(1_000 / rate);
  }
  return { first, repeated };
}

describe('ArrivalBudget', () => {
  const cases = [
    { name: 'small fleet under load', homes: 8, rate: 60, slack: 56 },
    { name: 'small fleet that is nearly idle', homes: 8, rate: 2, slack: 56 },
    { name: 'large fleet', homes: 150, rate: 400, slack: 160 },
  ];
  cases.forEach(({ name, homes, rate, slack }) => {
    it(`keeps the bound of the fleet in every window although nobody is asked: ${name}`, () => {
      const { first, repeated } = playOutage(homes, rate, slack);
      for (let from = 0; from < 50_000; from += 500) {
        const within = (time: number) => time >= from && time < from + 10_000;
        // The bound counts the requests of this window or of the one half a window before.
        const before = (time: number) => time >= from - 5_000 && time < from + 5_000;
        const owed = Math.max(first.filter(within).length, first.filter(before).length);
        expect(repeated.filter(within).length).to.be.at.most(0.2 * owed + slack);
      }
    });
  });

  it('lets a retry use the budget of any home: most of the allowance is used in an outage', () => {
    const { first, repeated } = playOutage(8, 12, 56);
    // 24 and 56 in each ten seconds are allowed, three fifths of them used.
    expect(repeated.length).to.be.above(0.45 * (0.2 * first.length + 6 * 56));
  });

  it('keeps the bound of a service that repeated runs of another one call', () => {
    // Seven in ten look-ups call the second service; calls of a repeated run count as repeats there.
    const callShare = 0.7;
    const caller = playOutage(8, 13, 56);
    const called = playOutage(8, 28 + 9, 56);
    for (let from = 0; from < 50_000; from += 500) {
      const within = (time: number) => time >= from && time < from + 10_000;
      const calls = callShare * caller.repeated.filter(within).length;
      const owed = called.first.filter(within).length;
      expect(called.repeated.filter(within).length + calls).to.be.at.most(0.2 * owed + 56);
    }
  });

  it('grants nothing without first arrivals or slack', () => {
    const clock = new VirtualClock();
    const budget = new HomeRetryBudget(
      () => ({ ratio: 0.2, slack: 0, window: 10 }),
      () => 1,
      clock,
    );
    expect(budget.allowsRetry).to.equal(false);
  });
});
