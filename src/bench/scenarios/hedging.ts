import type { AdmissionFleet } from '../admission/AdmissionFleet.js';
import { hedged, limpettrack, runPolicy, type Policy, type Run } from '../admission/policies.js';
import type { FleetSize, RequestKind, RunSettings } from '../admission/Types.js';
import { healthy } from '../FakeTarget.js';
import { quantile, summarise } from '../Statistics.js';
import type { Row, Scenario } from '../Types.js';

const size: FleetSize = { entries: 8, targets: 8, slots: 5, maxQueue: 100 };

const kind: RequestKind = {
  route: 'listing',
  workClass: 'interactive',
  share: 1,
  meanServiceTime: 20,
  timeout: 1_000,
  isIdempotent: true,
  maxRetryDuration: 0,
};

/** Capacity of all slots in requests per second. */
const capacity = (size.targets * size.slots * 1_000) / kind.meanServiceTime;

const durationMs = 40_000;

/** Time excluded at the start, until the latency quantiles are learned. */
const warmUpMs = 10_000;

interface Situation {
  readonly name: string;
  readonly utilisation: number;
  readonly action: (fleet: AdmissionFleet) => void;
}

const situations: readonly Situation[] = [
  { name: 'stragglers, 60% of the slots in use', utilisation: 0.6, action: () => {} },
  { name: 'stragglers, 95% of the slots in use', utilisation: 0.95, action: () => {} },
  {
    name: 'one target ten times slower, 60% of the slots in use',
    utilisation: 0.6,
    action: (fleet) => {
      const [first] = fleet.targets;
      if (first !== undefined) first.target.fault = { ...healthy, slowness: 10 };
    },
  },
];

function run({ utilisation, action }: Situation, policy: Policy, seed: number): Run {
  const settings: RunSettings = {
    size,
    kinds: [kind],
    rateAt: () => capacity * utilisation,
    duration: durationMs,
    events: [{ at: warmUpMs / 2, action }],
  };
  return runPolicy(policy, settings, seed);
}

/** Latencies in milliseconds; an unanswered request counts with its timeout. */
function latencies({ observations }: Run): readonly number[] {
  return observations
    .filter(({ request }) => request.arrivedAt >= warmUpMs)
    .map(({ result }) => (result.type === 'answered' ? result.latency : kind.timeout));
}

function createRows(situation: Situation, seeds: readonly number[]): readonly Row[] {
  const policies = [hedged, limpettrack];
  const results = policies.map((policy) => ({
    policy: policy.name,
    runs: seeds.map((seed) => run(situation, policy, seed)),
  }));
  const createRow = (measure: string, unit: string, read: (each: Run) => number): Row => ({
    measure: `${measure}, ${situation.name}`,
    unit,
    goal: '',
    figures: results.map(({ policy, runs }) => summarise(policy, runs.map(read))),
    seeds,
  });
  return [
    createRow('p99', 'ms', (each) => quantile(latencies(each), 0.99)),
    createRow('p99.9', 'ms', (each) => quantile(latencies(each), 0.999)),
    createRow(
      'attempts for each request',
      'ratio',
      ({ fleet, observations }) => fleet.attempts / observations.length,
    ),
  ];
}

/** Effect of hedging: a second copy of slow idempotent requests. */
export const hedging: Scenario = {
  name: 'hedging',
  run: async (seeds) => situations.flatMap((situation) => createRows(situation, seeds)),
};
