import { LatencyDistribution } from '../health/LatencyDistribution.js';
import { unhealthyLossShare } from '../health/HealthEstimator.js';

/** Lower bound of the delay in standard deviations, for a target that is certainly unhealthy. */
const minDeviation = 0.25;
/** Upper bound of the delay in standard deviations; nine in ten requests at a healthy target are faster. */
const maxDeviation = 1.3;

/**
 * Milliseconds after which a request is more likely lost than slow, given the probability that its target is unhealthy.
 * An earlier hedge would mostly repeat work that is about to end; a later one would miss the latency goal.
 */
export function hedgeDelay(latencies: LatencyDistribution, unhealthyProbability: number): number {
  const lossProbability = Math.min(unhealthyProbability * unhealthyLossShare, unhealthyLossShare);
  const share = lossProbability / (1 - lossProbability);
  return latencies.atDeviation(
    LatencyDistribution.deviationForTail(share, minDeviation, maxDeviation),
  );
}
