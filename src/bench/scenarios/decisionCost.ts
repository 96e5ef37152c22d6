import { isLeft } from 'fp-ts/lib/Either.js';
import {
  brandAs,
  createRandom,
  VirtualClock,
  type AccountId,
  type DaemonId,
  type RequestContext,
  type RequestId,
} from '../../api/index.js';
import { QuotaClient } from '../../common/admission/QuotaClient.js';
import type { QuotaDemand } from '../../common/admission/QuotaTypes.js';
import { RetryBudget } from '../../common/retry/RetryBudget.js';
import { CrossRegionBudget } from '../../common/selection/CrossRegionBudget.js';
import { LoadTable } from '../../common/selection/LoadTable.js';
import { Selector } from '../../common/selection/Selector.js';
import { dataCentres, AdmissionFleet, region, service } from '../admission/AdmissionFleet.js';
import { summarise } from '../Statistics.js';
import type { Figure, Scenario } from '../Types.js';

const iterations = 50_000;

const context: RequestContext = {
  id: brandAs<RequestId>('r'),
  service,
  route: 'listing',
  workClass: 'interactive',
  isIdempotent: true,
  timeout: 1_000,
};

type Action = (index: number) => void;

/** Average processor time of one call in microseconds. */
function cpuMicrosecondsPerCall(action: (index: number) => void): number {
  for (let index = 0; index < iterations / 10; index += 1) action(index);
  const { user, system } = process.cpuUsage();
  for (let index = 0; index < iterations; index += 1) action(index);
  const used = process.cpuUsage({ user, system });
  return (used.user + used.system) / iterations;
}

/** Formats a log line of a decision, whose processor time is the unit of the figures. */
function formatLine(index: number): void {
  const fields = {
    request: `r${index}`,
    service,
    class: 'interactive',
    target: 'target-1',
    wait: 3,
  };
  JSON.stringify({ time: new Date(index), level: 'info', message: 'answered 200', fields });
}

function createSelection(targets: number): () => void {
  const fleet = new AdmissionFleet({ entries: 8, targets, slots: 5, maxQueue: 100 }, 1);
  const entries = fleet.targets.map(({ entry }) => entry);
  const loads = new LoadTable(fleet.clock);
  const crossRegion = new CrossRegionBudget(() => 0, fleet.clock);
  const [dataCentre] = dataCentres;
  const location = { region, dataCentre: dataCentre as (typeof dataCentres)[number] };
  const selector = new Selector(location, createRandom(1), { pathPenalty: () => 0, crossRegion });
  return () => {
    const choice = selector.choose({ context }, entries, loads);
    if (isLeft(choice)) return;
    loads.sent(choice.right.target.id, context.route);
    loads.ended(choice.right.target.id, undefined, context.route);
  };
}

/** Admits and releases a request while `waiting` requests are queued. */
function createAdmission(waiting: number): () => void {
  const fleet = new AdmissionFleet({ entries: 1, targets: 1, slots: 5, maxQueue: 1_000 }, 1);
  const controller = fleet.targets[0]?.controller;
  const releases: (() => void)[] = [];
  const enqueue = (): void => {
    controller?.enqueue({ context: { ...context, timeout: 1e9 } }, (result) => {
      if (isLeft(result)) return;
      releases.push(() => result.right.release({ kind: 'success' }));
    });
  };
  for (let index = 0; index < waiting + (waiting > 0 ? 5 : 0); index += 1) enqueue();
  return () => {
    enqueue();
    releases.shift()?.();
  };
}

async function createQuota(): Promise<() => void> {
  const clock = new VirtualClock();
  const owner = brandAs<DaemonId>('owner');
  const settings = {
    limitOf: () => 1e9,
    ownerOf: () => owner,
    daemonCount: () => 1,
    request: (_: DaemonId, demands: readonly QuotaDemand[]) =>
      Promise.resolve(
        demands.map(({ key }) => ({ key, granted: 1e9, validFor: 1e9, askAfter: 1e9 })),
      ),
  };
  const entry = new QuotaClient(settings, clock);
  const subject = { ...context, account: brandAs<AccountId>('a') };
  const first = entry.acquire(subject);
  await clock.advanceAsync(10);
  await first;
  return () => {
    entry.tryAcquire(subject);
  };
}

function createBudget(): () => void {
  const budget = new RetryBudget(() => 0.1, new VirtualClock());
  return () => {
    budget.recordRequest(service);
    budget.takeRetry(service);
  };
}

const decisions: readonly {
  readonly name: string;
  readonly create: () => Action | Promise<Action>;
}[] = [
  { name: 'choice among 8 targets', create: () => createSelection(8) },
  { name: 'choice among 50 targets', create: () => createSelection(50) },
  { name: 'choice among 200 targets', create: () => createSelection(200) },
  { name: 'admission, empty queue', create: () => createAdmission(0) },
  { name: 'admission, 20 waiting', create: () => createAdmission(20) },
  { name: 'admission, 100 waiting', create: () => createAdmission(100) },
  { name: 'quota of three keys', create: createQuota },
  { name: 'retry budget', create: createBudget },
];

/** Processor time of the decisions for a request, relative to formatting one log line in the same run. */
export const decisionCost: Scenario = {
  name: 'decision-cost',
  run: async (seeds) => {
    const figures: Figure[] = [];
    for (const { name, create } of decisions) {
      const ratios: number[] = [];
      for (let index = 0; index < seeds.length; index += 1) {
        const decision = cpuMicrosecondsPerCall(await create());
        ratios.push(decision / cpuMicrosecondsPerCall(formatLine));
      }
      figures.push(summarise(name, ratios));
    }
    const lines = summarise(
      'one log line (microseconds, noisy)',
      seeds.map(() => cpuMicrosecondsPerCall(formatLine)),
    );
    return [
      {
        measure: 'processor time of one decision / of one log line',
        unit: 'ratio',
        goal: '',
        figures,
        seeds: [],
      },
      {
        measure: 'the unit of the row above',
        unit: 'microseconds',
        goal: '',
        figures: [lines],
        seeds: [],
      },
    ];
  },
};
