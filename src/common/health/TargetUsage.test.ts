import { expect } from 'chai';
import { VirtualClock } from '../base/index.js';
import { TargetUsage } from './TargetUsage.js';

describe('TargetUsage', () => {
  it('reports each idle span once, so that an idle target does not fill the log', () => {
    const clock = new VirtualClock();
    const usage = new TargetUsage(clock);
    clock.advance(1_900);
    expect(usage.takeIdleSpan()).to.equal(undefined);
    usage.recordRefusal();
    clock.advance(200);
    expect(usage.takeIdleSpan()).to.deep.equal({ idleTime: 2_100, refused: 1 });
    clock.advance(5_000);
    expect(usage.takeIdleSpan()).to.equal(undefined);
    usage.recordStart();
    expect(usage.idleTime).to.equal(0);
    clock.advance(2_000);
    expect(usage.takeIdleSpan()).to.deep.equal({ idleTime: 2_000, refused: 0 });
  });
});
