import { expect } from 'chai';
import { brandAs, createRandom, VirtualClock, type ServiceName } from '../base/index.js';
import { SharedRetryBudget } from './SharedRetryBudget.js';

const service = brandAs<ServiceName>('catalogo');

describe('SharedRetryBudget', () => {
  const cases = [
    { name: 'small fleet under load', daemons: 24, rate: 60, slack: 56 },
    { name: 'small fleet that is nearly idle', daemons: 24, rate: 2, slack: 56 },
    { name: 'large fleet', daemons: 300, rate: 400, slack: 160 },
  ];
  cases.forEach(({ name, daemons, rate, slack }) => {
    it(`keeps the fleet's bound in every window although nobody is asked: ${name}`, () => {
      const clock = new VirtualClock();
      const random = createRandom(7);
      const budgets = Array.from(
        { length: daemons },
        () =>
          new SharedRetryBudget(
            () => ({ ratio: 0.2, slack, window: 10 }),
            () => daemons,
            clock,
          ),
      );
      const requests: number[] = [];
      const retries: number[] = [];
      for (let tick = 0; tick < 60 * rate; tick += 1) {
        const budget = budgets[Math.floor(random() * daemons)];
        budget?.recordRequest(service);
        requests.push(clock.elapsed());
        // Every request asks for three retries, as in an outage.
        for (let ask = 0; ask < 3; ask += 1) {
          if (budget?.takeRetry(service) === true) retries.push(clock.elapsed());
        }
        clock.advance(1_000 / rate);
      }
      for (let from = 0; from < 50_000; from += 500) {
        const within = (time: number) => time >= from && time < from + 10_000;
        // The bound counts the requests of this window, the one before, or one half a window before.
        const before = (time: number) => time >= from - 5_000 && time < from + 5_000;
        const owed = Math.max(requests.filter(within).length, requests.filter(before).length);
        expect(retries.filter(within).length).to.be.at.most(0.2 * owed + slack);
      }
      if (rate / daemons > 1) expect(retries.length).to.be.above(0.1 * requests.length);
    });
  });
});
