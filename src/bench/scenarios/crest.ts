import type { WorkClass } from '../../api/index.js';
import {
  limpettrack,
  leastOutstanding,
  roundRobin,
  runPolicy,
  type Run,
} from '../admission/policies.js';
import type { FleetSize, Observation, RequestKind, RunSettings } from '../admission/Types.js';
import { quantile, summarise } from '../Statistics.js';
import type { Row, Scenario } from '../Types.js';

const usefulGoal = 0.95;

/** Seconds. */
const recoveryGoal = 5;

const size: FleetSize = { entries: 8, targets: 8, slots: 5, maxQueue: 100 };

/** Bids, listings and downloads of one service. */
const kinds: readonly RequestKind[] = [
  {
    route: 'bid',
    workClass: 'critical',
    share: 0.05,
    work: 10,
    timeout: 2_000,
    isIdempotent: false,
    patience: 10_000,
  },
  {
    route: 'listing',
    workClass: 'interactive',
    share: 0.85,
    work: 20,
    timeout: 1_000,
    isIdempotent: true,
    patience: 5_000,
  },
  {
    route: 'download',
    workClass: 'bulk',
    share: 0.1,
    work: 150,
    timeout: 10_000,
    isIdempotent: true,
    patience: 60_000,
  },
];

const meanWork = kinds.reduce((sum, { share, work }) => sum + share * work, 0);

/** Requests a second that the slots can run. */
const capacity = (size.targets * size.slots * 1_000) / meanWork;

/** Demand of an ordinary minute as a share of the capacity; ten times that is the crest. */
const baseUse = 0.3;

const crestFactor = 10;

/** Times in milliseconds. The demand rises and falls within `ramp`. */
const times = { warmUp: 5_000, crest: 20_000, ramp: 2_000, hold: 20_000, after: 30_000 } as const;

const crestStart = times.crest + times.ramp;

const crestEnd = crestStart + times.hold;

/** The demand is back to normal. */
const calm = crestEnd + times.ramp;

function rateAt(time: number): number {
  const rising = (time - times.crest) / times.ramp;
  const falling = (calm - time) / times.ramp;
  const height = Math.min(1, Math.max(0, Math.min(rising, falling)));
  return capacity * baseUse * (1 + (crestFactor - 1) * height);
}

const settings: RunSettings = {
  size,
  kinds,
  rateAt,
  duration: calm + times.after,
};

/** Milliseconds of the work of an answer that fall into a window. */
function overlap({ request, result }: Observation, from: number, to: number): number {
  if (result.type !== 'answered') return 0;
  const end = request.arrived + result.latency;
  const start = end - request.work;
  return Math.max(0, Math.min(end, to) - Math.max(start, from));
}

function usefulShare(run: Run, from: number, to: number): number {
  const work = run.observations.reduce((sum, each) => sum + overlap(each, from, to), 0);
  return work / (size.targets * size.slots * (to - from));
}

/** Least share of useful work in a second of the crest. */
function leastUsefulShare(run: Run): number {
  const seconds = Array.from(
    { length: times.hold / 1_000 },
    (_, index) => crestStart + index * 1_000,
  );
  return Math.min(...seconds.map((from) => usefulShare(run, from, from + 1_000)));
}

/** Seconds after the crest until 99 in 100 new bids and listings of each half second are answered at once. */
function recoveryTime(run: Run): number {
  const step = 500;
  let last = calm;
  for (let from = calm; from < settings.duration; from += step) {
    const inStep = run.observations.filter(
      ({ request }) =>
        request.kind.workClass !== 'bulk' &&
        request.arrived >= from &&
        request.arrived < from + step,
    );
    const answered = inStep.filter(
      ({ result, refusals }) => result.type === 'answered' && refusals === 0,
    ).length;
    if (answered < 0.99 * inStep.length) last = from + step;
  }
  return (last - calm) / 1_000;
}

function inCrest(run: Run, workClass: WorkClass): readonly Observation[] {
  return run.observations.filter(
    ({ request }) =>
      request.kind.workClass === workClass &&
      request.arrived >= crestStart &&
      request.arrived < crestEnd,
  );
}

function answeredShare(run: Run, workClass: WorkClass): number {
  const all = inCrest(run, workClass);
  return all.filter(({ result }) => result.type === 'answered').length / all.length;
}

function waitOf(run: Run, workClass: WorkClass): number {
  const answered = inCrest(run, workClass).filter(({ result }) => result.type === 'answered');
  return quantile(
    answered.map(({ result }) => result.latency),
    0.99,
  );
}

const policies = [limpettrack, roundRobin, leastOutstanding];

const classes: readonly WorkClass[] = ['critical', 'interactive', 'bulk'];

/** The demand rises tenfold within 2 s. */
export const crest: Scenario = {
  name: 'crest',
  run: async (seeds) => {
    const runs = policies.map((policy) => ({
      policy: policy.name,
      runs: seeds.map((seed) => runPolicy(policy, settings, seed)),
    }));
    const createRow = (
      measure: string,
      unit: string,
      read: (run: Run) => number,
      goal = '',
      isMet?: (median: number) => boolean,
    ): Row => {
      const figures = runs.map(({ policy, runs: each }) => summarise(policy, each.map(read)));
      return { measure, unit, goal, isMet: isMet?.(figures[0]?.median ?? NaN), figures, seeds };
    };
    return [
      createRow(
        `capacity that does useful work while demand is ${crestFactor * baseUse} times the capacity`,
        'share',
        (run) => usefulShare(run, crestStart, crestEnd),
        `at least ${usefulGoal}`,
        (median) => median >= usefulGoal,
      ),
      createRow('least useful share in a second of the peak', 'share', leastUsefulShare),
      createRow(
        'recovered after the peak',
        's',
        recoveryTime,
        `at most ${recoveryGoal}`,
        (median) => median <= recoveryGoal,
      ),
      ...classes.flatMap((workClass) => [
        createRow(`${workClass} requests of the peak that were answered at last`, 'share', (run) =>
          answeredShare(run, workClass),
        ),
        createRow(`p99 time to the answer of ${workClass} requests of the peak`, 'ms', (run) =>
          waitOf(run, workClass),
        ),
      ]),
    ];
  },
};
