import { LatencyDistribution } from '../health/LatencyDistribution.js';
import { unhealthyLossShare } from '../health/HealthEstimator.js';

/** A request is not taken for slow before this many standard deviations, however sick its target seems. */
const leastDeviation = 0.25;
/** A healthy target is given up when the request is slower than nine in ten. */
const greatestDeviation = 1.3;

/**
 * Milliseconds after which a request is more likely lost than slow, for a target that is sick with a given probability.
 * Earlier copies would mostly repeat work that is about to end; later ones miss the latency that is asked for.
 */
export function hedgeDelay(times: LatencyDistribution, sickness: number): number {
  const lost = Math.min(sickness * unhealthyLossShare, unhealthyLossShare);
  const share = lost / (1 - lost);
  return times.atDeviation(
    LatencyDistribution.deviationForTail(share, leastDeviation, greatestDeviation),
  );
}
