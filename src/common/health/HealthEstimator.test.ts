import { expect } from 'chai';
import { VirtualClock } from '../base/index.js';
import { LatencyDistribution } from './LatencyDistribution.js';
import { logistic, HealthEstimator } from './HealthEstimator.js';

function create() {
  const clock = new VirtualClock();
  const latencies = new LatencyDistribution(2_000);
  for (let index = 0; index < 200; index += 1) latencies.record(400 + (index % 5) * 50);
  const estimator = new HealthEstimator(clock);
  return { clock, latencies, estimator };
}

const unhealthyProbability = (estimator: HealthEstimator): number => logistic(estimator.logOdds);

describe('HealthEstimator', () => {
  it('suspects an unresponsive target before any of its requests has failed', () => {
    const { clock, latencies, estimator } = create();
    estimator.start(latencies);
    clock.advance(1_200);
    expect(unhealthyProbability(estimator)).to.be.above(0.5);
  });

  it('is nearly certain that a target is unhealthy when three requests hang', () => {
    const { clock, latencies, estimator } = create();
    [1, 2, 3].forEach(() => estimator.start(latencies));
    clock.advance(1_200);
    expect(unhealthyProbability(estimator)).to.be.above(0.98);
  });

  it('does not suspect a target for one slow request while others are answered', () => {
    const { clock, latencies, estimator } = create();
    estimator.start(latencies);
    for (let index = 0; index < 6; index += 1) {
      const request = estimator.start(latencies);
      clock.advance(450);
      estimator.succeed(request);
    }
    expect(unhealthyProbability(estimator)).to.be.below(0.5);
  });

  const endings = [
    { name: 'failures', end: 'fail' as const, above: 0.5 },
    { name: 'refusals of a full target', end: 'refuse' as const, above: 0 },
  ];
  endings.forEach(({ name, end, above }) => {
    it(`accounts for ${name}`, () => {
      const { clock, latencies, estimator } = create();
      for (let index = 0; index < 2; index += 1) {
        const request = estimator.start(latencies);
        clock.advance(50);
        estimator[end](request);
      }
      expect(unhealthyProbability(estimator)).to.be.above(above);
      if (end === 'refuse') expect(unhealthyProbability(estimator)).to.be.below(0.2);
    });
  });

  it('keeps the evidence of a request that was cancelled because it hung', () => {
    const { clock, latencies, estimator } = create();
    const request = estimator.start(latencies);
    clock.advance(1_500);
    estimator.cancel(request);
    expect(unhealthyProbability(estimator)).to.be.above(0.5);
  });

  it('does not count answers to older requests as evidence of health while newer ones get none', () => {
    const { clock, latencies, estimator } = create();
    const older = [1, 2, 3, 4].map(() => estimator.start(latencies));
    clock.advance(100);
    [1, 2, 3].forEach(() => estimator.start(latencies));
    clock.advance(450);
    older.forEach((request) => estimator.succeed(request));
    clock.advance(550);
    expect(unhealthyProbability(estimator)).to.be.above(0.9);
  });

  it('bounds its certainty, so that few lost requests suffice to suspect a target that stops answering', () => {
    const { clock, latencies, estimator } = create();
    const straggler = estimator.start(latencies);
    for (let index = 0; index < 200; index += 1) {
      const request = estimator.start(latencies);
      clock.advance(5);
      estimator.succeed(request);
    }
    estimator.succeed(straggler);
    [1, 2, 3].forEach(() => estimator.start(latencies));
    clock.advance(1_200);
    expect(unhealthyProbability(estimator)).to.be.above(0.9);
  });

  it('decays to the prior within seconds, since targets recover', () => {
    const { clock, latencies, estimator } = create();
    estimator.fail(estimator.start(latencies));
    clock.advance(20_000);
    expect(unhealthyProbability(estimator)).to.be.within(0.1, 0.2);
  });
});
