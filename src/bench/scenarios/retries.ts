import type { AdmissionFleet } from '../admission/AdmissionFleet.js';
import {
  leastOutstanding,
  limpettrack,
  roundRobin,
  runPolicy,
  unlimitedRetries,
  type Policy,
} from '../admission/policies.js';
import type { FleetSize, RequestKind, RunSettings } from '../admission/Types.js';
import { healthy } from '../FakeTarget.js';
import { summarise } from '../Statistics.js';
import type { Row, Scenario } from '../Types.js';

const maxAddedLoad = 0.1;

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

/** Requests per second; 60% of the capacity of the slots. */
const rate = 1_200;

/** Start and end of the outage, which lasts to the end of the run. */
const outageMs = { from: 10_000, to: 40_000 } as const;

interface OutageResult {
  /** Retries per request. */
  readonly added: number;
  readonly answered: number;
}

function runOutage(policy: Policy, failingCount: number, seed: number): OutageResult {
  const attemptCounts: number[] = [];
  const recordAttempts = ({ attempts }: AdmissionFleet): void => {
    attemptCounts.push(attempts);
  };
  const fail = (fleet: AdmissionFleet): void => {
    recordAttempts(fleet);
    fleet.targets.slice(0, failingCount).forEach(({ target }) => {
      target.fault = { ...healthy, failureShare: 1 };
    });
  };
  const settings: RunSettings = {
    size,
    kinds: [kind],
    rateAt: () => rate,
    duration: outageMs.to,
    events: [
      { at: outageMs.from, action: fail },
      { at: outageMs.to, action: recordAttempts },
    ],
  };
  const { observations } = runPolicy(policy, settings, seed);
  const during = observations.filter(({ request }) => request.arrivedAt >= outageMs.from);
  const answered = during.filter(({ result }) => result.type === 'answered').length;
  const [before = 0, after = 0] = attemptCounts;
  return { added: (after - before) / during.length - 1, answered: answered / during.length };
}

const policies = [limpettrack, unlimitedRetries, roundRobin, leastOutstanding];

function createRows(name: string, failingCount: number, seeds: readonly number[]): readonly Row[] {
  const outcomes = policies.map((policy) => ({
    policy: policy.name,
    runs: seeds.map((seed) => runOutage(policy, failingCount, seed)),
  }));
  const added = outcomes.map(({ policy, runs }) =>
    summarise(
      policy,
      runs.map((run) => run.added),
    ),
  );
  const answered = outcomes.map(({ policy, runs }) =>
    summarise(
      policy,
      runs.map((run) => run.answered),
    ),
  );
  return [
    {
      measure: `load that retries add while ${name} fail at once`,
      unit: 'share',
      goal: `at most ${maxAddedLoad}`,
      isMet: (added[0]?.highest ?? Infinity) <= maxAddedLoad,
      figures: added,
      seeds,
      notMeasured: 'ejection, which would take the failing targets out',
    },
    {
      measure: `requests answered while ${name} fail`,
      unit: 'share',
      goal: '',
      figures: answered,
      seeds,
    },
  ];
}

/** Load that retries add during an outage. */
export const retries: Scenario = {
  name: 'retries',
  run: async (seeds) => [
    ...createRows('half of the targets', size.targets / 2, seeds),
    ...createRows('all targets', size.targets, seeds),
  ],
};
