import type { TargetReport } from '../common/services/AdminTypes.js';
import type { ExpectedCapacity } from './ConfigurationFile.js';

/**
 * Replaces the expected slots of each service by those that its targets announced. The service time stays the expected
 * one, because a daemon knows it only for its current traffic.
 */
export function deriveCapacities(
  targets: readonly TargetReport[],
  expected: ReadonlyMap<string, ExpectedCapacity>,
): ReadonlyMap<string, ExpectedCapacity> {
  const capacities = new Map(expected);
  new Set(targets.map(({ service }) => service)).forEach((service) => {
    const slots = targets
      .filter((target) => target.service === service && target.state !== 'gone')
      .map((target) => target.slots);
    const total = slots.reduce((sum, count) => sum + count, 0);
    capacities.set(service, {
      targets: slots.length,
      slots: slots.length === 0 ? 0 : total / slots.length,
      serviceTime: expected.get(service)?.serviceTime,
    });
  });
  return capacities;
}
