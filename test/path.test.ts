import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { expect } from 'chai';
import { request } from 'undici';
import type { DaemonPorts } from '../src/daemon/Daemon.js';
import { createContent, TargetServer } from '../src/target/TargetServer.js';
import type { FaultSettings, TargetSettings } from '../src/target/Types.js';
import { Fleet, waitUntil } from './Fleet.js';
import { sendRaw, statusOf } from './RawHttp.js';

const targetSettings: TargetSettings = {
  id: 't1',
  service: 'lots',
  listen: '127.0.0.1:0',
  homes: [],
  slots: 5,
  connections: 10,
  serviceTime: 1,
  coldStart: 0,
  seed: 5,
};

async function announce(ports: DaemonPorts, targetPort: number, state = 'active'): Promise<void> {
  const response = await request(`http://127.0.0.1:${ports.admin}/.limpettrack/targets/t1`, {
    method: 'PUT',
    body: JSON.stringify({
      ...targetSettings,
      incarnation: '0a-1',
      address: `127.0.0.1:${targetPort}`,
      state,
    }),
  });
  await response.body.dump();
  expect(response.statusCode).to.equal(200);
}

async function setFault(port: number, fault: Partial<FaultSettings>): Promise<void> {
  const response = await request(`http://127.0.0.1:${port}/.fault`, {
    method: 'PUT',
    body: JSON.stringify(fault),
  });
  await response.body.dump();
}

async function countWork(port: number): Promise<number> {
  const { body } = await request(`http://127.0.0.1:${port}/.count`);
  return (await body.json()) as number;
}

/** Asks until the entry has learned of the target. */
function waitUntilServed(ports: DaemonPorts): Promise<void> {
  return waitUntil('the entry learns of the target', async () => {
    const { statusCode, body } = await request(`http://127.0.0.1:${ports.callers}/lots/x`, {
      method: 'HEAD',
    });
    await body.dump();
    return statusCode === 200;
  });
}

const placements = [
  { name: 'the entry is the home of the target', count: 1 },
  { name: 'the home of the target is a peer', count: 2 },
];

placements.forEach(({ name: placement, count }) =>
  describe(`path of a request, ${placement}`, () => {
    let fleet: Fleet;
    let ports: DaemonPorts;
    let home: DaemonPorts;
    let target: TargetServer;
    let targetPort: number;

    before(async () => {
      fleet = new Fleet();
      await fleet.start(count);
      ports = fleet.at(0).ports;
      home = fleet.at(-1).ports;
      target = new TargetServer(targetSettings, () => {});
      targetPort = await target.listen();
    });

    beforeEach(async () => {
      await setFault(targetPort, {});
      await announce(home, targetPort);
      await waitUntilServed(ports);
    });

    after(async () => {
      fleet.dispose();
      await target.close();
    });

    const urlOf = (path: string): string => `http://127.0.0.1:${ports.callers}${path}`;

    const sizes = [0, 1, 65_537, 5_000_000];
    sizes.forEach((size) => {
      it(`carries a body of ${size} bytes whole`, async () => {
        const response = await request(urlOf(`/lots/plan?size=${size}`));
        const body = Buffer.from(await response.body.arrayBuffer());
        expect(response.statusCode).to.equal(200);
        expect(body.equals(createContent('/lots/plan', size))).to.equal(true);
      });
    });

    const faults: { name: string; fault: Partial<FaultSettings> }[] = [
      { name: 'an answer that is cut', fault: { truncateShare: 1 } },
      { name: 'an answer that is lost', fault: { lostAnswerShare: 1 } },
      { name: 'an error', fault: { errorShare: 1 } },
    ];
    faults.forEach(({ name, fault }) => {
      it(`never passes ${name} as a whole answer`, async () => {
        await setFault(targetPort, fault);
        const isWhole = await request(urlOf('/lots/plan?size=400000'))
          .then(
            async ({ statusCode, body }) => {
              const { byteLength } = await body.arrayBuffer();
              return statusCode === 200 && byteLength > 0;
            },
            () => false,
          )
          .catch(() => false);
        expect(isWhole).to.equal(false);
      });
    });

    it('does not give a caller the answer to another request', async () => {
      await request(urlOf('/lots/first')).then(({ body }) => body.dump());
      await setFault(targetPort, { crossedShare: 1 });
      const response = await request(urlOf('/lots/second'));
      await response.body.dump();
      expect(response.statusCode).to.equal(502);
      expect(response.headers['limpettrack-outcome']).to.equal('unknown');
    });

    it('says not-run, and sends nothing, when no target takes work', async () => {
      await announce(home, targetPort, 'draining');
      const before = await countWork(targetPort);
      const response = await request(urlOf('/lots/bid'), { method: 'POST', body: 'x' });
      await response.body.dump();
      expect(response.statusCode).to.equal(503);
      expect(response.headers['limpettrack-outcome']).to.equal('not-run');
      expect(await countWork(targetPort)).to.equal(before);
    });

    const malformed = [
      {
        name: 'Content-Length with Transfer-Encoding',
        text: 'POST /lots/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        status: 400,
      },
      {
        name: 'two lengths',
        text: 'POST /lots/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc',
        status: 400,
      },
      { name: 'no host', text: 'GET /lots/x HTTP/1.1\r\n\r\n', status: 400 },
      { name: 'bad host', text: 'GET /lots/x HTTP/1.1\r\nHost: a/b\r\n\r\n', status: 400 },
      {
        name: 'two hosts',
        text: 'GET /lots/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n',
        status: 400,
      },
      { name: 'not HTTP', text: 'hello\r\n\r\n', status: 400 },
      {
        name: 'a header flood',
        text: `GET /lots/x HTTP/1.1\r\nHost: a\r\n${'x: y\r\n'.repeat(200)}\r\n`,
        status: 431,
      },
      {
        name: 'large headers',
        text: `GET /lots/x HTTP/1.1\r\nHost: a\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`,
        status: 431,
      },
      {
        name: 'a declared length over the limit',
        text: 'PUT /lots/x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n',
        status: 413,
      },
      {
        name: 'a tunnel',
        text: 'CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n',
        status: 405,
      },
      {
        name: 'an unknown transfer encoding with a body',
        text: 'POST /lots/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\nrest of it\r\n\r\n',
        status: 400,
      },
      {
        name: 'an unknown transfer encoding',
        text: 'POST /lots/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n',
        status: 400,
      },
    ];
    malformed.forEach(({ name, text, status }) => {
      it(`answers ${status} to ${name} and sends nothing to a target`, async () => {
        const before = await countWork(targetPort);
        const answer = await sendRaw(ports.callers, text);
        expect(statusOf(answer)).to.equal(status);
        expect(answer.match(/HTTP\/1\.1 \d/g), 'answers on the connection').to.have.length(1);
        expect(await countWork(targetPort)).to.equal(before);
      });
    });

    it('finishes a request in flight when it stops, and refuses new connections', async () => {
      const pending = request(urlOf('/lots/slow?size=1000&work=300'));
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
      const stopped = fleet.at(0).daemon.stop();
      const response = await pending;
      const body = await response.body.arrayBuffer();
      await stopped;
      expect(body.byteLength).to.equal(1_000);
      const refused = await request(urlOf('/lots/x')).then(
        () => false,
        () => true,
      );
      expect(refused).to.equal(true);
    });
  }),
);

describe('headers and cancellation', () => {
  let fleet: Fleet;
  let ports: DaemonPorts;
  let server: Server;
  let seen: NodeJS.Dict<string | string[]>;
  let closed: Promise<unknown>;

  beforeEach(async () => {
    fleet = new Fleet();
    await fleet.start(1);
    ports = fleet.at(0).ports;
    server = createServer((incoming, response) => {
      seen = incoming.headers;
      closed = once(response, 'close');
      if (incoming.url !== '/lots/hang') {
        response.writeHead(200, {
          'content-length': 2,
          connection: 'x-internal',
          'x-internal': '1',
        });
        response.end('ok');
      }
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const address = server.address();
    await announce(ports, typeof address === 'object' && address !== null ? address.port : 0);
  });

  afterEach(() => {
    fleet.dispose();
    server.closeAllConnections();
    server.close();
  });

  it('drops hop-by-hop headers both ways and sets Forwarded, Via and the deadline', async () => {
    const answer = await sendRaw(
      ports.callers,
      'GET /lots/x HTTP/1.1\r\nHost: shop\r\nConnection: close, x-secret\r\nx-secret: 1\r\nTE: trailers\r\nx-kept: 1\r\n\r\n',
    );
    expect(statusOf(answer)).to.equal(200);
    expect(answer).not.to.match(/x-internal/i);
    expect(seen).not.to.have.any.keys('x-secret', 'te');
    expect(seen['x-kept']).to.equal('1');
    expect(seen.forwarded).to.equal('for=127.0.0.1;host="shop";proto=http');
    expect(seen.via).to.equal('1.1 limpettrack');
    expect(Number(seen['limpettrack-timeout-ms'])).to.be.greaterThan(0);
  });

  it('passes the cancellation of a caller to the target, which would otherwise work for nobody', async () => {
    const abort = new AbortController();
    const pending = request(`http://127.0.0.1:${ports.callers}/lots/hang`, {
      signal: abort.signal,
    });
    const failed = pending.then(
      () => false,
      () => true,
    );
    await once(server, 'request');
    abort.abort();
    expect(await failed).to.equal(true);
    await closed;
  });
});
