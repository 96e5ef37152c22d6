import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { VirtualClock } from '../../common/base/index.js';
import { encodeConfiguration, encodeHead } from '../../common/configuration/ConfigurationCodec.js';
import { ConfigurationState } from '../../common/configuration/ConfigurationState.js';
import type { ConfigurationContent, ConfigurationHead } from '../../common/configuration/Types.js';
import { RouteTable } from '../../common/routing/RouteTable.js';
import { sha256 } from '../../node/sha256.js';
import { ConfigurationFleet } from '../simulation/ConfigurationFleet.js';
import { createTestConfiguration } from '../simulation/createTestConfiguration.js';
import { summarise } from '../Statistics.js';
import type { Figure, Row, Scenario } from '../Types.js';
import { locationOf } from './membership.js';

const sizes = [8, 32, 128, 730];

/** Routes and accounts at full size (docs/design.md 1.6); measured at the given scales of it. */
const fullRoutes = 4300;
const fullAccounts = 35000;
const scales = [0.125, 0.25, 0.5, 1];

/** Routes and accounts in simulated fleets; few, because each simulated daemon holds its own copy. */
const fleetRoutes = 40;
const fleetAccounts = 300;

const changesPerDay = 1500;
const secondsPerDay = 86400;

/** Virtual time before a measurement, of the measurement of store calls, and after which a change is given up. */
const warmUpMs = 10000;
const storeWindowMs = 30000;
const timeLimitMs = 60000;
const timeBudgetSeconds = 16;
const memoryBudgetMegabytes = 256;
const byteBudgetPerSecond = 23 * 1000;

const changeNote = { author: 'bench', summary: 'a change' };

interface FleetFigures {
  /** Seconds until a change is in force everywhere. */
  readonly time: number;
  /** Store calls per second by kind while nothing changes; `waiting` is the number of open watches. */
  readonly calls: Readonly<Record<string, number>>;
}

async function startFleet(seed: number, size: number) {
  const clock = new VirtualClock();
  const fleet = new ConfigurationFleet({
    clock,
    seed,
    size,
    locationOf,
    startsConverged: true,
  });
  const content = createTestConfiguration(fleetRoutes, fleetAccounts);
  await fleet.editor.change(await fleet.editor.read(), content, changeNote);
  fleet.start();
  await fleet.timeToRevision(1, timeLimitMs);
  await clock.advanceAsync(warmUpMs);
  return { clock, fleet };
}

async function measureFleet(seed: number, size: number): Promise<FleetFigures> {
  const { clock, fleet } = await startFleet(seed, size);
  fleet.store.calls.clear();
  await clock.advanceAsync(storeWindowMs);
  const kinds = ['get', 'range', 'transact', 'watch'];
  const rates = kinds.map((kind) => [
    kind,
    (fleet.store.calls.get(kind) ?? 0) / (storeWindowMs / 1000),
  ]);
  const calls = { ...Object.fromEntries(rates), waiting: fleet.store.watches.size };
  const base = await fleet.editor.read();
  await fleet.editor.change(
    base,
    createTestConfiguration(fleetRoutes + 1, fleetAccounts),
    changeNote,
  );
  const time = (await fleet.timeToRevision(2, timeLimitMs)) / 1000;
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
      goal: `${timeBudgetSeconds} s`,
      isMet: times.every(({ highest }) => highest <= timeBudgetSeconds),
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

function createScaledContent(share: number): ConfigurationContent {
  return createTestConfiguration(Math.round(fullRoutes * share), Math.round(fullAccounts * share));
}

function sizeLabel(share: number): string {
  return `${Math.round(fullRoutes * share)} routes, ${Math.round(fullAccounts * share)} accounts`;
}

function createHead(content: ConfigurationContent, revision: number): ConfigurationHead {
  const { references } = encodeConfiguration(content, sha256);
  const numbers = { revision, parent: revision - 1 } as Pick<
    ConfigurationHead,
    'revision' | 'parent'
  >;
  return { ...changeNote, ...numbers, preset: content.preset, created: '', chunks: references };
}

/** Bytes that one change costs a daemon, which receives it once and, on average, sends it once. */
function changeBytes(before: ConfigurationContent, after: ConfigurationContent): number {
  const existing = new Set(createHead(before, 1).chunks.map(({ digest }) => digest));
  const head = createHead(after, 2);
  const added = head.chunks.filter(({ digest }) => !existing.has(digest));
  const chunkBytes = added.reduce((sum, { size }) => sum + size, 0);
  return 2 * (chunkBytes + encodeHead(head, sha256).length);
}

function trafficRow(seeds: readonly number[]): Row {
  const figures = scales.map((share) => {
    const before = createScaledContent(share);
    const changeSizes = seeds.map((seed) => {
      const index = (seed * 997) % before.accounts.length;
      const changed = before.accounts.map((account, position) =>
        position === index ? { ...account, rate: 7 } : account,
      );
      return changeBytes(before, { ...before, accounts: changed });
    });
    const rates = changeSizes.map((bytes) => (bytes * changesPerDay) / secondsPerDay);
    return summarise(sizeLabel(share), rates);
  });
  return {
    measure: `distribution bytes per daemon, sent and received, ${changesPerDay} changes of an account a day`,
    unit: 'B/s',
    goal: `${byteBudgetPerSecond} B/s for all control`,
    isMet: (figures.at(-1)?.highest ?? Infinity) <= byteBudgetPerSecond,
    figures,
    seeds,
    notMeasured: 'headers of the calls; chunks that a slow peer sends twice',
  };
}

function usedMegabytes(): number {
  setFlagsFromString('--expose_gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return (heapUsed + arrayBuffers) / 2 ** 20;
}

/** Builds what a daemon keeps of a configuration: chunks, documents and the route table. */
function loadConfiguration(share: number): { state: ConfigurationState; table: RouteTable } {
  const content = createScaledContent(share);
  const { chunks } = encodeConfiguration(content, sha256);
  const state = new ConfigurationState(sha256);
  state.offer(createHead(content, 1), chunks);
  return { state, table: new RouteTable(state.current?.routes ?? []) };
}

/** Megabytes that a configuration takes up in a daemon. */
function measureMemory(share: number): number {
  const before = usedMegabytes();
  const loaded = loadConfiguration(share);
  const used = usedMegabytes() - before;
  if (loaded.state.revision !== 1) throw new Error('the revision is not in force');
  return used;
}

function memoryRow(seeds: readonly number[]): Row {
  const figures = scales.map((share) => {
    const name = sizeLabel(share);
    return summarise(
      name,
      seeds.map(() => measureMemory(share)),
    );
  });
  return {
    measure: 'memory of the configuration in one daemon',
    unit: 'MB',
    goal: `${memoryBudgetMegabytes} MB for all control`,
    isMet: (figures.at(-1)?.highest ?? Infinity) <= memoryBudgetMegabytes,
    figures,
    seeds,
    notMeasured: 'the peak while an old and a new revision are held',
  };
}

/** Cost of the configuration and time to apply a change, by number of daemons, routes and accounts. */
export const configuration: Scenario = {
  name: 'configuration',
  run: async (seeds) => [memoryRow(seeds), trafficRow(seeds), ...(await fleetRows(seeds))],
};
