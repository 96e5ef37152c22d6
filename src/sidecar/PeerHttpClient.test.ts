import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server } from 'node:net';
import { Readable } from 'node:stream';
import { expect } from 'chai';
import {
  brandAs,
  OutcomeUnknownError,
  type DaemonId,
  type DataCentre,
  type Incarnation,
  type Region,
  type RequestId,
  type ServiceName,
  type TargetId,
} from '../api/index.js';
import {
  HomeRefusalError,
  type AttemptRequest,
  type Candidate,
  type ConditionReport,
  type TargetCondition,
} from '../common/dispatch/Types.js';
import { encodeRecord, recordVersion } from '../common/fleet/daemonRecords.js';
import type { DaemonRecord } from '../common/fleet/Types.js';
import { SystemClock } from '../node/SystemClock.js';
import { createReachability } from '../testing/createReachability.js';
import { MemoryLog } from '../testing/MemoryLog.js';
import { RawTarget } from '../testing/RawTarget.js';
import { HomeServer } from './HomeServer.js';
import { PeerHttpClient } from './PeerHttpClient.js';
import type { HomeRequest } from './Types.js';
import { newestPeerEncoding, PeerCodecs } from './peer/peerCodecs.js';

const requestIdHeader = 'x-request-id';
const region = brandAs<Region>('rioja-norte');
const dataCentre = (name: string): DataCentre => brandAs<DataCentre>(name);
const record: DaemonRecord = {
  daemon: brandAs<DaemonId>('sidecar-arauco-c-11'),
  incarnation: brandAs<Incarnation>('00mb5x0o7c3-1k2j3h4'),
  serial: 7,
  address: '10.2.0.13:8300',
  region,
  dataCentre: dataCentre('arauco-c'),
  state: 'serving',
  encoding: newestPeerEncoding,
  targets: [
    {
      id: brandAs<TargetId>('i-7f3a91c2'),
      incarnation: brandAs<Incarnation>('1796413952123'),
      service: brandAs<ServiceName>('wuno96b'),
      slots: 5,
      state: 'ready',
    },
  ],
};
const conditions: readonly ConditionReport[] = Array.from({ length: 8 }, (_, index) => ({
  target: brandAs<TargetId>(`i-7f3a91c${index}`),
  age: 130 * index,
  condition: { running: 3, queued: index, slots: 5, work: 412, sickness: -2.35 + 0.4 * index },
}));
const requestHeaders = [
  ['host', 'jepu9.example'],
  ['X-Request-Id', '9c41d07be2a35f68'],
  ['x-caller-service', 'wuno96b'],
] as const;
const responseHeaders = [
  ['X-Request-Id', '9c41d07be2a35f68'],
  ['X-Server-Signature', '3e1b.07.5a2.600.0.c9f2a4d1'],
  ['content-length', '4'],
] as const;
const path = '/lepu270/2f';

interface Traffic {
  sent: string;
  received: string;
}

/** Forwards connections to a port and keeps what passes; returns its own port. */
async function capture(port: number, traffic: Traffic, servers: Server[]): Promise<number> {
  const server = createServer((caller) => {
    const home = connect(port, '127.0.0.1');
    caller.on('data', (chunk: Buffer) => {
      traffic.sent += chunk.toString('latin1');
      home.write(chunk);
    });
    home.on('data', (chunk: Buffer) => {
      traffic.received += chunk.toString('latin1');
      caller.write(chunk);
    });
    caller.on('close', () => home.destroy());
    home.on('close', () => caller.destroy());
  });
  servers.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

/** Bytes of the request line or status line and of headers that are forwarded anyway. */
function forwardedBytes(
  firstLine: string,
  headers: readonly (readonly [string, string])[],
): number {
  return (
    headers.reduce((bytes, [name, value]) => bytes + `${name}: ${value}\r\n`.length, 0) +
    `${firstLine}\r\n\r\n`.length
  );
}

const forwardedRequest = forwardedBytes(`GET ${path} HTTP/1.1`, requestHeaders);
const forwardedResponse = forwardedBytes('HTTP/1.1 200 OK', responseHeaders) + 4;

function createCandidate(port: number, encoding: number, version: string): Candidate {
  return {
    ...record,
    recordVersion: version,
    address: `127.0.0.1:${port}`,
    encoding,
    target: brandAs<TargetId>('i-7f3a91c2'),
    incarnation: brandAs<Incarnation>('1796413952123'),
    slots: 5,
    inFlight: 0,
    age: 0,
  };
}

function createAttempt(isIdempotent: boolean): AttemptRequest {
  return {
    call: {
      id: brandAs<RequestId>('9c41d07be2a35f68'),
      route: {
        name: 'estado-tina-7',
        host: 'jepu9.example',
        path: '/lepu270/',
        isIdempotent,
        timeout: 3_000,
        goal: 2_000,
        rank: 2,
        maxAttempts: 2,
        parts: [],
      },
      service: brandAs<ServiceName>('wuno96b'),
      method: isIdempotent ? 'GET' : 'POST',
      path,
      headers: requestHeaders,
      body: Buffer.alloc(0),
      timeout: 3_000,
    },
    target: brandAs<TargetId>('i-7f3a91c2'),
    incarnation: brandAs<Incarnation>('1796413952123'),
    timeout: 2_978.4,
    maxQueueWait: 1_530.2,
    isForced: false,
    isTrial: true,
    isRetry: false,
    version: 18,
    onStart: () => {},
  };
}

function createClient(
  learned: ConditionReport[],
  records: DaemonRecord[],
  { monitor } = createReachability(new SystemClock(), new MemoryLog(), [record]),
): PeerHttpClient {
  return new PeerHttpClient({
    id: brandAs<DaemonId>('sidecar-aimogasta-a-3'),
    region,
    dataCentre: dataCentre('aimogasta-a'),
    codecs: new PeerCodecs(requestIdHeader),
    clock: new SystemClock(),
    log: new MemoryLog(),
    monitor,
    onVersion: () => {},
    conditions: () => conditions,
    onConditions: (reports) => learned.push(...reports),
    onRecord: (next) => records.push(next),
  });
}

/** Sends one request and returns what passed between the two daemons and what each end decoded. */
async function exchange(encoding: number, homeRecordVersion = recordVersion(record)) {
  const servers: Server[] = [];
  const traffic: Traffic = { sent: '', received: '' };
  const received: HomeRequest[] = [];
  const learned = { atHome: [] as ConditionReport[], atEntry: [] as ConditionReport[] };
  const records: DaemonRecord[] = [];
  const codecs = new PeerCodecs(requestIdHeader);
  const server = new HomeServer({
    clock: new SystemClock(),
    home: {
      run: async (request) => {
        received.push(request);
        const { condition } = conditions[0] as ConditionReport;
        return { status: 200, headers: responseHeaders, body: Readable.from(['good']), condition };
      },
    },
    codecs,
    version: () => 18,
    record: () => record,
    conditions: () => conditions,
    onConditions: (reports) => learned.atHome.push(...reports),
    onVersion: () => {},
    log: new MemoryLog(),
  });
  const port = await capture(await server.listen('127.0.0.1:0'), traffic, servers);
  const client = createClient(learned.atEntry, records);
  const candidate = createCandidate(port, encoding, homeRecordVersion);
  const attempt = createAttempt(true);
  const answer = await client.send(candidate, attempt, new AbortController().signal);
  client.dispose();
  server.dispose();
  servers.forEach((each) => each.close());
  return { traffic, received: received[0], learned, records, answer };
}

/** The compact encoding rounds log-odds to tenths. */
function expectCondition(actual: TargetCondition | undefined, expected?: ConditionReport): void {
  const { sickness = NaN } = expected?.condition ?? {};
  expect(actual?.sickness).to.be.closeTo(sickness, 0.06);
  expect({ ...actual, sickness }).to.deep.equal(expected?.condition);
}

describe('exchange between daemons', () => {
  it('adds at most a third of the bytes of the JSON encoding for a target in another data centre', async () => {
    const added = async (encoding: number): Promise<number> => {
      const { traffic } = await exchange(encoding);
      return traffic.sent.length + traffic.received.length - forwardedRequest - forwardedResponse;
    };
    expect(await added(newestPeerEncoding)).to.be.at.most((await added(1)) / 3);
  });

  const encodings = [
    { name: 'a home of a build that reads only JSON', encoding: 1, entry: 'sidecar-aimogasta-a-3' },
    { name: 'a home of this build', encoding: newestPeerEncoding, entry: '127.0.0.1' },
  ];
  encodings.forEach(({ name, encoding, entry }) => {
    it(`brings the request, the answer and the states of both sides across to ${name}`, async () => {
      const { received, learned, records, answer } = await exchange(encoding);
      expect(received).to.deep.include({
        id: '9c41d07be2a35f68',
        target: 'i-7f3a91c2',
        incarnation: '1796413952123',
        timeout: 2_978,
        maxQueueWait: 1_530,
        isForced: false,
        isTrial: true,
        isRetry: false,
        isIdempotent: true,
        rank: 2,
        route: 'estado-tina-7',
        goal: 2_000,
        version: 18,
        entry,
        method: 'GET',
        path,
      });
      const forwarded = received?.headers.map(([header]) => header.toLowerCase());
      expect(forwarded).to.deep.equal(['host', 'x-request-id', 'x-caller-service']);
      expect(String(answer.body)).to.equal('good');
      expect(answer.headers).to.deep.equal(responseHeaders);
      expectCondition(answer.condition, conditions[0]);
      [learned.atHome, learned.atEntry].forEach((reports) => {
        expect(reports).to.have.length.at.least(3);
        reports.forEach(({ target, condition }, index) => {
          expect(target).to.equal(conditions[index]?.target);
          expectCondition(condition, conditions[index]);
        });
      });
      expect(records).to.deep.equal([]);
    });

    it(`gets the record of ${name} if it has another version`, async () => {
      const { records } = await exchange(encoding, 'an-earlier-incarnation/3');
      expect(records.map(encodeRecord)).to.deep.equal([encodeRecord(record)]);
    });

    it(`counts the bytes of an exchange with ${name}`, async () => {
      const { traffic, answer } = await exchange(encoding);
      expect(answer.transferred).to.equal(traffic.sent.length + traffic.received.length);
    });
  });

  const foreign: readonly {
    readonly name: string;
    readonly isIdempotent: boolean;
    readonly response: string;
    readonly error: new (...values: never[]) => Error;
  }[] = [
    {
      name: 'a bid was not run if a program that is no daemon responds instead of asking for it',
      isIdempotent: false,
      response: 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n',
      error: HomeRefusalError,
    },
    {
      name: 'the outcome of a bid is unknown if it was asked for and the response bears no state',
      isIdempotent: false,
      response: 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n',
      error: OutcomeUnknownError,
    },
    {
      name: 'a look-up can be sent elsewhere if the response bears no state',
      isIdempotent: true,
      response: 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n',
      error: HomeRefusalError,
    },
  ];
  const unsendable = [
    { name: 'its port is out of range', port: 99_999, sentPath: path, isExcluded: true },
    { name: 'its path cannot be sent', port: 9, sentPath: '/a b', isExcluded: false },
  ];
  unsendable.forEach(({ name, port, sentPath, isExcluded }) => {
    it(`knows that a bid was not run if ${name}`, async () => {
      const reachability = createReachability(new SystemClock(), new MemoryLog(), [record]);
      const client = createClient([], [], reachability);
      const candidate = createCandidate(port, newestPeerEncoding, recordVersion(record));
      const attempt = createAttempt(false);
      const { signal } = new AbortController();
      const failure: unknown = await client
        .send(candidate, { ...attempt, call: { ...attempt.call, path: sentPath } }, signal)
        .catch((reason: unknown) => reason);
      const targets = reachability.directory.candidates(record.targets[0]!.service);
      client.dispose();
      reachability.monitor.dispose();
      expect(failure).to.be.instanceOf(HomeRefusalError);
      expect(targets).to.have.length(isExcluded ? 0 : 1);
    });
  });

  foreign.forEach(({ name, isIdempotent, response, error }) => {
    it(`knows that ${name}`, async () => {
      const server = new RawTarget((socket) => socket.write(response));
      const port = Number((await server.listen()).split(':')[1]);
      const client = createClient([], []);
      const candidate = createCandidate(port, newestPeerEncoding, recordVersion(record));
      const { signal } = new AbortController();
      const failure = await client.send(candidate, createAttempt(isIdempotent), signal).then(
        () => undefined,
        (reason: unknown) => reason,
      );
      client.dispose();
      server.dispose();
      expect(failure).to.be.instanceOf(error);
    });
  });
});
