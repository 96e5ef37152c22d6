import { detectionLimitMs, detectionSettings } from '../DetectionSimulation.js';
import { runSimulations } from '../SimulationPool.js';
import type { DetectionJob, DetectionResult, FailureName, PolicyName } from '../SimulationTypes.js';
import { quantile } from '../Statistics.js';
import type { Figure, Row, Scenario } from '../Types.js';

/** Runs per seed. The p99 of limpettrack needs many; the baselines only serve for comparison. */
const runsPerSeed: Readonly<Record<PolicyName, number>> = {
  limpettrack: 60,
  'consecutive failures': 12,
  'error rate': 12,
};
const policies = Object.keys(runsPerSeed) as PolicyName[];

interface Case {
  readonly failure: FailureName;
  readonly name: string;
  readonly goal: string;
  /** Maximum p50 and p99 in seconds; absent if there is no goal. */
  readonly bounds?: { readonly p50: number; readonly p99: number };
}

const sixSecondGoal = { goal: 'p50 within 3 s, p99 within 6 s', bounds: { p50: 3, p99: 6 } };
const cases: readonly Case[] = [
  {
    failure: 'hard',
    name: 'hard failure',
    goal: 'p99 within 1 s',
    bounds: { p50: 1, p99: 1 },
  },
  { failure: 'slow', name: '10 times slower', ...sixSecondGoal },
  { failure: 'erring', name: 'failing 1 in 3', ...sixSecondGoal },
  { failure: 'silent', name: 'silent', goal: '' },
  { failure: 'wrong', name: 'wrong answer 1 in 3', goal: '' },
];

const notMeasured =
  'detected means that the target is `suspect`, which takes its normal load away; ' +
  `30 s means not detected within ${detectionLimitMs / 1000} s; median and spread are over the runs; ` +
  'answers and sockets are simulated';

function createJobs(failure: FailureName, policy: PolicyName, seeds: readonly number[]) {
  return seeds.flatMap((seed) =>
    Array.from({ length: runsPerSeed[policy] }, (_, run): DetectionJob => ({
      type: 'detection',
      seed: seed * 1_000 + run,
      failure,
      policy,
    })),
  );
}

function delaysInSeconds(results: readonly DetectionResult[]): readonly number[] {
  return results.map(({ delay }) => delay / 1000);
}

/** Quantile over all runs, with its minimum and maximum over the seeds. */
function summariseQuantile(
  policy: PolicyName,
  values: readonly number[],
  share: number,
  seedCount: number,
): Figure {
  const length = runsPerSeed[policy];
  const bySeed = Array.from({ length: seedCount }, (_, index) =>
    quantile(values.slice(index * length, (index + 1) * length), share),
  );
  return {
    policy,
    median: quantile(values, share),
    lowest: Math.min(...bySeed),
    highest: Math.max(...bySeed),
    runs: values.length,
  };
}

async function measure(
  { failure, name, goal, bounds }: Case,
  seeds: readonly number[],
): Promise<readonly Row[]> {
  const samples = new Map<PolicyName, readonly number[]>();
  for (const policy of policies) {
    const results = await runSimulations(createJobs(failure, policy, seeds));
    samples.set(policy, delaysInSeconds(results));
  }
  return (
    [
      ['p50', 0.5],
      ['p99', 0.99],
    ] as const
  ).map(([label, share]) => {
    const figures = policies.map((policy) =>
      summariseQuantile(policy, samples.get(policy) ?? [], share, seeds.length),
    );
    const isMet = bounds === undefined ? undefined : (figures[0]?.median ?? NaN) <= bounds[label];
    const measureName = `time to detect, ${name}, ${label}, ${detectionSettings.rate} requests/s`;
    return { measure: measureName, unit: 's', goal, isMet, figures, seeds, notMeasured };
  });
}

/** Time to detect a failing target, by kind of failure. */
export const detection: Scenario = {
  name: 'detection',
  run: async (seeds) => {
    const rows: Row[] = [];
    for (const item of cases) rows.push(...(await measure(item, seeds)));
    return rows;
  },
};
