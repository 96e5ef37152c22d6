import { connect, type Socket } from 'node:net';
import { expect } from 'chai';
import {
  brandAs,
  VirtualClock,
  type DaemonId,
  type DataCentre,
  type Incarnation,
  type Region,
  type ServiceName,
  type TargetId,
} from '../api/index.js';
import { MemoryLog } from '../testing/MemoryLog.js';
import { RawTarget } from '../testing/RawTarget.js';
import { waitUntil } from '../testing/waitUntil.js';
import { Home } from './Home.js';
import { HomeServer } from './HomeServer.js';
import { PeerCodecs } from './peer/peerCodecs.js';
import type { HeaderNames } from './Types.js';

const names: HeaderNames = {
  requestId: 'id',
  timeout: 'timeout',
  expectedTarget: 'expected',
  callerService: 'caller',
  signature: 'signature',
  notRun: 'not-run',
  rateLimit: 'rate-limit',
  leaving: 'leaving',
};
const service = brandAs<ServiceName>('pujas');
/** Milliseconds of the home's clock; longer than a test may take, so that no timer of real time ends the wait. */
const timeout = 120_000;
/** Milliseconds without a byte after which the home must run other requests again, far below `timeout`. */
const maxSilence = 4_000;
/** Milliseconds after which other requests must get the slot of one whose body does not arrive. */
const maxIdleSlot = 500;
/** Milliseconds for which an entry that still answers is heard. */
const trickleInterval = 1_500;
/** Bytes that do not fit into the buffers of a connection. */
const largeBody = 32 * 1024 * 1024;

/** Head of a forwarded request; the entry sends the body of one that expects it after `100 Continue`. */
function head(id: string, headers: string): string {
  const metadata = `t-1,1000,${timeout},0,0,1,2000,1,x,bid`;
  return `POST /bids HTTP/1.1\r\nhost: h\r\nid: ${id}\r\nlt: ${metadata}\r\n${headers}\r\n`;
}

const expecting = 'expect: 100-continue\r\ntransfer-encoding: chunked\r\n';

/** A connection of an entry. */
class Entry {
  public received = '';

  public isClosed = false;

  private readonly socket: Socket;

  public constructor(port: number) {
    this.socket = connect(port, '127.0.0.1');
    this.socket.on('error', () => {});
    this.socket.on('data', (chunk: Buffer) => {
      this.received += chunk.toString('latin1');
    });
    this.socket.on('close', () => {
      this.isClosed = true;
    });
  }

  public send(text: string): void {
    this.socket.write(text);
  }

  /** Stops reading. */
  public pause(): void {
    this.socket.pause();
  }

  public async waitFor(text: string): Promise<void> {
    await waitUntil(() => this.received.includes(text), `the entry receives ${text}`);
  }

  public dispose(): void {
    this.socket.destroy();
  }
}

describe('silent connections of entries', () => {
  let clock: VirtualClock;
  let target: RawTarget;
  let home: Home;
  let server: HomeServer;
  let port: number;
  let entries: Entry[];
  let responseSize: number;
  /** Parts of bodies that the home has received. */
  let parts: number;

  const open = (): Entry => {
    const entry = new Entry(port);
    entries.push(entry);
    return entry;
  };

  beforeEach(async () => {
    clock = new VirtualClock();
    entries = [];
    responseSize = 4;
    parts = 0;
    target = new RawTarget((socket, request) => {
      const id = request.header('id');
      const fields = `id: ${id}\r\nsignature: s\r\ncontent-length: ${responseSize}`;
      socket.write(`HTTP/1.1 200 OK\r\n${fields}\r\n\r\n${'x'.repeat(responseSize)}`);
    });
    const address = await target.listen();
    const log = new MemoryLog();
    home = new Home({
      address,
      service,
      names,
      clock,
      log,
      retryLimits: () => ({ ratio: 0.2, slack: 2, window: 10 }),
      countTargets: () => 1,
      mayExclude: () => false,
      checkStart: () => {},
    });
    home.acceptAnnouncement({
      id: brandAs<TargetId>('t-1'),
      startedAt: 1_000,
      sequence: 1,
      service,
      address,
      slots: 1,
      state: 'ready',
      warmUp: 0,
    });
    server = new HomeServer({
      clock,
      home: {
        run: (request, receiveBody, signal) => {
          const countParts = (onProgress: () => void): Promise<Buffer> =>
            receiveBody(() => {
              parts += 1;
              onProgress();
            });
          return home.run(request, countParts, signal);
        },
      },
      codecs: new PeerCodecs('id'),
      version: () => 1,
      record: () => ({
        daemon: brandAs<DaemonId>('d-1'),
        incarnation: brandAs<Incarnation>('1'),
        serial: 1,
        address,
        region: brandAs<Region>('gam'),
        dataCentre: brandAs<DataCentre>('gam-a'),
        state: 'serving',
        targets: home.publishedTargets,
      }),
      conditions: () => [],
      onConditions: () => {},
      onVersion: () => {},
      log,
    });
    port = await server.listen('127.0.0.1:0');
  });

  afterEach(() => {
    entries.forEach((entry) => entry.dispose());
    server.dispose();
    home.dispose();
    target.dispose();
  });

  const waitForParts = (count: number): Promise<void> =>
    waitUntil(() => parts === count, `the home receives ${count} parts`);

  const runningCount = (): number | undefined => home.conditions[0]?.[1].running;

  const expectNextRequestToRun = async (): Promise<void> => {
    responseSize = 4;
    await waitUntil(() => runningCount() === 0, 'the slot is free');
    const next = open();
    next.send(head('next', expecting));
    await next.waitFor('100 Continue');
    next.send('3\r\nbid\r\n0\r\n\r\n');
    await next.waitFor('xxxx');
  };

  const bodies = [
    { name: 'before the body', part: '' },
    { name: 'within a chunk', part: '100\r\nhalf' },
    { name: 'between two chunks', part: '3\r\nbid\r\n' },
    { name: 'within the end of a small body', part: '3\r\nbid\r\n0\r\n' },
  ];
  bodies.forEach(({ name, part }) => {
    it(`runs further requests after a connection went silent ${name}, and never that one`, async () => {
      const entry = open();
      entry.send(head('silent', expecting));
      await entry.waitFor('100 Continue');
      entry.send(part);
      await clock.advanceAsync(maxSilence);
      await expectNextRequestToRun();
      entry.send(`${' '.repeat(200)}\r\n0\r\n\r\n`);
      await waitUntil(() => entry.isClosed, 'the silent connection is closed');
      expect(entry.received).to.match(/HTTP\/1.1 503 .*\r\nlt: 1,deadline/s);
      expect(target.requests.map(({ header }) => header('id'))).to.deep.equal(['next']);
    });
  });

  [1, 3].forEach((count) => {
    it(`guards against an idle target while the bodies of ${count} requests do not arrive`, async () => {
      const late = Array.from({ length: count }, open);
      for (const [index, entry] of late.entries()) {
        entry.send(head(`late-${index}`, expecting));
        await entry.waitFor('100 Continue');
        await clock.advanceAsync(maxIdleSlot);
      }
      await expectNextRequestToRun();
      late.forEach((entry) => entry.send('3\r\nbid\r\n0\r\n\r\n'));
      await Promise.all(late.map((entry) => entry.waitFor('xxxx')));
      const ids = target.requests.map(({ header }) => header('id'));
      expect(ids).to.have.members(['next', ...late.map((_, index) => `late-${index}`)]);
      expect(ids[0]).to.equal('next');
    });
  });

  it('waits for a body that arrives slowly, until the timeout of its request', async () => {
    const entry = open();
    entry.send(head('slow', `content-length: ${timeout}\r\n`));
    await waitUntil(() => runningCount() === 1, 'the request has the slot');
    const count = timeout / trickleInterval;
    for (let sent = 1; sent <= count; sent += 1) {
      entry.send('x');
      await waitForParts(sent);
      await clock.advanceAsync(trickleInterval);
    }
    await expectNextRequestToRun();
    await waitUntil(() => entry.isClosed, 'the connection is closed');
  });

  it('runs further requests when an entry did not read a response until its timeout', async () => {
    responseSize = largeBody;
    const entry = open();
    entry.send(head('unread', 'content-length: 3\r\n'));
    entry.pause();
    entry.send('bid');
    await waitUntil(() => target.requests.length === 1, 'the target has the request');
    expect(runningCount()).to.equal(1);
    await clock.advanceAsync(timeout + 1_000);
    await expectNextRequestToRun();
  });
});
