import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import { Agent, request } from 'undici';
import { LocalFleet, type LocalDaemon } from '../src/demo/LocalFleet.js';
import type { Deployment } from '../src/demo/Types.js';
import { waitUntil } from './Fleet.js';

const deployment: Deployment = {
  name: 'orders',
  title: 'three daemons with one service',
  dataCentres: ['gam-a', 'gam-b', 'gam-c'].map((name) => ({ name, region: 'gam' })),
  services: [{ name: 'orders', targets: 2, slots: 20, connections: 40, serviceTime: 5 }],
  kinds: [],
  faultyService: 'orders',
  peakPreset: 'ordinary',
};

const configuration = `
[service orders]
floor = 0 slots
max-queue = 1000 requests
timeout = 60 s
rate = 10000 requests/s
retry-share = 10 %
cross-region-rate = 30 Mbit/s
[route orders]
service = orders
path = /orders
class = critical
idempotent = no
[preset ordinary]
reason = test
`;

/** Longer than the owner's lease of 9 s, so that the lease expires and other daemons take over. */
const ownerPauseMs = 14_000;
const keyCount = 120;
/** HTTP agent with timeouts longer than the pause, so that requests stay open through it. */
const agent = new Agent({ headersTimeout: 90_000, bodyTimeout: 90_000, connections: keyCount });

/** Sends an order with an idempotency key and returns the reported outcome, or the status code if there is none. */
async function sendOrder(daemon: LocalDaemon, key: string, timeout: number): Promise<string> {
  const { statusCode, headers, body } = await request(`http://${daemon.callers}/orders?work=50`, {
    dispatcher: agent,
    method: 'POST',
    headers: { 'idempotency-key': key, 'limpettrack-timeout-ms': String(timeout) },
    body: key,
  });
  await body.dump();
  return String(headers['limpettrack-outcome'] ?? statusCode);
}

function countStarts(keys: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  keys.forEach((key) => counts.set(key, (counts.get(key) ?? 0) + 1));
  return counts;
}

describe('operations with idempotency keys across processes', () => {
  let fleet: LocalFleet;
  let directory: string;

  before(async function startFleet() {
    this.timeout(60_000);
    directory = await mkdtemp(join(tmpdir(), 'limpettrack-test-'));
    const file = join(directory, 'configuration.ini');
    await writeFile(file, configuration);
    fleet = new LocalFleet(deployment);
    await fleet.startDaemons();
    const writeResult = await fleet.runCommand('preset', 'write', file);
    expect(writeResult.code, writeResult.output).to.equal(0);
    const switchResult = await fleet.runCommand('preset', 'switch', 'ordinary');
    expect(switchResult.code, switchResult.output).to.equal(0);
    await fleet.startTargets();
  });

  after(async function stopFleet() {
    this.timeout(60_000);
    await agent.close();
    await fleet.stop();
    await rm(directory, { recursive: true, force: true });
  });

  it('run at most once when an owner is suspended until its lease expires and then resumes', async () => {
    const [owner, ...others] = fleet.daemons;
    if (owner === undefined) throw new Error('no daemon');
    let warmUp = 0;
    await waitUntil('every daemon runs orders', async () => {
      warmUp += 1;
      const outcomes = fleet.daemons.map((each) =>
        sendOrder(each, `warm-${warmUp}-${each.id}`, 2000),
      );
      return (await Promise.all(outcomes)).every((outcome) => outcome === 'done');
    });
    const keys = Array.from({ length: keyCount }, (_, index) => `order-${index}`);
    const first = keys.map((key) => sendOrder(owner, key, 60_000).catch(() => 'none'));
    // Suspends the owner while it writes intents, so that some are durable, some are lost and some are not sent.
    await delay(40);
    owner.process.signal('SIGSTOP');
    await delay(ownerPauseMs);
    const resent = await Promise.all(
      keys.map((key, index) => {
        const other = others[index % others.length] ?? owner;
        return sendOrder(other, key, 4000).catch(() => 'none');
      }),
    );
    owner.process.signal('SIGCONT');
    await Promise.all(first);
    const last = await Promise.all(keys.map((key) => sendOrder(owner, key, 4000)));
    const started = countStarts(await fleet.startedKeys());
    const duplicates = [...started].filter(([, count]) => count > 1);
    expect(duplicates).to.deep.equal([]);
    // Without a takeover and an outcome for each key the check above would prove nothing.
    expect(resent).to.include('done');
    expect(last.filter((outcome) => !['done', 'unknown'].includes(outcome))).to.deep.equal([]);
    keys.forEach((key, index) => {
      if (last[index] === 'done') expect(started.get(key), key).to.equal(1);
    });
  }).timeout(120_000);
});
