import { expect } from 'chai';
import { VirtualClock } from '../base/index.js';
import { chooseTimeout, Deadline } from './Deadline.js';

describe('Deadline', () => {
  const steps = [
    { name: 'counts down', passed: 300, remaining: 700, behind: 660, attempt: 420 },
    { name: 'never gives a timeout of 0', passed: 999.5, remaining: 0.5, behind: 1, attempt: 1 },
    { name: 'stays at 0 when past', passed: 2000, remaining: 0, behind: 1, attempt: 1 },
  ];
  steps.forEach(({ name, passed, remaining, behind, attempt }) => {
    it(`${name}, or a later process works in vain`, () => {
      const clock = new VirtualClock();
      const deadline = new Deadline(1000, clock);
      clock.advance(passed);
      expect(deadline.remaining).to.equal(remaining);
      expect(deadline.timeoutForNextHop(40)).to.equal(behind);
      expect(deadline.attemptTimeout(0.6)).to.equal(attempt);
    });
  });

  const wishes = [
    { wish: undefined, timeout: 500 },
    { wish: '200', timeout: 200 },
    { wish: '9000', timeout: 500 },
    { wish: '0', timeout: 500 },
    { wish: '-1', timeout: 500 },
    { wish: 'soon', timeout: 500 },
  ];
  wishes.forEach(({ wish, timeout }) => {
    it(`takes ${timeout} ms for the header "${wish}" on a route of 500 ms`, () => {
      expect(chooseTimeout(wish, 500)).to.equal(timeout);
    });
  });
});
