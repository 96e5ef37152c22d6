import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { VirtualClock } from '../../common/base/index.js';
import { encodeConfiguration, encodeHead } from '../../common/configuration/ConfigurationCodec.js';
import { ConfigurationState } from '../../common/configuration/ConfigurationState.js';
import type { ConfigurationContent, ConfigurationHead } from '../../common/configuration/Types.js';
import { RouteTable } from '../../common/routing/RouteTable.js';
import { sha256 } from '../../node/sha256.js';
import { ConfigurationFleet } from '../simulation/ConfigurationFleet.js';
import { createContent } from '../simulation/Documents.js';
import { summarise } from '../Statistics.js';
import type { Figure, Row, Scenario } from '../Types.js';
import { placeOf } from './membership.js';

const sizes = [8, 32, 128, 730];

/** Routes and accounts at full size (docs/design.md 1.6), measured at these shares of it. */
const fullRoutes = 4300;
const fullAccounts = 35000;
const shares = [0.125, 0.25, 0.5, 1];

/** Routes and accounts of the simulated fleets, small because each daemon holds its own copy. */
const fleetRoutes = 40;
const fleetAccounts = 300;

const changesPerDay = 1500;
const secondsPerDay = 86400;

/** Virtual milliseconds before and during a measurement. */
const warmUp = 10000;
const storeWindow = 30000;
const limit = 60000;
const timeBudget = 16;
const memoryBudget = 256;
const byteBudget = 23 * 1000;

const note = { author: 'bench', summary: 'a change' };

interface FleetFigures {
  /** Seconds until a change is in force everywhere. */
  readonly time: number;
  /** Store calls a second by kind without changes; `waiting` counts running watches. */
  readonly calls: Readonly<Record<string, number>>;
}

async function startFleet(seed: number, size: number) {
  const clock = new VirtualClock();
  const fleet = new ConfigurationFleet({ clock, seed, size, placeOf, isAcquainted: true });
  const content = createContent(fleetRoutes, fleetAccounts);
  await fleet.editor.change(await fleet.editor.read(), content, note);
  fleet.start();
  await fleet.timeToRevision(1, limit);
  await clock.advanceAsync(warmUp);
  return { clock, fleet };
}

async function measureFleet(seed: number, size: number): Promise<FleetFigures> {
  const { clock, fleet } = await startFleet(seed, size);
  fleet.store.calls.clear();
  await clock.advanceAsync(storeWindow);
  const kinds = ['get', 'range', 'transact', 'watch'];
  const rates = kinds.map((kind) => [
    kind,
    (fleet.store.calls.get(kind) ?? 0) / (storeWindow / 1000),
  ]);
  const calls = { ...Object.fromEntries(rates), waiting: fleet.store.watches.size };
  const base = await fleet.editor.read();
  await fleet.editor.change(base, createContent(fleetRoutes + 1, fleetAccounts), note);
  const time = (await fleet.timeToRevision(2, limit)) / 1000;
  fleet.dispose();
  return { time, calls };
}

async function fleetRows(seeds: readonly number[]): Promise<Row[]> {
  const times: Figure[] = [];
  const calls: Figure[] = [];
  for (const size of sizes) {
    const results: FleetFigures[] = [];
    for (const seed of seeds) results.push(await measureFleet(seed, size));
    const name = `${size} daemons`;
    times.push(
      summarise(
        name,
        results.map(({ time }) => time),
      ),
    );
    ['get', 'range', 'transact', 'watch', 'waiting'].forEach((kind) => {
      const values = results.map((result) => result.calls[kind] ?? 0);
      calls.push(summarise(`${name}, ${kind}`, values));
    });
  }
  return [
    {
      measure: 'change in force at all daemons',
      unit: 's',
      goal: `${timeBudget} s`,
      isMet: times.every(({ highest }) => highest <= timeBudget),
      figures: times,
      seeds,
      notMeasured: 'processor queues of a loaded daemon; the store answers at once',
    },
    {
      measure: 'store calls for the configuration without changes, whole fleet',
      unit: 'calls/s; waiting: watches',
      goal: '',
      figures: calls,
      seeds,
    },
  ];
}

function contentOf(share: number): ConfigurationContent {
  return createContent(Math.round(fullRoutes * share), Math.round(fullAccounts * share));
}

function nameOf(share: number): string {
  return `${Math.round(fullRoutes * share)} routes, ${Math.round(fullAccounts * share)} accounts`;
}

function headOf(content: ConfigurationContent, revision: number): ConfigurationHead {
  const { references } = encodeConfiguration(content, sha256);
  const numbers = { revision, parent: revision - 1 } as Pick<
    ConfigurationHead,
    'revision' | 'parent'
  >;
  return { ...note, ...numbers, preset: content.preset, created: '', chunks: references };
}

/** Bytes that one change costs a daemon: received once and, on average, sent once. */
function changeBytes(before: ConfigurationContent, after: ConfigurationContent): number {
  const held = new Set(headOf(before, 1).chunks.map(({ digest }) => digest));
  const head = headOf(after, 2);
  const added = head.chunks.filter(({ digest }) => !held.has(digest));
  const chunkBytes = added.reduce((sum, { size }) => sum + size, 0);
  return 2 * (chunkBytes + encodeHead(head, sha256).length);
}

function trafficRow(seeds: readonly number[]): Row {
  const figures = shares.map((share) => {
    const before = contentOf(share);
    const accounts = seeds.map((seed) => {
      const index = (seed * 997) % before.accounts.length;
      const changed = before.accounts.map((account, position) =>
        position === index ? { ...account, rate: 7 } : account,
      );
      return changeBytes(before, { ...before, accounts: changed });
    });
    const rates = accounts.map((bytes) => (bytes * changesPerDay) / secondsPerDay);
    return summarise(nameOf(share), rates);
  });
  return {
    measure: `distribution bytes per daemon, sent and received, ${changesPerDay} changes of an account a day`,
    unit: 'B/s',
    goal: `${byteBudget} B/s for all control`,
    isMet: (figures.at(-1)?.highest ?? Infinity) <= byteBudget,
    figures,
    seeds,
    notMeasured: 'headers of the calls; chunks that a slow peer sends twice',
  };
}

function usedMemory(): number {
  setFlagsFromString('--expose_gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return (heapUsed + arrayBuffers) / 2 ** 20;
}

/** What a daemon holds of a configuration: chunks, documents and the route table. */
function holdConfiguration(share: number): { state: ConfigurationState; table: RouteTable } {
  const content = contentOf(share);
  const { chunks } = encodeConfiguration(content, sha256);
  const state = new ConfigurationState(sha256);
  state.offer(headOf(content, 1), chunks);
  return { state, table: new RouteTable(state.current?.routes ?? []) };
}

/** Megabytes that a configuration holds in a daemon. */
function measureMemory(share: number): number {
  const before = usedMemory();
  const held = holdConfiguration(share);
  const used = usedMemory() - before;
  if (held.state.revision !== 1) throw new Error('the revision is not in force');
  return used;
}

function memoryRow(seeds: readonly number[]): Row {
  const figures = shares.map((share) => {
    const name = nameOf(share);
    return summarise(
      name,
      seeds.map(() => measureMemory(share)),
    );
  });
  return {
    measure: 'memory of the configuration in one daemon',
    unit: 'MB',
    goal: `${memoryBudget} MB for all control`,
    isMet: (figures.at(-1)?.highest ?? Infinity) <= memoryBudget,
    figures,
    seeds,
    notMeasured: 'the peak while an old and a new revision are held',
  };
}

/** Cost of the configuration and its time to be in force against daemons, routes and accounts. */
export const configuration: Scenario = {
  name: 'configuration',
  run: async (seeds) => [memoryRow(seeds), trafficRow(seeds), ...(await fleetRows(seeds))],
};
