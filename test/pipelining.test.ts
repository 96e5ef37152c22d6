import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { PassThrough } from 'node:stream';
import { expect } from 'chai';
import {
  brandAs,
  createRandom,
  NotRunError,
  type Disposable,
  type RequestId,
  type ServiceName,
} from '../src/api/index.js';
import { RouteTable } from '../src/common/routing/RouteTable.js';
import { CallerServer as DaemonServer } from '../src/daemon/CallerServer.js';
import { SystemClock } from '../src/node/SystemClock.js';
import { CallerServer as SidecarServer } from '../src/sidecar/CallerServer.js';
import { TrafficState } from '../src/sidecar/TrafficState.js';
import { MemoryLog } from '../src/testing/MemoryLog.js';
import { waitUntil } from '../src/testing/waitUntil.js';

const host = 'shop.example';
const service = brandAs<ServiceName>('lots');
const timeout = 60_000;

/** A response with a body that is buffered or, for a large one, streamed. */
interface Reply {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: PassThrough;
}

/** A request that a server has started. */
interface Work {
  readonly path: string;
  readonly signal: AbortSignal;
  readonly resolve: (reply: Reply) => void;
  readonly reject: (error: Error) => void;
}

/** Server for callers of one composition, whose requests are answered by the test. */
interface Composition extends Disposable {
  listen(address: string): Promise<number>;
  announceStop(): void;
}

type StartWork = (path: string, signal: AbortSignal) => Promise<Reply>;

function createSidecar(start: StartWork): Composition {
  const log = new MemoryLog();
  const traffic = new TrafficState(log);
  const route = (name: string, isIdempotent: boolean) => ({
    name,
    host,
    path: `/${name}/`,
    isIdempotent,
    timeout,
    goal: 1_000,
    rank: 1,
    maxAttempts: 2,
    parts: [{ service, weight: 1 }],
  });
  traffic.apply({
    version: 1,
    routes: [route('lots', true), route('bids', false)],
    limits: traffic.limits,
  });
  const server = new SidecarServer({
    names: {
      requestId: 'id',
      timeout: 'timeout',
      expectedTarget: 'expected',
      callerService: 'caller',
      signature: 'signature',
      notRun: 'not-run',
      rateLimit: 'rate-limit',
      leaving: 'leaving',
    },
    service: 'lots',
    traffic,
    dispatcher: { dispatch: ({ path }, signal) => start(path, signal) },
    clock: new SystemClock(),
    random: createRandom(1),
    log,
    onEnd: () => {},
  });
  return {
    listen: (address) => server.listen(address),
    announceStop: () => server.disableKeepAlive(),
    dispose: () => server.dispose(),
  };
}

function createDaemon(start: StartWork): Composition {
  const load = { queued: 0, running: 0, slots: 1, serviceTime: 0 };
  const forward = async ({ path }: { readonly path: string }, signal: AbortSignal) => ({
    ...(await start(path, signal)),
    load,
  });
  const route = (name: string) => ({
    name,
    service,
    path: `/${name}`,
    workClass: 'interactive' as const,
  });
  return new DaemonServer({
    clock: new SystemClock(),
    log: new MemoryLog(),
    routes: () => new RouteTable([route('lots'), route('bids')]),
    forwarder: { forward },
    runOperation: forward,
    internal: () => Promise.resolve(false),
    checkLimits: () => Promise.resolve(),
    checkQuarantine: () => {},
    timeoutOf: () => timeout,
    createId: () => brandAs<RequestId>('r1'),
    onFinished: () => {},
  });
}

/** Caller that writes requests without waiting, and the requests that its server has started. */
class Fixture {
  public readonly started: Work[] = [];

  public isClosed = false;

  private received = '';

  private socket!: Socket;

  private port = 0;

  private readonly server: Composition;

  public constructor(create: (start: StartWork) => Composition) {
    this.server = create(
      (path, signal) =>
        new Promise((resolve, reject) => {
          this.started.push({ path, signal, resolve, reject });
        }),
    );
  }

  public async open(): Promise<void> {
    this.port = await this.server.listen('127.0.0.1:0');
    this.socket = connect(this.port, '127.0.0.1');
    this.socket.on('data', (chunk) => {
      this.received += chunk.toString();
    });
    this.socket.on('error', () => {});
    this.socket.once('close', () => {
      this.isClosed = true;
    });
    await once(this.socket, 'connect');
  }

  /** Sends requests in one packet: `lots` may run side by side, `bids` must run alone. */
  public send(...requests: string[]): void {
    this.socket.write(requests.join(''));
  }

  public leave(): void {
    this.socket.destroy();
  }

  public announceStop(): void {
    this.server.announceStop();
  }

  public dispose(): void {
    this.socket.destroy();
    this.server.dispose();
  }

  /** Paths of the started requests. */
  public get paths(): string {
    return this.started.map(({ path }) => path).join(' ');
  }

  public async waitForStarts(count: number): Promise<void> {
    await waitUntil(() => this.started.length >= count, `${count} requests have started`);
  }

  /** Answers a started request with its path as the body; returns the stream if the body is left open. */
  public answer(path: string, isOpen = false): PassThrough {
    const body = new PassThrough();
    if (isOpen) body.write(path.slice(0, 2));
    else body.end(path);
    this.find(path).resolve({ status: 200, headers: [['content-length', `${path.length}`]], body });
    return body;
  }

  public refuse(path: string): void {
    this.find(path).reject(new NotRunError('queue-full', 'full', { step: 'test' }));
  }

  public isAborted(path: string): boolean {
    return this.find(path).signal.aborted;
  }

  /** Status and body of each response so far; a body that is cut has the mark `...`. */
  public get responses(): readonly string[] {
    const found: string[] = [];
    for (let rest = this.received; rest !== '';) {
      const head = /^HTTP\/1\.1 (?<status>\d+)[^]*?\r\n\r\n/.exec(rest);
      if (head === null) return [...found, rest];
      const length = Number(/\r\ncontent-length: *(\d+)/i.exec(head[0])?.[1] ?? 0);
      const body = rest.slice(head[0].length, head[0].length + length);
      const isText = /^\//.test(body);
      const cut = body.length < length ? '...' : '';
      found.push(`${head.groups?.status}${isText ? ` ${body}${cut}` : ''}`);
      rest = rest.slice(head[0].length + length);
    }
    return found;
  }

  /** Waits for a number of responses and returns them. */
  public async waitForResponses(count: number): Promise<readonly string[]> {
    await waitUntil(() => this.responses.length >= count, `${count} responses have arrived`);
    return this.responses;
  }

  public async waitForClose(): Promise<void> {
    await waitUntil(() => this.isClosed, 'the connection is closed');
  }

  /** Lets the server read what was sent, by a request of another connection that it answers. */
  public async settle(): Promise<void> {
    const other = connect(this.port, '127.0.0.1');
    other.write(`GET /none HTTP/1.1\r\nhost: ${host}\r\n\r\n`);
    await once(other, 'data');
    other.destroy();
  }

  private find(path: string): Work {
    const found = this.started.find((work) => work.path === path);
    if (found === undefined) throw new Error(`${path} has not started; started: ${this.paths}`);
    return found;
  }
}

function get(path: string, extra = ''): string {
  return `GET ${path} HTTP/1.1\r\nhost: ${host}\r\n${extra}\r\n`;
}

function post(path: string, extra = ''): string {
  return `POST ${path} HTTP/1.1\r\nhost: ${host}\r\ncontent-length: 2\r\n${extra}\r\n`;
}

const compositions = [
  { name: 'the daemon beside a target', create: createSidecar },
  { name: 'the own composition', create: createDaemon },
];

compositions.forEach(({ name: composition, create }) => {
  describe(`pipelined requests at ${composition}`, () => {
    let fixture: Fixture;

    beforeEach(async () => {
      fixture = new Fixture(create);
      await fixture.open();
    });

    afterEach(() => fixture.dispose());

    const orders = [
      { name: 'the first is slow', order: ['/lots/3', '/lots/2', '/lots/1'] },
      { name: 'the first is fast', order: ['/lots/1', '/lots/2', '/lots/3'] },
      { name: 'the second is slow', order: ['/lots/3', '/lots/1', '/lots/2'] },
    ];
    orders.forEach(({ name, order }) => {
      it(`answers in the order of the requests if ${name}`, async () => {
        fixture.send(get('/lots/1'), get('/lots/2'), get('/lots/3'));
        await fixture.waitForStarts(3);
        order.forEach((path) => fixture.answer(path));
        expect(await fixture.waitForResponses(3)).to.deep.equal([
          '200 /lots/1',
          '200 /lots/2',
          '200 /lots/3',
        ]);
      });
    });

    it('answers each request itself if one between is refused and one has no route', async () => {
      fixture.send(get('/lots/1'), get('/lots/2'), get('/none/1'), get('/lots/3'));
      await fixture.waitForStarts(3);
      fixture.answer('/lots/3');
      fixture.refuse('/lots/2');
      fixture.answer('/lots/1');
      expect(await fixture.waitForResponses(4)).to.deep.equal([
        '200 /lots/1',
        '503',
        '404',
        '200 /lots/3',
      ]);
    });

    it('ends the connection at a response that is cut, and cancels the requests behind it', async () => {
      fixture.send(get('/lots/1'), get('/lots/2'), get('/lots/3'));
      await fixture.waitForStarts(3);
      fixture.answer('/lots/1');
      const body = fixture.answer('/lots/2', true);
      await fixture.waitForResponses(2);
      fixture.answer('/lots/3');
      body.destroy(new Error('cut'));
      await fixture.waitForClose();
      expect(fixture.responses).to.deep.equal(['200 /lots/1', '200 /l...']);
      await waitUntil(() => fixture.isAborted('/lots/3'), 'the request behind it is cancelled');
    });

    it('does not start a request that must run alone before the earlier ones are answered', async () => {
      fixture.send(get('/lots/1'), `${post('/bids/2')}ab`, get('/lots/3'));
      await fixture.waitForStarts(1);
      await fixture.settle();
      expect(fixture.paths).to.equal('/lots/1');
      fixture.answer('/lots/1');
      await fixture.waitForStarts(2);
      await fixture.settle();
      expect(fixture.paths).to.equal('/lots/1 /bids/2');
      fixture.answer('/bids/2');
      await fixture.waitForStarts(3);
      fixture.answer('/lots/3');
      expect(await fixture.waitForResponses(3)).to.deep.equal([
        '200 /lots/1',
        '200 /bids/2',
        '200 /lots/3',
      ]);
    });

    it('does not let one caller take more than a few slots at once', async () => {
      const paths = Array.from({ length: 40 }, (_, index) => `/lots/${index}`);
      fixture.send(...paths.map((path) => get(path)));
      await fixture.waitForStarts(4);
      await fixture.settle();
      expect(fixture.started).to.have.length(4);
      for (const [index, path] of paths.entries()) {
        await fixture.waitForStarts(index + 1);
        expect(fixture.started.length - index).to.be.at.most(4);
        fixture.answer(path);
        await fixture.waitForResponses(index + 1);
      }
      expect(fixture.responses).to.deep.equal(paths.map((path) => `200 ${path}`));
    });

    it('sends 100 Continue in the order of the responses', async () => {
      fixture.send(get('/lots/1'), post('/lots/2', 'expect: 100-continue\r\n'));
      await fixture.waitForStarts(1);
      await fixture.settle();
      expect(fixture.responses).to.deep.equal([]);
      fixture.answer('/lots/1');
      expect(await fixture.waitForResponses(2)).to.deep.equal(['200 /lots/1', '100']);
      fixture.send('ab');
      await fixture.waitForStarts(2);
      fixture.answer('/lots/2');
      const all = ['200 /lots/1', '100', '200 /lots/2'];
      expect(await fixture.waitForResponses(3)).to.deep.equal(all);
    });

    const offences = [
      { name: 'a request without a host', text: 'GET /lots/2 HTTP/1.1\r\n\r\n', status: '400' },
      { name: 'bytes that are no request', text: 'lots\r\n\r\nlots\r\n\r\n', status: '400' },
      { name: 'CONNECT', text: `CONNECT ${host} HTTP/1.1\r\nhost: ${host}\r\n\r\n`, status: '405' },
      {
        name: 'a length together with chunks',
        text: post('/lots/2', 'transfer-encoding: chunked\r\n'),
        status: '400',
      },
    ];
    offences.forEach(({ name, text, status }) => {
      it(`answers the requests before ${name}, then it, and nothing behind it`, async () => {
        fixture.send(get('/lots/1'), text, get('/lots/3'));
        await fixture.waitForStarts(1);
        await fixture.settle();
        expect(fixture.responses).to.deep.equal([]);
        fixture.answer('/lots/1');
        await fixture.waitForClose();
        expect(fixture.responses).to.deep.equal(['200 /lots/1', status]);
        expect(fixture.paths).to.equal('/lots/1');
      });
    });

    it('starts nothing behind a request that closes the connection', async () => {
      fixture.send(get('/lots/1', 'connection: close\r\n'), get('/lots/2'));
      await fixture.waitForStarts(1);
      await fixture.settle();
      fixture.answer('/lots/1');
      await fixture.waitForClose();
      expect(fixture.responses).to.deep.equal(['200 /lots/1']);
      expect(fixture.paths).to.equal('/lots/1');
    });

    it('answers all that was sent before a stop, then closes the connection', async () => {
      fixture.send(get('/lots/1'), get('/lots/2'));
      await fixture.waitForStarts(2);
      fixture.announceStop();
      fixture.send(get('/lots/3'), `${post('/bids/4')}ab`);
      await fixture.waitForStarts(3);
      ['/lots/2', '/lots/1', '/lots/3'].forEach((path) => fixture.answer(path));
      await fixture.waitForStarts(4);
      fixture.answer('/bids/4');
      await fixture.waitForClose();
      expect(fixture.responses).to.deep.equal([
        '200 /lots/1',
        '200 /lots/2',
        '200 /lots/3',
        '200 /bids/4',
      ]);
    });

    it('starts nothing that comes after a response with the close of a stop has begun', async () => {
      fixture.send(get('/lots/1'));
      await fixture.waitForStarts(1);
      fixture.announceStop();
      const body = fixture.answer('/lots/1', true);
      await fixture.waitForResponses(1);
      fixture.send(`${post('/bids/2')}ab`);
      await fixture.settle();
      body.end('/lots/1'.slice(2));
      await fixture.waitForClose();
      expect(fixture.responses).to.deep.equal(['200 /lots/1']);
      expect(fixture.paths).to.equal('/lots/1');
    });

    it('cancels all requests of a caller that leaves, and starts none that waited', async () => {
      const paths = Array.from({ length: 6 }, (_, index) => `/lots/${index}`);
      fixture.send(...paths.map((path) => get(path)));
      await fixture.waitForStarts(4);
      fixture.leave();
      const started = paths.slice(0, 4);
      await waitUntil(() => started.every((path) => fixture.isAborted(path)), 'all are cancelled');
      await fixture.settle();
      expect(fixture.paths).to.equal(started.join(' '));
    });
  });
});
