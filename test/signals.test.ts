import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, type Server, type ServerResponse } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { request } from 'undici';
import { binaryPath, ChildProcess } from '../src/demo/ChildProcess.js';
import { LocalFleet, type LocalDaemon } from '../src/demo/LocalFleet.js';
import type { Deployment } from '../src/demo/Types.js';
import { listen } from '../src/node/listen.js';
import { waitUntil } from './Fleet.js';

const deployment: Deployment = {
  name: 'lots',
  title: 'one daemon with one service',
  dataCentres: [{ name: 'gam-a', region: 'gam' }],
  services: [],
  kinds: [],
  faultyService: 'lots',
  peakPreset: 'ordinary',
};

const configuration = `
[service lots]
floor = 0 slots
max-queue = 100 requests
timeout = 60 s
rate = 10000 requests/s
retry-share = 0 %
cross-region-rate = 30 Mbit/s
[route lots]
service = lots
path = /lots
class = interactive
[preset ordinary]
reason = test
`;

describe('signals during the shutdown of a daemon', () => {
  let fleet: LocalFleet;
  let daemon: LocalDaemon;
  let directory: string;
  let target: Server;
  let held: ServerResponse | undefined;

  async function announce(address: string): Promise<void> {
    const { body } = await request(`http://${daemon.admin}/.limpettrack/targets/t1`, {
      method: 'PUT',
      body: JSON.stringify({
        id: 't1',
        incarnation: '0a-1',
        service: 'lots',
        address,
        slots: 5,
        connections: 10,
        state: 'active',
      }),
    });
    await body.dump();
  }

  async function sendRequest(path: string): Promise<string> {
    const { statusCode, body } = await request(`http://${daemon.callers}${path}`);
    return `${statusCode} ${await body.text()}`;
  }

  beforeEach(async () => {
    held = undefined;
    target = createServer((incoming, response) => {
      if (incoming.url === '/lots/held') held = response;
      else response.end('ok');
    });
    const address = `127.0.0.1:${await listen(target, '127.0.0.1:0')}`;
    fleet = new LocalFleet(deployment);
    await fleet.startDaemons();
    daemon = fleet.daemons[0] as LocalDaemon;
    directory = await mkdtemp(join(tmpdir(), 'limpettrack-test-'));
    const file = join(directory, 'configuration.ini');
    await writeFile(file, configuration);
    await fleet.runCommand('preset', 'write', file);
    await fleet.runCommand('preset', 'switch', 'ordinary');
    await waitUntil('a request is served', async () => {
      await announce(address);
      return (await sendRequest('/lots/probe')) === '200 ok';
    });
  });

  afterEach(async () => {
    target.closeAllConnections();
    target.close();
    await fleet.stop();
    await rm(directory, { recursive: true, force: true });
  });

  const cases: readonly (readonly [NodeJS.Signals, NodeJS.Signals])[] = [
    ['SIGTERM', 'SIGTERM'],
    ['SIGINT', 'SIGINT'],
    ['SIGTERM', 'SIGHUP'],
  ];
  cases.forEach(([first, second]) => {
    it(`answers the request in flight when ${second} follows ${first}`, async () => {
      const reply = sendRequest('/lots/held').catch(String);
      await waitUntil('the target has the request', () => held !== undefined);
      daemon.process.signal(first);
      await daemon.process.waitFor(/"message":"stopping"/);
      daemon.process.signal(second);
      held?.end('sold');
      expect(await reply).to.equal('200 sold');
      expect(await daemon.process.wait()).to.equal(0);
    });
  });
});

describe('signals during the shutdown of a target', () => {
  it('answers the request in flight when further signals follow the first, as on Ctrl-C in the demo', async () => {
    const target = new ChildProcess('t1', binaryPath('target'), [
      '--id',
      't1',
      '--service',
      'lots',
    ]);
    try {
      const [, address = ''] = await target.waitFor(/"address":"([^"]+)"/);
      const reply = request(`http://${address}/lots/1?size=4&work=1000`)
        .then(async ({ statusCode, body }) => `${statusCode} ${await body.text()}`)
        .catch(String);
      const count = async (): Promise<unknown> =>
        (await request(`http://${address}/.count`)).body.json();
      await waitUntil('the target has the request', async () => (await count()) === 1);
      const signals: readonly NodeJS.Signals[] = ['SIGINT', 'SIGINT', 'SIGTERM'];
      for (const signal of signals) {
        target.signal(signal);
        // Its answer comes after the handlers of the signal.
        await count().catch(String);
      }
      expect(await reply).to.equal('200 /lot');
      expect(await target.wait()).to.equal(0);
    } finally {
      target.dispose();
    }
  });
});
