import {
  limpettrack,
  leastOutstanding,
  roundRobin,
  runPolicy,
  type Policy,
} from '../admission/policies.js';
import type { RequestKind, RunSettings } from '../admission/Types.js';
import { quantile, summarise } from '../Statistics.js';
import type { Row, Scenario } from '../Types.js';

const goal = 1.5;

const longFactor = 50;

/** Share of long requests. */
const longShare = 0.3;

/** Milliseconds of a short request. */
const shortWork = 10;

/** Milliseconds left out at the start, until costs are learned. */
const warmUp = 5_000;

const duration = 65_000;

/** Both kinds are of one class, so that only the learned cost tells them apart. */
const shortKind: RequestKind = {
  route: 'short',
  workClass: 'interactive',
  share: 1,
  work: shortWork,
  timeout: 5_000,
  isIdempotent: true,
  patience: 0,
};

const longKind: RequestKind = {
  ...shortKind,
  route: 'long',
  work: shortWork * longFactor,
  timeout: 20_000,
};

/** Traffic with the given use of all slots by both kinds; without long work the short part stays the same. */
function createSettings(slots: number, use: number, hasLong: boolean): RunSettings {
  const targets = 8;
  const share = hasLong ? longShare : 0;
  const meanWork = shortWork * (1 - longShare) + shortWork * longFactor * longShare;
  const all = (targets * slots * use * 1_000) / meanWork;
  const rate = hasLong ? all : all * (1 - longShare);
  return {
    size: { entries: 8, targets, slots, maxQueue: 100 },
    kinds: [
      { ...shortKind, share: 1 - share },
      { ...longKind, share },
    ],
    rateAt: () => rate,
    duration,
  };
}

function measureShort(policy: Policy, settings: RunSettings, seed: number): number {
  const latencies = runPolicy(policy, settings, seed)
    .observations.filter(({ request }) => request.kind.route === 'short')
    .filter(({ request }) => request.arrived >= warmUp)
    .map(({ result }) => (result.type === 'answered' ? result.latency : shortKind.timeout));
  return quantile(latencies, 0.99);
}

function measureAnsweredLong(policy: Policy, settings: RunSettings, seed: number): number {
  const long = runPolicy(policy, settings, seed).observations.filter(
    ({ request }) => request.kind.route === 'long',
  );
  return long.filter(({ result }) => result.type === 'answered').length / long.length;
}

function createRows(slots: number, use: number, seeds: readonly number[]): readonly Row[] {
  const policies = [limpettrack, roundRobin, leastOutstanding];
  const withLong = createSettings(slots, use, true);
  const without = createSettings(slots, use, false);
  const ratios = policies.map((policy) =>
    summarise(
      policy.name,
      seeds.map(
        (seed) => measureShort(policy, withLong, seed) / measureShort(policy, without, seed),
      ),
    ),
  );
  const answered = policies.map((policy) =>
    summarise(
      policy.name,
      seeds.map((seed) => measureAnsweredLong(policy, withLong, seed)),
    ),
  );
  const title = `${slots} slots, ${use * 100}% of the slots in use`;
  return [
    {
      measure: `short p99 with long work / without, ${title}`,
      unit: 'ratio',
      goal: `at most ${goal}`,
      isMet: (ratios[0]?.median ?? Infinity) <= goal,
      figures: ratios,
      seeds,
      notMeasured: 'time inside the daemon; hops count as 0.25 ms',
    },
    {
      measure: `long work answered in time, ${title}`,
      unit: 'share',
      goal: '',
      figures: answered,
      seeds,
    },
  ];
}

/** Short work beside long work of the same class. */
export const headOfLine: Scenario = {
  name: 'head-of-line',
  run: async (seeds) => [
    ...createRows(5, 0.7, seeds),
    ...createRows(3, 0.6, seeds),
    ...createRows(5, 0.9, seeds),
  ],
};
