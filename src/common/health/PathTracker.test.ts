import { expect } from 'chai';
import { brandAs } from '../base/index.js';
import type { DaemonId } from '../base/index.js';
import { PathTracker } from './PathTracker.js';

const home = brandAs<DaemonId>('home');
const other = brandAs<DaemonId>('other');

describe('PathTracker', () => {
  const cases = [
    { name: 'keeps full preference without failures', failures: 0, wait: 0, low: 1, high: 1 },
    { name: 'lowers the preference after failures', failures: 4, wait: 0, low: 0.01, high: 0.1 },
    {
      name: 'keeps a minimum preference, so that a recovery is detected',
      failures: 99,
      wait: 0,
      low: 0.01,
      high: 0.1,
    },
    {
      name: 'restores the preference after a minute',
      failures: 4,
      wait: 60_000,
      low: 0.9,
      high: 1,
    },
  ];
  cases.forEach(({ name, failures, wait, low, high }) => {
    it(name, () => {
      const tracker = new PathTracker();
      for (let index = 0; index < failures; index += 1) tracker.record(home, 'timeout', 0);
      expect(tracker.preference(home, wait)).to.be.within(low, high);
      expect(tracker.preference(other, wait)).to.equal(1);
    });
  });

  it('guards against a lost connection that counts as often as it carried requests', () => {
    const one = new PathTracker();
    const many = new PathTracker();
    one.record(home, 'reset', 1_000, 900);
    for (let index = 0; index < 40; index += 1) many.record(home, 'reset', 1_000 + index, 900);
    expect(many.preference(home, 2_000)).to.equal(one.preference(home, 2_000));
    many.record(home, 'reset', 3_000, 2_900);
    expect(many.preference(home, 3_000)).to.be.below(one.preference(home, 3_000));
  });
});
