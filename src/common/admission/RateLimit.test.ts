import { expect } from 'chai';
import { VirtualClock } from '../base/index.js';
import { RateLimit } from './RateLimit.js';

/** Starts as early as the limit allows for `duration` milliseconds; returns their times. */
function startAll(limit: RateLimit, clock: VirtualClock, duration: number): number[] {
  const times: number[] = [];
  const end = clock.elapsed() + duration;
  while (clock.elapsed() < end) {
    if (limit.waitFor(0) === 0) {
      limit.recordStart();
      times.push(clock.elapsed());
    } else clock.advance(10);
  }
  return times;
}

function mostInWindow(times: readonly number[], length: number): number {
  return Math.max(
    0,
    ...times.map((from) => times.filter((time) => time >= from && time < from + length).length),
  );
}

describe('RateLimit', () => {
  const rates = [0, 0.3, 1, 2.5, 10, 100];
  rates.forEach((rate) => {
    it(`keeps a limit of ${rate} a second over 4 s, also after a pause, and uses most of it`, () => {
      const clock = new VirtualClock();
      const limit = new RateLimit(clock);
      limit.set(rate);
      clock.advance(10_000);
      const times = startAll(limit, clock, 20_000);
      // The users allow one and a half times the rate and 5 more.
      expect(mostInWindow(times, 4_000)).to.be.at.most(1.5 * rate * 4 + 5);
      expect(times.length).to.be.at.least(0.9 * rate * 20);
      expect(times.length).to.be.at.least(4);
    });
  });

  const changes = [
    { name: 'a limit that is lifted', rate: undefined, wait: 0 },
    { name: 'a limit that rises', rate: 100, wait: 10 },
    { name: 'a limit that falls', rate: 0.5, wait: 1_000 },
  ];
  changes.forEach(({ name, rate, wait }) => {
    it(`applies ${name} at once, so that targets are used as they say now`, () => {
      const clock = new VirtualClock();
      const limit = new RateLimit(clock);
      limit.set(1);
      limit.recordStart();
      limit.set(rate);
      expect(limit.waitFor(0)).to.be.at.most(wait);
      limit.recordStart();
      if (rate !== undefined) expect(limit.waitFor(0)).to.be.above(0);
    });
  });
});
