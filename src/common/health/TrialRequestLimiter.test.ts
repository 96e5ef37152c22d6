import { expect } from 'chai';
import { VirtualClock } from '../base/index.js';
import { TrialRequestLimiter } from './TrialRequestLimiter.js';

/** Scouts that pass in ten seconds when one asks every 100 ms. */
function countScouts(isAnswered: boolean): number {
  const clock = new VirtualClock();
  const gate = new TrialRequestLimiter(clock);
  let count = 0;
  for (let step = 0; step < 100; step += 1) {
    if (gate.tryAcquire()) {
      count += 1;
      if (isAnswered) gate.reset();
    }
    clock.advance(100);
  }
  return count;
}

describe('ScoutGate', () => {
  const cases = [
    { name: 'a hanging target costs few requests', isAnswered: false, least: 5, most: 10 },
    { name: 'a recovered target is tried again at once', isAnswered: true, least: 100, most: 100 },
  ];
  cases.forEach(({ name, isAnswered, least, most }) => {
    it(name, () => {
      expect(countScouts(isAnswered)).to.be.within(least, most);
    });
  });
});
