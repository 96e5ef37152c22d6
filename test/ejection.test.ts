import { expect } from 'chai';
import { request } from 'undici';
import { metricNames, transitionMessage } from '../src/common/ejection/StateCatalogue.js';
import { TargetServer } from '../src/target/TargetServer.js';
import { Fleet, waitUntil } from './Fleet.js';

const daemonCount = 4;
const renewalIntervalMs = 500;
const burstSize = 20;

async function call(
  url: string,
  method: 'GET' | 'PUT' | 'POST',
  content?: object,
): Promise<string> {
  const body = content === undefined ? undefined : JSON.stringify(content);
  const response = await request(url, { method, body });
  return response.body.text();
}

/** Four daemons with one target each; the first target fails every request. */
describe('ejection in running daemons', () => {
  const fleet = new Fleet();
  const targets: TargetServer[] = [];
  const timers: NodeJS.Timeout[] = [];

  const admin = (index: number) => `http://127.0.0.1:${fleet.member(index).ports.admin}`;

  const sendBurst = async () => {
    const url = `http://127.0.0.1:${fleet.member(1).ports.callers}/lots/x`;
    await Promise.all(Array.from({ length: burstSize }, () => call(url, 'GET')));
  };

  const hasState = (state: string) =>
    fleet
      .member(0)
      .lines.some(({ message, fields }) => message === transitionMessage && fields.to === state);

  before(async () => {
    await fleet.start(daemonCount);
    for (let index = 0; index < daemonCount; index += 1) {
      const settings = {
        id: `t${index}`,
        service: 'lots',
        listen: '127.0.0.1:0',
        homes: [],
        slots: 5,
        connections: 10,
        serviceTime: 1,
        coldStart: 0,
        seed: index,
      };
      const target = new TargetServer(settings, () => {});
      targets.push(target);
      const address = `127.0.0.1:${await target.listen()}`;
      const announcement = { ...settings, incarnation: '0a-1', address, state: 'active' };
      const announce = () =>
        call(`${admin(index)}/.limpettrack/targets/t${index}`, 'PUT', announcement);
      await announce();
      const renew = () => {
        // Renewals fail once the daemons have stopped.
        announce().catch(() => {});
      };
      timers.push(setInterval(renew, renewalIntervalMs));
      if (index === 0) await call(`http://${address}/.fault`, 'PUT', { errorShare: 1 });
    }
  });

  after(async () => {
    timers.forEach((timer) => clearInterval(timer));
    fleet.dispose();
    await Promise.all(targets.map((target) => target.close()));
  });

  it('ejects a failing target, reports it in the metrics and restores it on request', async () => {
    await waitUntil('the target is ejected', async () => {
      await sendBurst();
      return hasState('ejected');
    });
    expect(hasState('suspect')).to.equal(true);
    // If outcomes did not reach the ejection task, requests would seem to keep running and the cause would be slowness.
    const causes = fleet.member(0).lines.filter(({ fields }) => fields.to === 'ejected');
    expect(causes.map(({ fields }) => fields.evidence)).to.deep.equal(['errors']);
    const metrics = await call(`${admin(0)}/metrics`, 'GET');
    expect(metrics).to.match(new RegExp(`${metricNames.transitions}\\{.*to="ejected".*\\} 1`));
    const response = await call(`${admin(0)}/targets/restore?id=t0`, 'POST');
    expect(JSON.parse(response)).to.include({ isKnown: true });
    expect(hasState('trial')).to.equal(true);
    const others = fleet.members.slice(1).flatMap(({ lines }) => lines);
    const wrong = others.filter(({ fields }) => fields.to === 'ejected');
    expect(wrong, 'healthy targets ejected').to.deep.equal([]);
  });
});
