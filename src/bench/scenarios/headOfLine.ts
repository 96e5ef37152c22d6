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

const maxLatencyRatio = 1.5;

const longServiceTimeFactor = 50;

/** Share of long requests. */
const longShare = 0.3;

/** Mean service time of a short request. */
const shortServiceTimeMs = 10;

/** Time excluded at the start, until the cost model has learned both routes. */
const warmUpMs = 5_000;

const durationMs = 65_000;

/** Both kinds have the same class, so only the learned cost distinguishes them. */
const shortKind: RequestKind = {
  route: 'short',
  workClass: 'interactive',
  share: 1,
  meanServiceTime: shortServiceTimeMs,
  timeout: 5_000,
  isIdempotent: true,
  maxRetryDuration: 0,
};

const longKind: RequestKind = {
  ...shortKind,
  route: 'long',
  meanServiceTime: shortServiceTimeMs * longServiceTimeFactor,
  timeout: 20_000,
};

/** Traffic of both kinds at a given slot utilisation; without long requests the rate of short ones is the same. */
function createSettings(slots: number, utilisation: number, hasLong: boolean): RunSettings {
  const targets = 8;
  const share = hasLong ? longShare : 0;
  const meanServiceTime =
    shortServiceTimeMs * (1 - longShare) + shortServiceTimeMs * longServiceTimeFactor * longShare;
  const totalRate = (targets * slots * utilisation * 1_000) / meanServiceTime;
  const rate = hasLong ? totalRate : totalRate * (1 - longShare);
  return {
    size: { entries: 8, targets, slots, maxQueue: 100 },
    kinds: [
      { ...shortKind, share: 1 - share },
      { ...longKind, share },
    ],
    rateAt: () => rate,
    duration: durationMs,
  };
}

function shortRequestP99(policy: Policy, settings: RunSettings, seed: number): number {
  const latencies = runPolicy(policy, settings, seed)
    .observations.filter(({ request }) => request.kind.route === 'short')
    .filter(({ request }) => request.arrivedAt >= warmUpMs)
    .map(({ result }) => (result.type === 'answered' ? result.latency : shortKind.timeout));
  return quantile(latencies, 0.99);
}

function answeredLongShare(policy: Policy, settings: RunSettings, seed: number): number {
  const long = runPolicy(policy, settings, seed).observations.filter(
    ({ request }) => request.kind.route === 'long',
  );
  return long.filter(({ result }) => result.type === 'answered').length / long.length;
}

function createRows(slots: number, utilisation: number, seeds: readonly number[]): readonly Row[] {
  const policies = [limpettrack, roundRobin, leastOutstanding];
  const withLong = createSettings(slots, utilisation, true);
  const withoutLong = createSettings(slots, utilisation, false);
  const ratios = policies.map((policy) =>
    summarise(
      policy.name,
      seeds.map(
        (seed) =>
          shortRequestP99(policy, withLong, seed) / shortRequestP99(policy, withoutLong, seed),
      ),
    ),
  );
  const answered = policies.map((policy) =>
    summarise(
      policy.name,
      seeds.map((seed) => answeredLongShare(policy, withLong, seed)),
    ),
  );
  const title = `${slots} slots, ${utilisation * 100}% of the slots in use`;
  return [
    {
      measure: `short p99 with long work / without, ${title}`,
      unit: 'ratio',
      goal: `at most ${maxLatencyRatio}`,
      isMet: (ratios[0]?.median ?? Infinity) <= maxLatencyRatio,
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

/** Head-of-line blocking: latency of short requests beside long ones of the same class. */
export const headOfLine: Scenario = {
  name: 'head-of-line',
  run: async (seeds) => [
    ...createRows(5, 0.7, seeds),
    ...createRows(3, 0.6, seeds),
    ...createRows(5, 0.9, seeds),
  ],
};
