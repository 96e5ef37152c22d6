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

  private constructor(private readonly socket: Socket) {
    socket.on('data', (chunk) => {
      this.received += chunk.toString();
    });
    socket.on('error', () => {});
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
  let server: CallerServer;
  let connection: Connection;
  let forward: () => Promise<ForwardAnswer>;

  beforeEach(async () => {
    forward = () => Promise.resolve(createAnswer());
    server = new CallerServer({
      clock: new VirtualClock(),
      log: new MemoryLog(),
      routes: () => new RouteTable([route]),
      forwarder: { forward: () => forward() },
      runOperation: () => forward(),
      internal: () => Promise.resolve(false),
      checkLimits: () => Promise.resolve(),
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
