import { Agent, request as startRequest } from 'node:http';
import { once } from 'node:events';
import { connect } from 'node:net';
import { PassThrough } from 'node:stream';
import { text } from 'node:stream/consumers';
import { expect } from 'chai';
import { brandAs, createRandom, VirtualClock, type Clock, type ServiceName } from '../api/index.js';
import type { IncomingCall, TargetAnswer } from '../common/dispatch/Types.js';
import { SystemClock } from '../node/SystemClock.js';
import { MemoryLog } from '../testing/MemoryLog.js';
import { waitUntil } from '../testing/waitUntil.js';
import { CallerServer } from './CallerServer.js';
import { TrafficState } from './TrafficState.js';

const host = 'shop.example';
/** Timeout of the route in milliseconds. */
const timeout = 10_000;
const names = {
  requestId: 'id',
  timeout: 'timeout',
  expectedTarget: 'expected',
  callerService: 'caller',
  signature: 'signature',
  notRun: 'not-run',
  rateLimit: 'rate-limit',
  leaving: 'leaving',
};

/** Server for callers whose dispatcher answers as the test says. */
class Fixture {
  public readonly log = new MemoryLog();

  public readonly server: CallerServer;

  private readonly arrivals: (() => void)[] = [];

  private port = 0;

  public constructor(
    dispatch: (call: IncomingCall) => Promise<TargetAnswer>,
    clock: Clock = new SystemClock(),
  ) {
    const traffic = new TrafficState(this.log);
    traffic.apply({
      version: 1,
      routes: [
        {
          name: 'lots',
          host,
          path: '/lots/',
          isIdempotent: true,
          timeout,
          goal: 1_000,
          rank: 1,
          maxAttempts: 2,
          parts: [{ service: brandAs<ServiceName>('lots'), weight: 1 }],
        },
      ],
      limits: traffic.limits,
    });
    this.server = new CallerServer({
      names,
      service: 'lots',
      traffic,
      dispatcher: {
        dispatch: (call) => {
          this.arrivals.shift()?.();
          return dispatch(call);
        },
      },
      clock,
      random: createRandom(1),
      log: this.log,
      onEnd: () => {},
    });
  }

  /** Listens on a free loopback port and returns it. */
  public async listen(): Promise<number> {
    this.port = await this.server.listen('127.0.0.1:0');
    return this.port;
  }

  /** Resolves when the next request reaches the dispatcher. */
  public arrival(): Promise<void> {
    return new Promise((resolve) => {
      this.arrivals.push(resolve);
    });
  }

  /** Sends a request; resolves to its body, or to how it ended without one. */
  public send(id: string, agent: Agent | false = false, path = '/lots/1'): Promise<string> {
    return new Promise((resolve) => {
      const headers = { host, id };
      const options = {
        agent,
        host: '127.0.0.1',
        port: this.port,
        path,
        headers,
      };
      const request = startRequest(options, (response) => {
        text(response).then(resolve, () => resolve('truncated'));
      });
      request.on('error', () => resolve('no response'));
      request.end();
    });
  }
}

describe('CallerServer', () => {
  it('logs each request whose connection it closes without a complete response, with id and phase', async () => {
    const fixture = new Fixture(() => new Promise(() => {}));
    await fixture.listen();
    const arrived = fixture.arrival();
    const result = fixture.send('r-1');
    await arrived;
    fixture.server.dispose();
    expect(await result).to.equal('no response');
    const [line] = fixture.log.lines.filter(({ level }) => level === 'error');
    expect(line?.fields).to.include({ request: 'r-1', route: 'lots', phase: 'dispatch' });
  });

  it('keeps running when a caller resets its connection after CONNECT', async () => {
    const fixture = new Fixture(() => new Promise(() => {}));
    const socket = connect(await fixture.listen(), '127.0.0.1');
    socket.on('error', () => {});
    const arrived = fixture.arrival();
    socket.write(`GET /lots/1 HTTP/1.1\r\nhost: ${host}\r\nid: r-1\r\n\r\n`);
    await arrived;
    socket.write('CONNECT a.example:443 HTTP/1.1\r\nhost: a.example:443\r\n\r\n');
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    socket.resetAndDestroy();
    // An error without a listener would end this process too.
    await waitUntil(() => fixture.server.load === 0, 'the connection is closed');
    fixture.server.dispose();
  });

  it('refuses a request that comes on an unused connection after the server stopped accepting', async () => {
    const fixture = new Fixture(() => new Promise(() => {}));
    const socket = connect(await fixture.listen(), '127.0.0.1');
    await once(socket, 'connect');
    // A response shows that the server has accepted the connections before it.
    await fixture.send('none', false, '/none/');
    fixture.server.drain();
    const received = text(socket);
    socket.write(`GET /lots/1 HTTP/1.1\r\nhost: ${host}\r\nid: r-1\r\n\r\n`);
    expect(await received).to.match(/^HTTP\/1.1 503 [^]*connection: close/i);
    fixture.server.dispose();
  });

  const late: readonly {
    readonly name: string;
    readonly before: string;
    readonly after: string;
  }[] = [
    {
      name: 'whose body ends',
      before: `POST /lots/1 HTTP/1.1\r\nhost: ${host}\r\nid: r-1\r\ncontent-length: 4\r\n\r\nlo`,
      after: 'ts',
    },
    {
      name: 'in chunks whose last one comes',
      before: `POST /lots/1 HTTP/1.1\r\nhost: ${host}\r\nid: r-1\r\ntransfer-encoding: chunked\r\n\r\n4\r\nlots\r\n`,
      after: '0\r\n\r\n',
    },
  ];
  late.forEach(({ name, before, after }) => {
    it(`refuses a request ${name} after the server stopped accepting, so that it is not passed on and then cut`, async () => {
      let dispatched = 0;
      const fixture = new Fixture(() => {
        dispatched += 1;
        return new Promise(() => {});
      });
      const socket = connect(await fixture.listen(), '127.0.0.1');
      await once(socket, 'connect');
      socket.write(before);
      // A response shows that the server has read what was sent before it.
      await fixture.send('none', false, '/none/');
      fixture.server.drain();
      const received = text(socket);
      socket.write(after);
      expect(await received).to.match(/^HTTP\/1.1 503 [^]*connection: close[^]*draining/i);
      expect(dispatched).to.equal(0);
      fixture.server.dispose();
    });
  });

  it('ends a response whose home is lost while it is streamed at the timeout of the route', async () => {
    const clock = new VirtualClock();
    const body = new PassThrough();
    body.write(Buffer.alloc(4_096));
    const fixture = new Fixture(async () => ({ status: 200, headers: [], body }), clock);
    const socket = connect(await fixture.listen(), '127.0.0.1');
    socket.on('error', () => {});
    let received = '';
    let isClosed = false;
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
    });
    socket.on('close', () => {
      isClosed = true;
    });
    socket.write(`GET /lots/1 HTTP/1.1\r\nhost: ${host}\r\nid: r-1\r\n\r\n`);
    await waitUntil(() => received.includes('200 OK'), 'the response begins');
    await clock.advanceAsync(timeout - 1);
    expect(body.destroyed).to.equal(false);
    await clock.advanceAsync(1);
    await waitUntil(() => isClosed, 'the connection is closed');
    // Chunked encoding ends with an empty chunk, without which the response is incomplete.
    expect(received.endsWith('0\r\n\r\n')).to.equal(false);
    fixture.server.dispose();
  });

  const partialBodies = [
    { name: 'of which nothing came', headers: 'content-length: 4', part: '' },
    { name: 'of which half came', headers: 'content-length: 4', part: 'lo' },
    {
      name: 'whose last chunk is missing',
      headers: 'transfer-encoding: chunked',
      part: '1\r\nl\r\n',
    },
  ];
  partialBodies.forEach(({ name, headers, part }) => {
    it(`refuses a request with a body ${name} at the timeout of the route`, async () => {
      const clock = new VirtualClock();
      const fixture = new Fixture(() => Promise.reject(new Error('dispatched')), clock);
      const socket = connect(await fixture.listen(), '127.0.0.1');
      const received = text(socket);
      socket.write(
        `POST /lots/1 HTTP/1.1\r\nhost: ${host}\r\nid: r-1\r\n${headers}\r\n\r\n${part}`,
      );
      await waitUntil(() => fixture.server.load === 1, 'the server has the head');
      // The timer of the body starts after the head.
      await clock.advanceAsync(timeout);
      expect(await received).to.match(/^HTTP\/1.1 503 [^]*connection: close[^]*deadline/i);
      fixture.server.dispose();
    });
  });

  it('closes the connection after a response that was pending at the stop, so that no next request crosses the close', async () => {
    let respond = (): void => {};
    const fixture = new Fixture(
      () =>
        new Promise((resolve) => {
          respond = () => resolve({ status: 200, headers: [], body: Buffer.from('good') });
        }),
    );
    await fixture.listen();
    const agent = new Agent({ keepAlive: true });
    const arrived = fixture.arrival();
    const result = fixture.send('r-1', agent);
    await arrived;
    fixture.server.disableKeepAlive();
    respond();
    expect(await result).to.equal('good');
    expect(Object.keys(agent.freeSockets)).to.have.length(0);
    fixture.server.dispose();
  });

  it('logs no unanswered request after a complete response', async () => {
    const fixture = new Fixture(async () => ({
      status: 200,
      headers: [],
      body: Buffer.from('good'),
    }));
    await fixture.listen();
    expect(await fixture.send('r-1')).to.equal('good');
    fixture.server.dispose();
    expect(fixture.log.lines.filter(({ level }) => level === 'error')).to.have.length(0);
  });
});
