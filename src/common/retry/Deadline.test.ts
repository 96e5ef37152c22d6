import { expect } from 'chai';
import { VirtualClock } from '../base/index.js';
import { chooseTimeout, Deadline } from './Deadline.js';

describe('Deadline', () => {
  const steps = [
    { name: 'counts down', passed: 300, remaining: 700, behind: 660, attempt: 420 },
    { name: 'never returns a timeout of 0', passed: 999.5, remaining: 0.5, behind: 1, attempt: 1 },
    { name: 'stays at 0 after the deadline', passed: 2000, remaining: 0, behind: 1, attempt: 1 },
  ];
  steps.forEach(({ name, passed, remaining, behind, attempt }) => {
    it(`${name}, so that later processes do no work after the deadline`, () => {
      const clock = new VirtualClock();
      const deadline = new Deadline(1000, clock);
      clock.advance(passed);
      expect(deadline.remaining).to.equal(remaining);
      expect(deadline.timeoutForNextHop(40)).to.equal(behind);
      expect(deadline.attemptTimeout(0.6)).to.equal(attempt);
    });
  });

  const headers = [
    { requested: undefined, timeout: 500 },
    { requested: '200', timeout: 200 },
    { requested: '9000', timeout: 500 },
    { requested: '0', timeout: 500 },
    { requested: '-1', timeout: 500 },
    { requested: 'soon', timeout: 500 },
  ];
  headers.forEach(({ requested, timeout }) => {
    it(`uses ${timeout} ms for the header "${requested}" on a route of 500 ms`, () => {
      expect(chooseTimeout(requested, 500)).to.equal(timeout);
    });
  });
});
