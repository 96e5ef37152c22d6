import {
  ReachabilitySimulation,
  type ReachabilityFault,
  type ReachabilityPolicy,
  type ReachabilityResult,
} from '../ReachabilitySimulation.js';
import { summarise } from '../Statistics.js';
import type { Row, Scenario } from '../Types.js';

const duration = 60_000;
const faults: readonly ReachabilityFault[] = [
  { name: 'connections lost once', lostAt: [10_000] },
  { name: 'connections lost five times', lostAt: [10_000, 20_000, 30_000, 40_000, 50_000] },
  {
    name: 'daemon silent for 20 s',
    lostAt: [10_000],
    outage: { from: 10_000, to: 30_000, kind: 'silent' },
  },
  {
    name: 'daemon refuses connections for 20 s',
    lostAt: [],
    outage: { from: 10_000, to: 30_000, kind: 'refuses' },
  },
  {
    name: 'daemon answers only checks for 20 s',
    lostAt: [10_000],
    outage: { from: 10_000, to: 30_000, kind: 'answers-checks' },
  },
];
const policies: readonly (readonly [string, ReachabilityPolicy])[] = [
  ['limpettrack', 'checks'],
  ['backoff per failed exchange', 'backoff'],
];
const measures: readonly (readonly [string, string, (result: ReachabilityResult) => number])[] = [
  ['sound daemon not used', 'ms', ({ unused }) => unused],
  ['requests sent without a response', 'requests', ({ failed }) => failed],
  ['wait of these requests in total', 'ms', ({ waited }) => Math.round(waited)],
];

async function createRows(fault: ReachabilityFault, seeds: readonly number[]): Promise<Row[]> {
  const outcomes: { readonly name: string; readonly results: readonly ReachabilityResult[] }[] = [];
  for (const [name, policy] of policies) {
    const results: ReachabilityResult[] = [];
    for (const seed of seeds) {
      results.push(await new ReachabilitySimulation(policy, fault, seed).run(duration));
    }
    outcomes.push({ name, results });
  }
  return measures.map(([measure, unit, read]) => ({
    measure: `${fault.name}: ${measure}`,
    unit,
    goal: '',
    figures: outcomes.map(({ name, results }) => summarise(name, results.map(read))),
    seeds,
  }));
}

/** What it costs to tell lost connections from lost daemons, with the requests of one entry to three daemons. */
export const reachability: Scenario = {
  name: 'reachability',
  run: async (seeds) => {
    const rows: Row[] = [];
    for (const fault of faults) rows.push(...(await createRows(fault, seeds)));
    return rows;
  },
};
