import { expect } from 'chai';
import { brandAs, VirtualClock, type ServiceName } from '../base/index.js';
import { RetryBudget } from './RetryBudget.js';

const service = brandAs<ServiceName>('catalogo');
const other = brandAs<ServiceName>('pujas');

/** Retries granted per second when each of `rate` requests a second fails and asks `retriesPerRequest` times. */
function simulateOutage(
  rate: number,
  seconds: number,
  share: number,
  retriesPerRequest: number,
): number[] {
  const clock = new VirtualClock();
  const budget = new RetryBudget(() => share, clock);
  const granted = new Array<number>(seconds).fill(0);
  for (let index = 0; index < rate * seconds; index += 1) {
    budget.recordRequest(service);
    for (let attempt = 0; attempt < retriesPerRequest; attempt += 1) {
      const second = Math.floor(clock.elapsed() / 1000);
      if (budget.takeRetry(service)) granted[second] = (granted[second] ?? 0) + 1;
    }
    clock.advance(1000 / rate);
  }
  return granted;
}

const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);

describe('RetryBudget', () => {
  const cases = [
    { name: 'busy entry', rate: 220, share: 0.1, most: 0.1 },
    { name: 'quiet entry', rate: 2, share: 0.1, most: 0.1 },
    { name: 'smaller configured share', rate: 100, share: 0.02, most: 0.02 },
    { name: 'configured share above the requirement', rate: 100, share: 0.5, most: 0.1 },
  ];
  cases.forEach(({ name, rate, share, most }) => {
    it(`keeps the share in an outage, so that retries do not amplify the overload: ${name}`, () => {
      const granted = simulateOutage(rate, 60, share, 3);
      const limit = most * rate * 10;
      for (let start = 0; start + 10 <= 60; start += 1) {
        expect(sum(granted.slice(start, start + 10))).to.be.at.most(limit);
      }
      expect(sum(granted)).to.be.at.least(0.9 * most * rate * 60 - 2);
    });
  });

  it('limits the burst after a period without retries, so that the budget of ten seconds is not used at once', () => {
    const clock = new VirtualClock();
    const budget = new RetryBudget(() => 0.1, clock);
    for (let index = 0; index < 1000; index += 1) budget.recordRequest(service);
    const granted = Array.from({ length: 50 }, () => budget.takeRetry(service));
    expect(granted.filter(Boolean)).to.have.length(5);
  });

  it('does not count requests that have left the window, so that an old peak earns no retries', () => {
    const clock = new VirtualClock();
    const budget = new RetryBudget(() => 0.1, clock);
    for (let index = 0; index < 1000; index += 1) budget.recordRequest(service);
    clock.advance(11_000);
    expect(budget.takeRetry(service)).to.equal(false);
  });

  it('does not share the budget between services', () => {
    const budget = new RetryBudget(() => 0.1, new VirtualClock());
    for (let index = 0; index < 100; index += 1) budget.recordRequest(service);
    expect(budget.takeRetry(other)).to.equal(false);
  });
});
