import { expect } from 'chai';
import { request } from 'undici';
import { TargetServer } from '../src/target/TargetServer.js';
import { Fleet, waitUntil } from './Fleet.js';

const targetIds = ['t1', 't2', 't3', 't4'];

/** Quarantine of requests that crash every target that runs them. */
describe('requests that crash targets', () => {
  let fleet: Fleet;
  let targets: TargetServer[];
  let crashes: string[];
  let base: string;
  const timers: NodeJS.Timeout[] = [];

  async function send(
    method: 'GET' | 'POST',
    path: string,
    crashesTarget = false,
  ): Promise<{ status: number; outcome: unknown; reason: unknown }> {
    const { statusCode, headers, body } = await request(`${base}${path}`, {
      method,
      headers: crashesTarget ? { 'limpettrack-crash': 'yes' } : {},
      body: method === 'POST' ? 'order' : null,
    });
    await body.dump();
    return {
      status: statusCode,
      outcome: headers['limpettrack-outcome'],
      reason: headers['limpettrack-reason'],
    };
  }

  async function startTarget(id: string, admin: number): Promise<TargetServer> {
    const settings = {
      id,
      service: 'lots',
      listen: '127.0.0.1:0',
      homes: [],
      slots: 5,
      connections: 10,
      serviceTime: 1,
      coldStart: 0,
      seed: 5,
    };
    const server: TargetServer = new TargetServer(settings, () => {
      crashes.push(id);
      server.kill();
    });
    const port = await server.listen();
    const announcement = {
      ...settings,
      incarnation: '0a-1',
      address: `127.0.0.1:${port}`,
      state: 'active',
    };
    const announce = async (): Promise<void> => {
      if (crashes.includes(id)) return;
      const { body } = await request(`http://127.0.0.1:${admin}/.limpettrack/targets/${id}`, {
        method: 'PUT',
        body: JSON.stringify(announcement),
      });
      await body.dump();
    };
    await announce();
    timers.push(
      setInterval(() => {
        announce().catch(() => {});
      }, 1_000),
    );
    return server;
  }

  beforeEach(async () => {
    crashes = [];
    fleet = new Fleet();
    await fleet.start(1);
    const { callers, admin } = fleet.member(0).ports;
    base = `http://127.0.0.1:${callers}`;
    targets = await Promise.all(targetIds.map((id) => startTarget(id, admin)));
    await waitUntil('targets serve', async () => (await send('GET', '/lots/x')).status === 200);
  });

  afterEach(async () => {
    timers.forEach((timer) => clearInterval(timer));
    fleet.dispose();
    await Promise.all(targets.map((target) => target.close()));
  });

  const cases = [
    { name: 'a write that its caller resends', method: 'POST', path: '/lots/bid' },
    { name: 'a read that the daemon retries', method: 'GET', path: '/lots/poison' },
  ] as const;
  cases.forEach(({ name, method, path }) => {
    it(`do not run on a third target: ${name}`, async () => {
      await waitUntil('two targets have crashed', async () => {
        await send(method, path, true);
        return crashes.length >= 2;
      });
      const refused = await send(method, path, true);
      expect(refused).to.deep.equal({ status: 403, outcome: 'not-run', reason: 'quarantined' });
      expect(crashes).to.have.length(2);
    });
  });

  it('do not quarantine a request that was only running at the time of a crash', async () => {
    const concurrentRequest = send('GET', '/lots/slow?work=300');
    await send('POST', '/lots/bid', true);
    await send('POST', '/lots/bid', true);
    await concurrentRequest;
    expect((await send('GET', '/lots/slow?work=300')).status).to.equal(200);
  });
});
