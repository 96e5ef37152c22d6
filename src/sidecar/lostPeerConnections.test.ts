import { Readable } from 'node:stream';
import { expect } from 'chai';
import {
  brandAs,
  type DaemonId,
  type DataCentre,
  type Incarnation,
  type Region,
  type RequestId,
  type ServiceName,
  type TargetId,
} from '../api/index.js';
import { HomeRefusalError, type AttemptRequest, type Candidate } from '../common/dispatch/Types.js';
import type { DaemonRecord } from '../common/fleet/Types.js';
import { SystemClock } from '../node/SystemClock.js';
import { createReachability } from '../testing/createReachability.js';
import { MemoryLog } from '../testing/MemoryLog.js';
import { SilencingProxy } from '../testing/SilencingProxy.js';
import { waitUntil } from '../testing/waitUntil.js';
import { HomeServer } from './HomeServer.js';
import { newestPeerEncoding, PeerCodecs } from './peer/peerCodecs.js';
import { PeerHttpClient } from './PeerHttpClient.js';

const clock = new SystemClock();
const service = brandAs<ServiceName>('pedidos');
const region = brandAs<Region>('guanacaste');
const dataCentre = brandAs<DataCentre>('gte-a');
const target = {
  id: brandAs<TargetId>('t-1'),
  incarnation: brandAs<Incarnation>('1'),
  service,
  slots: 3,
  state: 'ready' as const,
};

function createAttempt(id: string, isIdempotent: boolean): AttemptRequest {
  const route = {
    name: 'orders',
    host: 'h',
    path: '/',
    isIdempotent,
    timeout: 8_000,
    goal: 2_000,
    rank: 1,
    maxAttempts: 2,
    parts: [],
  };
  return {
    call: {
      id: brandAs<RequestId>(id),
      route,
      service,
      method: 'POST',
      path: '/',
      headers: [
        ['host', 'h'],
        ['id', id],
      ],
      body: Buffer.from('body'),
      timeout: 8_000,
    },
    target: target.id,
    incarnation: target.incarnation,
    timeout: 8_000,
    maxQueueWait: 1_000,
    isForced: false,
    isTrial: false,
    isRetry: false,
    version: 1,
    onStart: () => {},
  };
}

/** An entry and a home with a proxy between them. */
class Pair {
  /** Ids of the requests that the home ran. */
  public readonly runs: string[] = [];

  /** Whether the home refuses all requests. */
  public isFull = false;

  public readonly log = new MemoryLog();

  public proxy!: SilencingProxy;

  private readonly codecs = new PeerCodecs('id');

  private readonly server: HomeServer;

  private client!: PeerHttpClient;

  private record!: DaemonRecord;

  private reachability!: ReturnType<typeof createReachability>;

  public constructor() {
    this.server = new HomeServer({
      clock,
      home: {
        run: async ({ id }, receiveBody) => {
          if (this.isFull) throw new HomeRefusalError('queue-full', 'full', { step: 'home.admit' });
          await receiveBody(() => {});
          this.runs.push(id);
          return { status: 200, headers: [['content-length', '4']], body: Readable.from(['good']) };
        },
      },
      codecs: this.codecs,
      version: () => 1,
      record: () => this.record,
      conditions: () => [],
      onConditions: () => {},
      onVersion: () => {},
      log: this.log,
    });
  }

  public get isCandidate(): boolean {
    return this.reachability.directory.candidates(service).length > 0;
  }

  public async start(): Promise<void> {
    this.proxy = new SilencingProxy(await this.server.listen('127.0.0.1:0'));
    this.record = {
      daemon: brandAs<DaemonId>('home'),
      incarnation: brandAs<Incarnation>('1'),
      serial: 1,
      address: `127.0.0.1:${await this.proxy.listen()}`,
      region,
      dataCentre,
      state: 'serving',
      encoding: newestPeerEncoding,
      targets: [target],
    };
    this.reachability = createReachability(clock, this.log, [this.record]);
    this.client = new PeerHttpClient({
      id: brandAs<DaemonId>('entry'),
      region,
      dataCentre,
      codecs: this.codecs,
      clock,
      log: this.log,
      monitor: this.reachability.monitor,
      onVersion: () => {},
      conditions: () => [],
      onConditions: () => {},
      onRecord: () => {},
    });
  }

  /** Sends requests at once; resolves to the statuses, and `not-run` or `unknown` for those without an answer. */
  public send(
    name: string,
    count: number,
    isIdempotent = false,
  ): Promise<(number | 'not-run' | 'unknown')[]> {
    const candidate: Candidate = {
      ...this.record,
      recordVersion: '1/1',
      encoding: newestPeerEncoding,
      target: target.id,
      incarnation: target.incarnation,
      slots: target.slots,
      inFlight: 0,
      age: 0,
      condition: undefined,
    };
    return Promise.all(
      Array.from({ length: count }, async (_, index) => {
        const attempt = createAttempt(`${name}-${index}`, isIdempotent);
        try {
          const { status } = await this.client.send(
            candidate,
            attempt,
            new AbortController().signal,
          );
          return status;
        } catch (error) {
          return error instanceof HomeRefusalError ? 'not-run' : 'unknown';
        }
      }),
    );
  }

  public dispose(): void {
    this.client.dispose();
    this.reachability.monitor.dispose();
    this.server.dispose();
    this.proxy.dispose();
  }
}

describe('lost connections between daemons', () => {
  let pair: Pair;

  beforeEach(async () => {
    pair = new Pair();
    await pair.start();
  });

  afterEach(() => pair.dispose());

  const losses = [
    { name: 'one idle connection goes silent', idle: 1, orders: 1, rounds: 1 },
    { name: 'all idle connections go silent before as many orders', idle: 6, orders: 6, rounds: 1 },
    { name: 'all idle connections go silent before one order', idle: 6, orders: 1, rounds: 1 },
    { name: 'they go silent again and again', idle: 6, orders: 6, rounds: 3 },
  ];
  losses.forEach(({ name, idle, orders, rounds }) => {
    it(`guards against a sound home without requests when ${name}`, async () => {
      for (let round = 0; round < rounds; round += 1) {
        await pair.send(`warm-${round}`, idle);
        pair.proxy.silence();
        const runs = pair.runs.length;
        const statuses = await pair.send(`order-${round}`, orders);
        expect(statuses).to.deep.equal(new Array(orders).fill(200));
        expect(pair.runs).to.have.length(runs + orders);
        expect(pair.isCandidate).to.equal(true);
      }
      expect(new Set(pair.runs).size).to.equal(pair.runs.length);
      expect(pair.log.lines.some(({ message }) => message === 'daemon is unreachable')).to.equal(
        false,
      );
    });
  });

  it('guards against a sound home without requests when its connections are reset under orders', async () => {
    await pair.send('warm', 6);
    const statuses = pair.send('order', 6);
    pair.proxy.reset();
    expect(await statuses).to.deep.equal(new Array(6).fill(200));
    expect(pair.isCandidate).to.equal(true);
  });

  it('guards against look-ups on silent connections that exclude a sound home', async () => {
    await pair.send('warm', 6);
    pair.proxy.silence();
    const statuses = await pair.send('look-up', 6, true);
    expect(statuses).to.deep.equal(new Array(6).fill('unknown'));
    expect(pair.isCandidate).to.equal(true);
    expect(await pair.send('again', 6, true)).to.deep.equal(new Array(6).fill(200));
  });

  it('closes the idle connections that were silent with the one that an order used', async () => {
    await pair.send('warm', 6);
    pair.proxy.silence();
    await pair.send('order', 1);
    await waitUntil(() => pair.proxy.size === 1, 'only the new connection is open');
  });

  it('excludes a home that accepts no connection, and refuses its orders truthfully', async () => {
    await pair.send('warm', 6);
    pair.proxy.dispose();
    expect(await pair.send('order', 6)).to.deep.equal(new Array(6).fill('not-run'));
    expect(pair.isCandidate).to.equal(false);
    expect(pair.runs).to.have.length(6);
  });

  it('guards against a new connection for each order that a busy home refuses', async () => {
    await pair.send('warm', 1);
    const { accepted } = pair.proxy;
    pair.isFull = true;
    for (let count = 0; count < 20; count += 1) {
      expect(await pair.send(`full-${count}`, 1)).to.deep.equal(['not-run']);
    }
    pair.isFull = false;
    expect(await pair.send('order', 1)).to.deep.equal([200]);
    expect(pair.proxy.accepted).to.equal(accepted);
    expect(pair.isCandidate).to.equal(true);
  });
});
