import type { TargetReport } from '../common/services/AdminTypes.js';
import type { ExpectedCapacity } from './ConfigurationFile.js';

/**
 * Capacity of each service as its targets announced it. The service time comes from the expectation, because a
 * daemon knows it only for the traffic of the moment.
 */
export function measureCapacities(
  targets: readonly TargetReport[],
  expected: ReadonlyMap<string, ExpectedCapacity>,
): ReadonlyMap<string, ExpectedCapacity> {
  const measured = new Map(expected);
  new Set(targets.map(({ service }) => service)).forEach((service) => {
    const slots = targets
      .filter((target) => target.service === service && target.state !== 'gone')
      .map((target) => target.slots);
    const total = slots.reduce((sum, count) => sum + count, 0);
    measured.set(service, {
      targets: slots.length,
      slots: slots.length === 0 ? 0 : total / slots.length,
      serviceTime: expected.get(service)?.serviceTime,
    });
  });
  return measured;
}
