import { expect } from 'chai';
import { createStopSchedule } from './stopSchedule.js';

describe('createStopSchedule', () => {
  [1_000, 2_000, 5_000, 6_000, 60_000].forEach((grace) => {
    it(`leaves running requests five sixths of ${grace} ms and ends before the kill`, () => {
      const { acceptUntil, respondBy, closeBy } = createStopSchedule(grace);
      expect(acceptUntil).to.be.below(grace / 2);
      expect(respondBy).to.be.at.least((grace * 5) / 6);
      expect(respondBy).to.be.below(closeBy);
      expect(closeBy).to.be.below(grace);
    });
  });

  it('accepts callers until two readiness checks, one second apart, have failed', () => {
    expect(createStopSchedule(6_000).acceptUntil).to.be.within(2_000, 3_000);
  });
});
