import { readFile } from 'node:fs/promises';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Agent, request } from 'undici';
import { auction } from '../../demo/deployments.js';
import { LocalFleet, type LocalDaemon } from '../../demo/LocalFleet.js';
import type { Deployment } from '../../demo/Types.js';
import { quantile, summarise } from '../Statistics.js';
import type { Row, Scenario } from '../Types.js';

/** Share of one daemon in 160,000 requests/s over 730 daemons. */
const requestsPerSecond = 220;
const measuredSeconds = 4;
const warmUpRequests = 300;
const maxAddedLatencyMs = 5.1;
const saturationParallel = 32;
const saturationSeconds = 3;
/** Clock ticks per second in /proc/PID/stat on Linux. */
const ticksPerSecond = 100;

const smallDeployment: Deployment = {
  ...auction,
  dataCentres: auction.dataCentres.slice(0, 2),
  services: [{ name: 'catalogo', targets: 1, slots: 5, connections: 330, serviceTime: 1 }],
};

/** URL that reaches the target directly or through daemons. */
interface RequestPath {
  readonly name: string;
  readonly url: string;
}

async function measureOnce(agent: Agent, url: string): Promise<number> {
  const started = performance.now();
  const { body } = await request(url, { dispatcher: agent });
  await body.dump();
  return performance.now() - started;
}

/** Sends requests at a fixed rate and returns their latencies in milliseconds. */
async function measureRate(agent: Agent, url: string): Promise<number[]> {
  const pending: Promise<number>[] = [];
  const start = performance.now();
  for (let count = 0; count < requestsPerSecond * measuredSeconds; count += 1) {
    const due = start + (count * 1_000) / requestsPerSecond;
    const wait = due - performance.now();
    if (wait > 0) await delay(wait);
    pending.push(measureOnce(agent, url));
  }
  return Promise.all(pending);
}

/** Processor time in seconds that a daemon has used. */
async function processorTime(daemon: LocalDaemon): Promise<number> {
  const text = await readFile(`/proc/${daemon.process.id}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

/** Requests per second of processor time, at a daemon that is both entry and home. */
async function measureSaturation(agent: Agent, url: string, daemon: LocalDaemon): Promise<number> {
  const before = await processorTime(daemon);
  const end = performance.now() + saturationSeconds * 1_000;
  let count = 0;
  const worker = async (): Promise<void> => {
    while (performance.now() < end) {
      await measureOnce(agent, url);
      count += 1;
    }
  };
  await Promise.all(Array.from({ length: saturationParallel }, worker));
  return count / ((await processorTime(daemon)) - before);
}

async function startFleet(): Promise<LocalFleet> {
  const fleet = new LocalFleet(smallDeployment);
  await fleet.startDaemons();
  const file = fileURLToPath(
    new URL('../../../../examples/auction/configuration.ini', import.meta.url),
  );
  await fleet.runCommand('preset', 'write', file);
  await fleet.runCommand('service', 'change', 'catalogo', '--rate', '0 requests/s');
  await fleet.startTargets();
  await delay(6_000);
  return fleet;
}

function createRows(samples: ReadonlyMap<string, number[][]>, rates: readonly number[]): Row[] {
  const quantiles = [0.5, 0.99];
  const added = (name: string, share: number): number[] => {
    const direct = samples.get('direct') ?? [];
    return (samples.get(name) ?? []).map(
      (run, index) => quantile(run, share) - quantile(direct[index] ?? [], share),
    );
  };
  const rows = quantiles.map((share): Row => {
    const figures = ['one daemon', 'entry and home'].map((name) =>
      summarise(name, added(name, share)),
    );
    const direct = (samples.get('direct') ?? []).map((run) => quantile(run, share));
    const isGoal = share === 0.99;
    return {
      measure: `added latency p${share * 100} at ${requestsPerSecond} requests/s`,
      unit: 'ms',
      goal: isGoal ? `under ${maxAddedLatencyMs} ms` : '',
      isMet: isGoal ? figures.every(({ median }) => median < maxAddedLatencyMs) : undefined,
      figures: [...figures, summarise('direct call (total)', direct)],
      seeds: [],
      notMeasured: 'network between VMs; the load generator shares the machine',
    };
  });
  return [
    ...rows,
    {
      measure: 'requests for each second of processor time',
      unit: 'requests/s a core',
      goal: '',
      figures: [summarise('one daemon', rates)],
      seeds: [],
    },
  ];
}

/** Latency and processor time that daemon processes add on loopback. */
export const loopback: Scenario = {
  name: 'loopback',
  run: async (seeds) => {
    const fleet = await startFleet();
    const agent = new Agent({ connections: 64, keepAliveTimeout: 4_000 });
    try {
      const [target] = fleet.targets;
      const [homeDaemon, entryDaemon] = fleet.daemons;
      if (target === undefined || homeDaemon === undefined || entryDaemon === undefined)
        throw new Error('the fleet needs two daemons and a target');
      const path = '/lots/1?size=1000&work=1';
      const paths: RequestPath[] = [
        { name: 'direct', url: `http://${target.address}${path}` },
        { name: 'one daemon', url: `http://${homeDaemon.callers}${path}` },
        { name: 'entry and home', url: `http://${entryDaemon.callers}${path}` },
      ];
      const samples = new Map<string, number[][]>(paths.map(({ name }) => [name, []]));
      const rates: number[] = [];
      for (const { url } of paths) {
        for (let count = 0; count < warmUpRequests; count += 1) await measureOnce(agent, url);
      }
      for (let run = 0; run < seeds.length; run += 1) {
        for (const { name, url } of paths) {
          samples.get(name)?.push(await measureRate(agent, url));
        }
        rates.push(await measureSaturation(agent, paths[1]?.url ?? '', homeDaemon));
      }
      return createRows(samples, rates);
    } finally {
      await agent.destroy();
      await fleet.stop();
    }
  },
};
