import { expect } from 'chai';
import { VirtualClock } from '../base/index.js';
import { TrialRequestLimiter } from './TrialRequestLimiter.js';

/** Trial requests granted in ten seconds with one attempt every 100 ms. */
function countTrials(isAnswered: boolean): number {
  const clock = new VirtualClock();
  const limiter = new TrialRequestLimiter(clock);
  let count = 0;
  for (let step = 0; step < 100; step += 1) {
    if (limiter.tryAcquire()) {
      count += 1;
      if (isAnswered) limiter.reset();
    }
    clock.advance(100);
  }
  return count;
}

describe('TrialRequestLimiter', () => {
  const cases = [
    {
      name: 'grants few trial requests to a hanging target',
      isAnswered: false,
      least: 5,
      most: 10,
    },
    {
      name: 'grants all trial requests to a recovered target',
      isAnswered: true,
      least: 100,
      most: 100,
    },
  ];
  cases.forEach(({ name, isAnswered, least, most }) => {
    it(name, () => {
      expect(countTrials(isAnswered)).to.be.within(least, most);
    });
  });
});
