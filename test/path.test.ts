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

async function countRequests(port: number): Promise<number> {
  const { body } = await request(`http://127.0.0.1:${port}/.count`);
  return (await body.json()) as number;
}

/** Sends requests until the entry knows the target and gets a response from it. */
function waitUntilServed(ports: DaemonPorts): Promise<void> {
  return waitUntil('the entry knows the target', async () => {
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
  describe(`request path when ${placement}`, () => {
    let fleet: Fleet;
    let ports: DaemonPorts;
    let home: DaemonPorts;
    let target: TargetServer;
    let targetPort: number;

    before(async () => {
      fleet = new Fleet();
      await fleet.start(count);
      ports = fleet.member(0).ports;
      home = fleet.member(-1).ports;
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
      it(`transfers a response body of ${size} bytes unchanged`, async () => {
        const response = await request(urlOf(`/lots/plan?size=${size}`));
        const body = Buffer.from(await response.body.arrayBuffer());
        expect(response.statusCode).to.equal(200);
        expect(body.equals(createContent('/lots/plan', size))).to.equal(true);
      });
    });

    const faults: { name: string; fault: Partial<FaultSettings> }[] = [
      { name: 'a truncated response', fault: { truncateShare: 1 } },
      { name: 'a lost response', fault: { lostAnswerShare: 1 } },
      { name: 'an error response', fault: { errorShare: 1 } },
    ];
    faults.forEach(({ name, fault }) => {
      it(`never forwards ${name} as a complete successful response`, async () => {
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

    it('does not forward the response to another request', async () => {
      await request(urlOf('/lots/first')).then(({ body }) => body.dump());
      await setFault(targetPort, { crossedShare: 1 });
      const response = await request(urlOf('/lots/second'));
      await response.body.dump();
      expect(response.statusCode).to.equal(502);
      expect(response.headers['limpettrack-outcome']).to.equal('unknown');
    });

    it('reports not-run and sends nothing when no target accepts requests', async () => {
      await announce(home, targetPort, 'draining');
      const before = await countRequests(targetPort);
      const response = await request(urlOf('/lots/bid'), { method: 'POST', body: 'x' });
      await response.body.dump();
      expect(response.statusCode).to.equal(503);
      expect(response.headers['limpettrack-outcome']).to.equal('not-run');
      expect(await countRequests(targetPort)).to.equal(before);
    });

    const malformed = [
      {
        name: 'Content-Length with Transfer-Encoding',
        text: 'POST /lots/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        status: 400,
      },
      {
        name: 'two Content-Length headers',
        text: 'POST /lots/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc',
        status: 400,
      },
      { name: 'a missing Host header', text: 'GET /lots/x HTTP/1.1\r\n\r\n', status: 400 },
      {
        name: 'an invalid Host header',
        text: 'GET /lots/x HTTP/1.1\r\nHost: a/b\r\n\r\n',
        status: 400,
      },
      {
        name: 'two Host headers',
        text: 'GET /lots/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n',
        status: 400,
      },
      { name: 'a request that is not HTTP', text: 'hello\r\n\r\n', status: 400 },
      {
        name: 'too many headers',
        text: `GET /lots/x HTTP/1.1\r\nHost: a\r\n${'x: y\r\n'.repeat(200)}\r\n`,
        status: 431,
      },
      {
        name: 'headers over the size limit',
        text: `GET /lots/x HTTP/1.1\r\nHost: a\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`,
        status: 431,
      },
      {
        name: 'a Content-Length over the limit',
        text: 'PUT /lots/x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n',
        status: 413,
      },
      {
        name: 'a CONNECT request',
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
      it(`responds with ${status} to ${name} and sends nothing to a target`, async () => {
        const before = await countRequests(targetPort);
        const response = await sendRaw(ports.callers, text);
        expect(statusOf(response)).to.equal(status);
        expect(response.match(/HTTP\/1\.1 \d/g), 'responses on the connection').to.have.length(1);
        expect(await countRequests(targetPort)).to.equal(before);
      });
    });

    it('completes in-flight requests on shutdown and refuses new connections', async () => {
      const pending = request(urlOf('/lots/slow?size=1000&work=300'));
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
      const stopped = fleet.member(0).daemon.stop();
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
  let receivedHeaders: NodeJS.Dict<string | string[]>;
  let closed: Promise<unknown>;

  beforeEach(async () => {
    fleet = new Fleet();
    await fleet.start(1);
    ports = fleet.member(0).ports;
    server = createServer((incoming, response) => {
      // The daemon also probes the health of the target.
      if (incoming.url?.startsWith('/lots/') === true) receivedHeaders = incoming.headers;
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
    const response = await sendRaw(
      ports.callers,
      'GET /lots/x HTTP/1.1\r\nHost: shop\r\nConnection: close, x-secret\r\nx-secret: 1\r\nTE: trailers\r\nx-kept: 1\r\n\r\n',
    );
    expect(statusOf(response)).to.equal(200);
    expect(response).not.to.match(/x-internal/i);
    expect(receivedHeaders).not.to.have.any.keys('x-secret', 'te');
    expect(receivedHeaders['x-kept']).to.equal('1');
    expect(receivedHeaders.forwarded).to.equal('for=127.0.0.1;host="shop";proto=http');
    expect(receivedHeaders.via).to.equal('1.1 limpettrack');
    expect(Number(receivedHeaders['limpettrack-timeout-ms'])).to.be.greaterThan(0);
  });

  it('forwards the cancellation by a caller to the target, so that it does not run an abandoned request', async () => {
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
