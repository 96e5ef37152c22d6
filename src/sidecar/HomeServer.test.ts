import { once } from 'node:events';
import { connect } from 'node:net';
import { Readable } from 'node:stream';
import { expect } from 'chai';
import {
  brandAs,
  type DaemonId,
  type DataCentre,
  type Incarnation,
  type Region,
} from '../api/index.js';
import type { DaemonRecord } from '../common/fleet/Types.js';
import { SystemClock } from '../node/SystemClock.js';
import { MemoryLog } from '../testing/MemoryLog.js';
import { waitUntil } from '../testing/waitUntil.js';
import { HomeServer } from './HomeServer.js';
import { PeerCodecs } from './peer/peerCodecs.js';
import type { BodyProvider, HomeRequest } from './Types.js';

const record: DaemonRecord = {
  daemon: brandAs<DaemonId>('d-1'),
  incarnation: brandAs<Incarnation>('1'),
  serial: 1,
  address: '127.0.0.1:1',
  region: brandAs<Region>('gam'),
  dataCentre: brandAs<DataCentre>('gam-a'),
  state: 'serving',
  targets: [],
};
const metadata = 't-1,1,2000,1000,0,1,2000,1,x,bid';
const head = (headers: string): string =>
  `POST /bids HTTP/1.1\r\nhost: h\r\nid: r-1\r\nlt: ${metadata}\r\n${headers}\r\n`;

/** A request that waits for a slot, and whether its target began to run it. */
interface Waiting {
  readonly request: HomeRequest;
  readonly giveSlot: () => void;
  hasRun: boolean;
  hasFailed: boolean;
}

describe('HomeServer', () => {
  let waiting: Waiting[];
  let server: HomeServer;
  let port: number;

  /** Waits for a slot, receives the body and runs the request, as `Home` does. */
  const run = async (request: HomeRequest, receiveBody: BodyProvider) => {
    let entry: Waiting | undefined;
    await new Promise<void>((resolve) => {
      entry = { request, giveSlot: resolve, hasRun: false, hasFailed: false };
      waiting.push(entry);
    });
    try {
      await receiveBody(() => {});
      if (entry !== undefined) entry.hasRun = true;
    } catch (error) {
      if (entry !== undefined) entry.hasFailed = true;
      throw error;
    }
    return { status: 200, headers: [], body: Readable.from(['done']) };
  };

  let readRecord: () => DaemonRecord;

  const start = async (isRelay: boolean): Promise<void> => {
    readRecord = () => record;
    waiting = [];
    server = new HomeServer({
      clock: new SystemClock(),
      home: { run },
      codecs: new PeerCodecs('id'),
      relay: isRelay
        ? (_request, response) => {
            response.end('relayed');
          }
        : undefined,
      version: () => 1,
      record: () => readRecord(),
      conditions: () => [],
      onConditions: () => {},
      onVersion: () => {},
      log: new MemoryLog(),
    });
    port = await server.listen('127.0.0.1:0');
  };

  beforeEach(() => start(false));

  afterEach(() => server.dispose());

  // A home that was paused finds a free slot and the end of the entry's connection at the same time.
  const departures = [
    { name: 'closed its connection', leave: 'destroy' as const },
    { name: 'reset its connection', leave: 'resetAndDestroy' as const },
  ];
  departures.forEach(({ name, leave }) => {
    it(`does not run a bid whose entry ${name} while this daemon was paused`, async () => {
      const socket = connect(port, '127.0.0.1');
      socket.on('error', () => {});
      socket.write(head('expect: 100-continue\r\ntransfer-encoding: chunked\r\n'));
      await waitUntil(() => waiting.length === 1, 'the bid waits for a slot');
      socket[leave]();
      await once(socket, 'close');
      waiting[0]?.giveSlot();
      await waitUntil(() => waiting[0]?.hasFailed === true, 'the body of the bid is missing');
      expect(waiting[0]?.hasRun).to.equal(false);
    });
  });

  it('asks for the body of a bid only once it has a slot, so that the entry knows that it has not run', async () => {
    const socket = connect(port, '127.0.0.1');
    let received = '';
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString();
    });
    socket.write(head('expect: 100-continue\r\ntransfer-encoding: chunked\r\n'));
    await waitUntil(() => waiting.length === 1, 'the bid waits for a slot');
    await waitUntil(() => received.includes('102 Processing'), 'the daemon shows that it lives');
    expect(received).not.to.include('100 Continue');
    waiting[0]?.giveSlot();
    await waitUntil(() => received.includes('100 Continue'), 'the daemon asks for the body');
    socket.write('3\r\nbid\r\n0\r\n\r\n');
    await waitUntil(() => received.includes('done'), 'the response');
    expect(waiting[0]?.hasRun).to.equal(true);
    socket.destroy();
  });

  it('rejects requests that come from no daemon', async () => {
    const response = await fetch(`http://127.0.0.1:${port}/lots`);
    expect(response.status).to.equal(400);
    expect(waiting).to.deep.equal([]);
  });

  it('rejects daemons that want to follow the store if this one relays nothing', async () => {
    const headers = { 'lt-relay': '1' };
    const response = await fetch(`http://127.0.0.1:${port}/snapshot?prefix=x`, { headers });
    expect(response.status).to.equal(400);
  });

  it('runs a forwarded request whose caller sent the header of a follower', async () => {
    server.dispose();
    await start(true);
    const headers = { id: 'r-1', lt: metadata, 'lt-relay': '1' };
    const response = fetch(`http://127.0.0.1:${port}/lots`, { headers });
    await waitUntil(() => waiting.length === 1, 'the request waits for a slot');
    waiting[0]?.giveSlot();
    expect(await (await response).text()).to.equal('done');
    expect(waiting[0]?.request.headers).to.deep.include(['lt-relay', '1']);
  });

  it('closes only the connection of a request whose response cannot be sent', async () => {
    const headers = { id: 'r-1', lt: metadata };
    const other = fetch(`http://127.0.0.1:${port}/lots`, { headers });
    await waitUntil(() => waiting.length === 1, 'the other request waits for a slot');
    const failing = fetch(`http://127.0.0.1:${port}/lots`, { headers }).catch(() => 'closed');
    await waitUntil(() => waiting.length === 2, 'the request waits for a slot');
    readRecord = () => {
      throw new Error('no record');
    };
    waiting[1]?.giveSlot();
    expect(await failing).to.equal('closed');
    readRecord = () => record;
    waiting[0]?.giveSlot();
    expect(await (await other).text()).to.equal('done');
  });

  it('answers a follower', async () => {
    server.dispose();
    await start(true);
    const headers = { 'lt-relay': '1' };
    const response = await fetch(`http://127.0.0.1:${port}/snapshot?prefix=x`, { headers });
    expect(await response.text()).to.equal('relayed');
  });
});
