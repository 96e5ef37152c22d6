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

const usefulShareGoal = 0.95;

const recoveryGoalSeconds = 5;

const size: FleetSize = { entries: 8, targets: 8, slots: 5, maxQueue: 100 };

/** Bids, listings and downloads of one service. */
const kinds: readonly RequestKind[] = [
  {
    route: 'bid',
    workClass: 'critical',
    share: 0.05,
    meanServiceTime: 10,
    timeout: 2_000,
    isIdempotent: false,
    maxRetryDuration: 10_000,
  },
  {
    route: 'listing',
    workClass: 'interactive',
    share: 0.85,
    meanServiceTime: 20,
    timeout: 1_000,
    isIdempotent: true,
    maxRetryDuration: 5_000,
  },
  {
    route: 'download',
    workClass: 'bulk',
    share: 0.1,
    meanServiceTime: 150,
    timeout: 10_000,
    isIdempotent: true,
    maxRetryDuration: 60_000,
  },
];

const meanServiceTime = kinds.reduce(
  (sum, { share, meanServiceTime: mean }) => sum + share * mean,
  0,
);

/** Capacity of all slots in requests per second. */
const capacity = (size.targets * size.slots * 1_000) / meanServiceTime;

/** Normal demand as a share of the capacity; the peak is ten times that. */
const baseUtilisation = 0.3;

const peakFactor = 10;

/** Phases of a run: when the demand starts to rise, and how long it rises or falls, stays and is observed after. */
const phasesMs = {
  warmUp: 5_000,
  rampStart: 20_000,
  rampDuration: 2_000,
  peakDuration: 20_000,
  recoveryDuration: 30_000,
} as const;

const peakStartMs = phasesMs.rampStart + phasesMs.rampDuration;

const peakEndMs = peakStartMs + phasesMs.peakDuration;

/** Time at which the demand is back to normal. */
const recoveryStartMs = peakEndMs + phasesMs.rampDuration;

function rateAt(time: number): number {
  const riseProgress = (time - phasesMs.rampStart) / phasesMs.rampDuration;
  const fallProgress = (recoveryStartMs - time) / phasesMs.rampDuration;
  const rampShare = Math.min(1, Math.max(0, Math.min(riseProgress, fallProgress)));
  return capacity * baseUtilisation * (1 + (peakFactor - 1) * rampShare);
}

const settings: RunSettings = {
  size,
  kinds,
  rateAt,
  duration: recoveryStartMs + phasesMs.recoveryDuration,
};

/** Slot time that an answered request used within a window. */
function usefulWorkMs({ request, result }: Observation, from: number, to: number): number {
  if (result.type !== 'answered') return 0;
  const end = request.arrivedAt + result.latency;
  const start = end - request.serviceTime;
  return Math.max(0, Math.min(end, to) - Math.max(start, from));
}

function usefulShare(run: Run, from: number, to: number): number {
  const work = run.observations.reduce((sum, each) => sum + usefulWorkMs(each, from, to), 0);
  return work / (size.targets * size.slots * (to - from));
}

/** Lowest share of useful work in any second of the peak. */
function minUsefulShare(run: Run): number {
  const seconds = Array.from(
    { length: phasesMs.peakDuration / 1_000 },
    (_, index) => peakStartMs + index * 1_000,
  );
  return Math.min(...seconds.map((from) => usefulShare(run, from, from + 1_000)));
}

/** Seconds after the peak until 99% of the new bids and listings in each half second are answered without a refusal. */
function recoveryTime(run: Run): number {
  const stepMs = 500;
  let recoveredAt = recoveryStartMs;
  for (let from = recoveryStartMs; from < settings.duration; from += stepMs) {
    const inStep = run.observations.filter(
      ({ request }) =>
        request.kind.workClass !== 'bulk' &&
        request.arrivedAt >= from &&
        request.arrivedAt < from + stepMs,
    );
    const answered = inStep.filter(
      ({ result, refusals }) => result.type === 'answered' && refusals === 0,
    ).length;
    if (answered < 0.99 * inStep.length) recoveredAt = from + stepMs;
  }
  return (recoveredAt - recoveryStartMs) / 1_000;
}

function arrivedInPeak(run: Run, workClass: WorkClass): readonly Observation[] {
  return run.observations.filter(
    ({ request }) =>
      request.kind.workClass === workClass &&
      request.arrivedAt >= peakStartMs &&
      request.arrivedAt < peakEndMs,
  );
}

function answeredShare(run: Run, workClass: WorkClass): number {
  const all = arrivedInPeak(run, workClass);
  return all.filter(({ result }) => result.type === 'answered').length / all.length;
}

function p99Latency(run: Run, workClass: WorkClass): number {
  const answered = arrivedInPeak(run, workClass).filter(({ result }) => result.type === 'answered');
  return quantile(
    answered.map(({ result }) => result.latency),
    0.99,
  );
}

const policies = [limpettrack, roundRobin, leastOutstanding];

const classes: readonly WorkClass[] = ['critical', 'interactive', 'bulk'];

/** Demand that rises tenfold within 2 s. Reports and the command line call this scenario `crest`. */
export const peakLoad: Scenario = {
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
        `capacity that does useful work while demand is ${peakFactor * baseUtilisation} times the capacity`,
        'share',
        (run) => usefulShare(run, peakStartMs, peakEndMs),
        `at least ${usefulShareGoal}`,
        (median) => median >= usefulShareGoal,
      ),
      createRow('least useful share in a second of the peak', 'share', minUsefulShare),
      createRow(
        'recovered after the peak',
        's',
        recoveryTime,
        `at most ${recoveryGoalSeconds}`,
        (median) => median <= recoveryGoalSeconds,
      ),
      ...classes.flatMap((workClass) => [
        createRow(`${workClass} requests of the peak that were answered at last`, 'share', (run) =>
          answeredShare(run, workClass),
        ),
        createRow(`p99 time to the answer of ${workClass} requests of the peak`, 'ms', (run) =>
          p99Latency(run, workClass),
        ),
      ]),
    ];
  },
};
