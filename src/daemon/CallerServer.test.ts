import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { Readable } from 'node:stream';
import { expect } from 'chai';
import {
  brandAs,
  VirtualClock,
  type RequestId,
  type RouteDocument,
  type ServiceName,
} from '../api/index.js';
import { RouteTable } from '../common/routing/RouteTable.js';
import { MemoryLog } from '../testing/MemoryLog.js';
import { CallerServer } from './CallerServer.js';
import type { ForwardAnswer } from './Types.js';

const timeout = 5_000;
/** Step of the virtual clock while a test waits for the sockets. */
const clockStep = 100;

const route: RouteDocument = {
  name: 'lots',
  service: brandAs<ServiceName>('lots'),
  path: '/lots',
  workClass: 'interactive',
};

function createAnswer(): ForwardAnswer {
  const load = { queued: 0, running: 0, slots: 1, serviceTime: 0 };
  return { status: 200, headers: [['content-length', '4']], load, body: Readable.from(['sold']) };
}

/** Client connection that collects what it receives. */
class Connection {
  public received = '';

  public readonly closed: Promise<unknown>;

  private constructor(private readonly socket: Socket) {
    socket.on('data', (chunk) => {
      this.received += chunk.toString();
    });
    socket.on('error', () => {});
    this.closed = once(socket, 'close');
  }

  public static async open(port: number): Promise<Connection> {
    const socket = connect(port, '127.0.0.1');
    await once(socket, 'connect');
    return new Connection(socket);
  }

  public write(text: string): void {
    this.socket.write(text);
  }

  public async waitFor(text: string): Promise<void> {
    while (!this.received.includes(text)) await once(this.socket, 'data');
  }

  public dispose(): void {
    this.socket.destroy();
  }
}

describe('CallerServer', () => {
  let clock: VirtualClock;
  let server: CallerServer;
  let connection: Connection;
  let forward: () => Promise<ForwardAnswer>;
  let checkLimits: () => Promise<void>;

  beforeEach(async () => {
    clock = new VirtualClock();
    forward = () => Promise.resolve(createAnswer());
    checkLimits = () => Promise.resolve();
    server = new CallerServer({
      clock,
      log: new MemoryLog(),
      routes: () => new RouteTable([route]),
      forwarder: { forward: () => forward() },
      runOperation: () => forward(),
      internal: () => Promise.resolve(false),
      checkLimits: () => checkLimits(),
      checkQuarantine: () => {},
      timeoutOf: () => timeout,
      createId: () => brandAs<RequestId>('r1'),
      onFinished: () => {},
    });
    connection = await Connection.open(await server.listen('127.0.0.1:0'));
  });

  afterEach(() => {
    connection.dispose();
    server.dispose();
  });

  /** Advances the clock until the promise is settled; the sockets progress between the steps. */
  async function advanceUntil(promise: Promise<unknown>): Promise<void> {
    let isSettled = false;
    const settle = (): void => {
      isSettled = true;
    };
    promise.then(settle, settle);
    while (!isSettled) {
      clock.advance(clockStep);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  const incompleteHeads = [
    { name: 'nothing', text: '' },
    { name: 'a part of a head', text: 'GET /lots/1 HTTP/1.1\r\nHost: a' },
  ];
  incompleteHeads.forEach(({ name, text }) => {
    it(`completes a drain while a caller that has sent ${name} keeps its connection open`, async () => {
      connection.write(text);
      await advanceUntil(server.drain());
      await connection.closed;
    });
  });

  it('refuses a request whose body does not arrive within its timeout, so that it does not hold a drain', async () => {
    const started = new Promise<void>((resolve) => {
      checkLimits = () => Promise.resolve(resolve());
    });
    connection.write('POST /lots/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nfi');
    await started;
    await advanceUntil(server.drain());
    await connection.closed;
    expect(connection.received).to.match(/^HTTP\/1\.1 503 .*^limpettrack-outcome: not-run\r$/ims);
  });

  it('answers a request on a kept connection that arrives just after the drain began', async () => {
    connection.write('GET /lots/1 HTTP/1.1\r\nHost: a\r\n\r\n');
    await connection.waitFor('sold');
    const drained = server.drain();
    connection.write('GET /lots/2 HTTP/1.1\r\nHost: a\r\n\r\n');
    await connection.closed;
    expect(connection.received).to.match(/sold.*^connection: close\r\n.*sold$/ims);
    await advanceUntil(drained);
  });

  it('closes the connection with the answer to a request that was in flight when the stop was announced', async () => {
    let answer = (_answer: ForwardAnswer): void => {};
    const forwarded = new Promise<void>((resolve) => {
      forward = () =>
        new Promise((answered) => {
          answer = answered;
          resolve();
        });
    });
    connection.write('GET /lots/1 HTTP/1.1\r\nHost: a\r\n\r\n');
    await forwarded;
    server.announceStop();
    answer(createAnswer());
    await connection.waitFor('sold');
    expect(connection.received).to.match(/^connection: close\r$/im);
  });
});
