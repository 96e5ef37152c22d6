import { buffer } from 'node:stream/consumers';
import type { Readable } from 'node:stream';
import { expect } from 'chai';
import {
  brandAs,
  NotRunError,
  type DaemonId,
  type DataCentre,
  type Incarnation,
  type Region,
  type RequestId,
  type ServiceName,
  type TargetId,
} from '../api/index.js';
import type { AttemptRequest, Candidate } from '../common/dispatch/Types.js';
import { SystemClock } from '../node/SystemClock.js';
import { EndlessSender } from '../testing/EndlessSender.js';
import { createReachability } from '../testing/createReachability.js';
import { MemoryLog } from '../testing/MemoryLog.js';
import { RawTarget, type RawRequest } from '../testing/RawTarget.js';
import { waitUntil } from '../testing/waitUntil.js';
import { bufferSmallBody } from './bufferSmallBody.js';
import { Home } from './Home.js';
import { HomeServer } from './HomeServer.js';
import { PeerHttpClient } from './PeerHttpClient.js';
import { createRequestMetadata } from './peer/createRequestMetadata.js';
import { newestPeerEncoding, PeerCodecs } from './peer/peerCodecs.js';
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
const target = brandAs<TargetId>('t-1');
const daemon = brandAs<DaemonId>('d-1');
const service = brandAs<ServiceName>('catalogo');
const region = brandAs<Region>('gam');
const dataCentre = brandAs<DataCentre>('gam-a');
/** Milliseconds; longer than a test may take. */
const longTimeout = 120_000;
/** Milliseconds. */
const shortTimeout = 500;

/** Head of a response with the echoed request id and the signature. */
function head(request: RawRequest, extra: string, status = '200 OK'): string {
  return `HTTP/1.1 ${status}\r\nid: ${request.header('id')}\r\nsignature: s\r\n${extra}\r\n`;
}

const chunked = 'transfer-encoding: chunked\r\n';

interface EndlessCase {
  readonly name: string;
  /** What is sent before the repeated bytes. */
  readonly start: (request: RawRequest) => string;
  readonly piece: string;
  readonly result: string;
}

/** Head of a refusal of this request. */
function refusal(request: RawRequest, status: string, headers = ''): string {
  return `HTTP/1.1 ${status}\r\nid: ${request.header('id')}\r\n${headers}\r\n`;
}

/** Responses of which it is clear before the timeout that they are none. */
const invalidCases: readonly EndlessCase[] = [
  { name: 'garbage', start: () => '', piece: 'garbage ', result: 'failed' },
  { name: 'empty lines', start: () => '', piece: '\r\n', result: 'failed' },
  { name: 'a reason phrase', start: () => 'HTTP/1.1 200 ', piece: 'O', result: 'failed' },
  { name: 'a header line', start: (request) => head(request, 'x: '), piece: 'a', result: 'failed' },
  {
    name: 'spaces before a header value',
    start: (request) => `${head(request, '').slice(0, -2)}x:`,
    piece: ' ',
    result: 'failed',
  },
  {
    name: 'header lines',
    start: (request) => head(request, '').slice(0, -2),
    piece: 'x: y\r\n',
    result: 'failed',
  },
  {
    name: '100 Continue',
    start: () => '',
    piece: 'HTTP/1.1 100 Continue\r\n\r\n',
    result: 'failed',
  },
  {
    name: '102 Processing',
    start: () => '',
    piece: 'HTTP/1.1 102 Processing\r\n\r\n',
    result: 'failed',
  },
  {
    name: 'bytes after 101 Switching Protocols',
    start: () => 'HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n',
    piece: 'x',
    result: 'failed',
  },
  {
    name: 'zeros of a chunk size',
    start: (request) => head(request, chunked),
    piece: '0',
    result: 'failed',
  },
  {
    name: 'digits of a chunk size',
    start: (request) => head(request, chunked),
    piece: 'f',
    result: 'failed',
  },
  {
    name: 'a chunk extension',
    start: (request) => `${head(request, chunked)}5;`,
    piece: 'a',
    result: 'failed',
  },
  {
    name: 'trailers',
    start: (request) => `${head(request, chunked)}5\r\nhello\r\n0\r\n`,
    piece: 'x: y\r\n',
    result: 'failed',
  },
  {
    name: 'bytes after a complete response',
    start: (request) => `${head(request, 'content-length: 4\r\n')}good`,
    piece: 'more',
    result: 'complete 200 good',
  },
  {
    name: 'a refusal with a body without a length',
    start: (request) => refusal(request, '503 Service Unavailable', 'not-run: 1\r\n'),
    piece: 'x',
    result: 'not run: queue-full',
  },
  {
    name: 'a refusal with a chunked body',
    start: (request) => refusal(request, '503 Service Unavailable', `not-run: 1\r\n${chunked}`),
    piece: '5\r\nhello\r\n',
    result: 'not run: queue-full',
  },
  {
    name: 'a 421 response with a body without a length',
    start: (request) => refusal(request, '421 Misdirected Request'),
    piece: 'x',
    result: 'not run: queue-full',
  },
  {
    name: 'a refusal without a request id',
    start: () => 'HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\n\r\n',
    piece: 'x',
    result: 'failed',
  },
  {
    name: 'a body of another request',
    start: () => 'HTTP/1.1 200 OK\r\nid: other\r\nsignature: s\r\n\r\n',
    piece: 'x',
    result: 'failed',
  },
  {
    name: 'a body without a signature',
    start: (request) => `HTTP/1.1 200 OK\r\nid: ${request.header('id')}\r\n\r\n`,
    piece: 'x',
    result: 'failed',
  },
];

/** Responses with a valid head, whose body lasts until the timeout. */
const bodyCases: readonly EndlessCase[] = [
  {
    name: 'a chunked body',
    start: (request) => head(request, chunked),
    piece: `1000\r\n${'x'.repeat(4_096)}\r\n`,
    result: 'failed',
  },
  {
    name: 'a body without a length',
    start: (request) => head(request, ''),
    piece: 'x',
    result: 'failed',
  },
  {
    name: 'a chunked body of an error response',
    start: (request) => head(request, chunked, '500 Internal Server Error'),
    piece: `1000\r\n${'x'.repeat(4_096)}\r\n`,
    result: 'failed',
  },
  {
    name: 'a body without a length of an error response',
    start: (request) => head(request, '', '500 Internal Server Error'),
    piece: 'x',
    result: 'failed',
  },
];

interface Sent {
  readonly status: number;
  readonly body: Buffer | Readable;
}

describe('endless responses of a target', () => {
  let rawTarget: RawTarget;
  let sender: EndlessSender;
  let home: Home;
  let server: HomeServer;
  let peers: PeerHttpClient;
  let peerAddress: string;
  let count: number;

  const createAttempt = (timeout: number): AttemptRequest => {
    count += 1;
    const id = brandAs<RequestId>(`r-${count}`);
    return {
      call: {
        id,
        route: {
          name: 'listing',
          host: 'h.example',
          path: '/x/',
          isIdempotent: true,
          timeout,
          goal: 1_000,
          rank: 1,
          maxAttempts: 1,
          parts: [{ service, weight: 1 }],
        },
        service,
        method: 'GET',
        path: '/x/1',
        headers: [
          ['host', 'h.example'],
          ['id', id],
        ],
        body: Buffer.alloc(0),
        timeout,
      },
      target,
      incarnation: brandAs<Incarnation>('1000'),
      timeout,
      maxQueueWait: 0,
      isForced: true,
      isTrial: false,
      isRetry: false,
      version: 1,
      onStart: () => {},
    };
  };
  const createCandidate = (): Candidate => ({
    daemon,
    recordVersion: '1/1',
    address: peerAddress,
    encoding: newestPeerEncoding,
    region,
    dataCentre,
    target,
    incarnation: brandAs<Incarnation>('1000'),
    slots: 1,
    inFlight: 0,
    age: 0,
  });

  const paths: readonly {
    readonly name: string;
    readonly send: (attempt: AttemptRequest, signal: AbortSignal) => Promise<Sent>;
  }[] = [
    {
      name: 'at the own daemon',
      send: async (attempt, signal) => {
        const metadata = createRequestMetadata(createCandidate(), attempt, daemon);
        const { method, path, headers, body } = attempt.call;
        const request = { ...metadata, method, path, headers };
        const answer = await home.run(request, async () => body, signal);
        return { ...answer, body: await bufferSmallBody(answer.body, () => true) };
      },
    },
    {
      name: 'at another daemon',
      send: (attempt, signal) => peers.send(createCandidate(), attempt, signal),
    },
  ];

  beforeEach(async () => {
    count = 0;
    sender = new EndlessSender();
    rawTarget = new RawTarget(() => {});
    const address = await rawTarget.listen();
    const clock = new SystemClock();
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
      id: target,
      startedAt: 1_000,
      sequence: 1,
      service,
      address,
      slots: 1,
      state: 'ready',
      warmUp: 0,
    });
    const codecs = new PeerCodecs(names.requestId);
    server = new HomeServer({
      clock,
      home,
      codecs,
      version: () => 1,
      record: () => ({
        daemon,
        incarnation: brandAs<Incarnation>('1'),
        serial: 1,
        address,
        region,
        dataCentre,
        state: 'serving',
        targets: home.publishedTargets,
      }),
      conditions: () => [],
      onConditions: () => {},
      onVersion: () => {},
      log,
    });
    peerAddress = `127.0.0.1:${await server.listen('127.0.0.1:0')}`;
    peers = new PeerHttpClient({
      id: brandAs<DaemonId>('d-2'),
      region,
      dataCentre,
      codecs,
      clock,
      log,
      monitor: createReachability(clock, log, []).monitor,
      onVersion: () => {},
      conditions: () => [],
      onConditions: () => {},
      onRecord: () => {},
    });
  });

  afterEach(() => {
    peers.dispose();
    server.dispose();
    home.dispose();
    rawTarget.dispose();
  });

  const respondWith = ({ start, piece }: EndlessCase): void => {
    rawTarget.handler = (socket, request) => sender.send(socket, start(request), piece);
  };

  const respondWell = (): void => {
    rawTarget.handler = (socket, request) => {
      socket.write(`${head(request, 'content-length: 4\r\n')}good`);
    };
  };

  const readResult = async (sent: Promise<Sent>): Promise<string> => {
    try {
      const { status, body } = await sent;
      const content = Buffer.isBuffer(body) ? body : await buffer(body);
      return `complete ${status} ${content.toString()}`;
    } catch (error) {
      return error instanceof NotRunError ? `not run: ${error.reason}` : 'failed';
    }
  };

  paths.forEach(({ name: path, send }) => {
    const run = (timeout: number): Promise<string> =>
      readResult(send(createAttempt(timeout), new AbortController().signal));
    const expectNextAnswer = async (): Promise<void> => {
      await waitUntil(() => rawTarget.closedConnections === 1, 'the connection is closed');
      await waitUntil(() => home.conditions[0]?.[1].running === 0, 'the slot is free');
      respondWell();
      expect(await run(longTimeout)).to.equal('complete 200 good');
    };

    invalidCases.forEach((endless) => {
      it(`does not read ${endless.name} without end ${path} until the timeout`, async () => {
        respondWith(endless);
        expect(await run(longTimeout)).to.equal(endless.result);
        await waitUntil(() => rawTarget.closedConnections === 1, 'the connection is closed');
        expect(sender.isBounded).to.equal(true);
        await expectNextAnswer();
      });
    });

    bodyCases.forEach((endless) => {
      it(`does not take ${endless.name} without end ${path} for complete`, async () => {
        respondWith(endless);
        expect(await run(shortTimeout)).to.equal(endless.result);
        await expectNextAnswer();
      });

      it(`does not hold more of ${endless.name} ${path} than the caller reads`, async () => {
        respondWith(endless);
        const abort = new AbortController();
        const { body } = await send(createAttempt(longTimeout), abort.signal);
        expect(Buffer.isBuffer(body)).to.equal(false);
        (body as Readable).on('error', () => {});
        await new Promise((resolve) => {
          setTimeout(resolve, shortTimeout);
        });
        expect([sender.isBounded, rawTarget.closedConnections]).to.deep.equal([true, 0]);
        (body as Readable).destroy();
        abort.abort();
        await expectNextAnswer();
      });
    });

    it(`closes an idle connection ${path} on which bytes arrive without end`, async () => {
      rawTarget.handler = (socket, request) => {
        socket.write(`${head(request, 'content-length: 4\r\n')}good`);
        setTimeout(() => sender.send(socket, '', 'x'), 50);
      };
      expect(await run(longTimeout)).to.equal('complete 200 good');
      await expectNextAnswer();
      expect(sender.isBounded).to.equal(true);
    });

    it(`closes the connection when a caller ${path} leaves before the head is complete`, async () => {
      rawTarget.handler = (socket) => socket.write('HTTP/1.1 200 OK\r\nx: ');
      const abort = new AbortController();
      const result = readResult(send(createAttempt(longTimeout), abort.signal));
      await waitUntil(() => rawTarget.requests.length === 1, 'the target has the request');
      abort.abort();
      expect(await result).to.equal('failed');
      await expectNextAnswer();
    });
  });
});
