import { expect } from 'chai';
import { VirtualClock } from '../base/index.js';
import { LatencyDistribution } from './LatencyDistribution.js';
import { logistic, HealthEstimator } from './HealthEstimator.js';

function create() {
  const clock = new VirtualClock();
  const times = new LatencyDistribution(2_000);
  for (let index = 0; index < 200; index += 1) times.record(400 + (index % 5) * 50);
  const filter = new HealthEstimator(clock);
  return { clock, times, filter };
}

const sickness = (filter: HealthEstimator): number => logistic(filter.logOdds);

describe('SicknessFilter', () => {
  it('suspects a silent target before any of its requests has failed', () => {
    const { clock, times, filter } = create();
    filter.start(times);
    clock.advance(1_200);
    expect(sickness(filter)).to.be.above(0.5);
  });

  it('is nearly sure when three requests hang', () => {
    const { clock, times, filter } = create();
    [1, 2, 3].forEach(() => filter.start(times));
    clock.advance(1_200);
    expect(sickness(filter)).to.be.above(0.98);
  });

  it('does not condemn a target for one straggler while others are answered', () => {
    const { clock, times, filter } = create();
    filter.start(times);
    for (let index = 0; index < 6; index += 1) {
      const request = filter.start(times);
      clock.advance(450);
      filter.succeed(request);
    }
    expect(sickness(filter)).to.be.below(0.5);
  });

  const endings = [
    { name: 'failures', end: 'fail' as const, above: 0.5 },
    { name: 'refusals of a full target', end: 'refuse' as const, above: 0 },
  ];
  endings.forEach(({ name, end, above }) => {
    it(`weighs ${name}`, () => {
      const { clock, times, filter } = create();
      for (let index = 0; index < 2; index += 1) {
        const request = filter.start(times);
        clock.advance(50);
        filter[end](request);
      }
      expect(sickness(filter)).to.be.above(above);
      if (end === 'refuse') expect(sickness(filter)).to.be.below(0.2);
    });
  });

  it('keeps the suspicion of a request that was cancelled because it hung', () => {
    const { clock, times, filter } = create();
    const request = filter.start(times);
    clock.advance(1_500);
    filter.cancel(request);
    expect(sickness(filter)).to.be.above(0.5);
  });

  it('does not take answers to older requests for a sign of health while newer ones are silent', () => {
    const { clock, times, filter } = create();
    const older = [1, 2, 3, 4].map(() => filter.start(times));
    clock.advance(100);
    [1, 2, 3].forEach(() => filter.start(times));
    clock.advance(450);
    older.forEach((request) => filter.succeed(request));
    clock.advance(550);
    expect(sickness(filter)).to.be.above(0.9);
  });

  it('never gets so sure of health that a silent target needs many lost requests', () => {
    const { clock, times, filter } = create();
    const straggler = filter.start(times);
    for (let index = 0; index < 200; index += 1) {
      const request = filter.start(times);
      clock.advance(5);
      filter.succeed(request);
    }
    filter.succeed(straggler);
    [1, 2, 3].forEach(() => filter.start(times));
    clock.advance(1_200);
    expect(sickness(filter)).to.be.above(0.9);
  });

  it('forgets within some seconds, since sick spells end', () => {
    const { clock, times, filter } = create();
    filter.fail(filter.start(times));
    clock.advance(20_000);
    expect(sickness(filter)).to.be.within(0.1, 0.2);
  });
});
