import { text } from 'node:stream/consumers';
import { expect } from 'chai';
import {
  brandAs,
  NotRunError,
  type Incarnation,
  type RequestId,
  type ServiceName,
  type TargetId,
} from '../api/index.js';
import { EndlessSender } from '../testing/EndlessSender.js';
import { RawTarget, type RawRequest } from '../testing/RawTarget.js';
import { waitUntil } from '../testing/waitUntil.js';
import { outcomeHeader, requestIdHeader } from './Headers.js';
import { TargetClient } from './TargetClient.js';
import { TargetFailure } from './TargetFailure.js';
import type { ForwardRequest } from './Types.js';

const timeout = 10_000;
const { signal } = new AbortController();
const refusal = 'HTTP/1.1 503 Service Unavailable\r\n';
const notRun = `${outcomeHeader}: not-run\r\n`;
const success = 'HTTP/1.1 200 OK\r\n';
const empty = 'content-length: 0\r\n\r\n';

const echo = (id: string): string => `${requestIdHeader}: ${id}\r\n`;

describe('TargetClient', () => {
  let target: RawTarget;
  let client: TargetClient;
  let count: number;

  beforeEach(async () => {
    count = 0;
    target = new RawTarget(() => {});
    client = new TargetClient(await target.listen(), 1);
  });

  afterEach(() => {
    client.dispose();
    target.dispose();
  });

  function createRequest(): ForwardRequest {
    count += 1;
    const id = `r-${count}`;
    return {
      context: {
        id: brandAs<RequestId>(id),
        service: brandAs<ServiceName>('lots'),
        route: 'lots',
        workClass: 'interactive' as const,
        isIdempotent: true,
        timeout,
      },
      target: brandAs<TargetId>('t-1'),
      targetIncarnation: brandAs<Incarnation>('1'),
      method: 'GET',
      path: '/lots/1',
      headers: [['host', 'h'] as const, [requestIdHeader, id] as const],
    };
  }

  /** Status, outcome and body of the next request, or how it failed. */
  async function send(): Promise<string> {
    const request = createRequest();
    try {
      const { status, headers, body } = await client.send(request, timeout, signal);
      const outcome = headers.find(([name]) => name === outcomeHeader)?.[1] ?? 'run';
      return `${status} ${outcome} ${await text(body)}`.trim();
    } catch (error) {
      if (!(error instanceof TargetFailure)) return 'truncated';
      return error.error instanceof NotRunError ? 'not run' : 'unknown';
    }
  }

  const cases = [
    {
      name: 'returns a refusal that echoes the id',
      respond: ({ header }: RawRequest) => refusal + notRun + echo(header(requestIdHeader)) + empty,
      result: '503 not-run',
    },
    {
      name: 'does not believe a refusal with the id of another request',
      respond: () => refusal + notRun + echo('r-0') + empty,
      result: 'unknown',
    },
    {
      name: 'does not believe a refusal without an id',
      respond: () => refusal + notRun + empty,
      result: 'unknown',
    },
    {
      name: 'returns a response without an id',
      respond: () => success + empty,
      result: '200 run',
    },
  ];
  cases.forEach(({ name, respond, result }) => {
    it(name, async () => {
      target.handler = (socket, request) => socket.write(respond(request));
      expect(await send()).to.equal(result);
    });
  });

  it('does not report not run because an earlier refusal is repeated on the kept connection', async () => {
    let earlier = '';
    target.handler = (socket, { header }) => {
      if (earlier === '') earlier = refusal + notRun + echo(header(requestIdHeader)) + empty;
      socket.write(earlier);
    };
    expect(await send()).to.equal('503 not-run');
    expect(await send()).to.equal('unknown');
    target.handler = (socket, { header }) =>
      socket.write(`${success}${echo(header(requestIdHeader))}content-length: 4\r\n\r\ngood`);
    expect(await send()).to.equal('200 run good');
  });

  const success200 = `${success}${echo('ID')}`;
  const chunked = `${success200}transfer-encoding: chunked\r\n\r\n`;
  const endless: readonly {
    readonly name: string;
    /** What is sent before the repeated bytes. */
    readonly start: string;
    readonly piece: string;
    readonly result: string;
  }[] = [
    { name: 'garbage', start: '', piece: 'garbage ', result: 'unknown' },
    { name: 'empty lines', start: '', piece: '\r\n', result: 'unknown' },
    { name: 'a reason phrase', start: 'HTTP/1.1 200 ', piece: 'O', result: 'unknown' },
    { name: 'a header line', start: `${success}x: `, piece: 'a', result: 'unknown' },
    { name: 'spaces before a header value', start: `${success}x:`, piece: ' ', result: 'unknown' },
    { name: 'header lines', start: success, piece: 'x: y\r\n', result: 'unknown' },
    {
      name: '100 Continue',
      start: '',
      piece: 'HTTP/1.1 100 Continue\r\n\r\n',
      result: 'unknown',
    },
    {
      name: '102 Processing',
      start: '',
      piece: 'HTTP/1.1 102 Processing\r\n\r\n',
      result: 'unknown',
    },
    { name: 'zeros of a chunk size', start: chunked, piece: '0', result: 'truncated' },
    { name: 'digits of a chunk size', start: chunked, piece: 'f', result: 'truncated' },
    { name: 'a chunk extension', start: `${chunked}5;`, piece: 'a', result: 'truncated' },
    {
      name: 'trailers',
      start: `${chunked}5\r\nhello\r\n0\r\n`,
      piece: 'x: y\r\n',
      result: 'truncated',
    },
    {
      name: 'bytes after a complete response',
      start: `${success200}content-length: 4\r\n\r\ngood`,
      piece: 'more',
      result: '200 run good',
    },
    { name: 'a body without a length', start: `${success200}\r\n`, piece: 'x', result: 'unknown' },
    {
      name: 'a body of another request',
      start: `${success}${echo('r-0')}content-length: 999999999999\r\n\r\n`,
      piece: 'x',
      result: 'unknown',
    },
  ];
  endless.forEach(({ name, start, piece, result }) => {
    it(`does not read ${name} without end until the timeout`, async () => {
      const sender = new EndlessSender();
      target.handler = (socket, { header }) => {
        sender.send(socket, start.replace('ID', header(requestIdHeader)), piece);
      };
      expect(await send()).to.equal(result);
      await waitUntil(() => target.closedConnections === 1, 'the connection is closed');
      expect(sender.isBounded).to.equal(true);
    });
  });

  it('does not hold more of a body without end than its reader takes', async () => {
    const sender = new EndlessSender();
    target.handler = (socket, { header }) => {
      const start = chunked.replace('ID', header(requestIdHeader));
      sender.send(socket, start, `1000\r\n${'x'.repeat(4_096)}\r\n`);
    };
    const { body } = await client.send(createRequest(), timeout, signal);
    await new Promise((resolve) => {
      setTimeout(resolve, 500);
    });
    expect([sender.isBounded, target.closedConnections]).to.deep.equal([true, 0]);
    body.on('error', () => {});
    body.destroy();
    await waitUntil(() => target.closedConnections === 1, 'the connection is closed');
  });

  it('takes no chunked response for whole that is reset before its last chunk', async () => {
    target.handler = (socket, { header }) => {
      socket.write(`${chunked.replace('ID', header(requestIdHeader))}4\r\ngood\r\n`, () => {
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
    };
    expect(await send()).to.equal('truncated');
  });

  it('takes no head that stops at any byte for a response', async () => {
    const whole = `${success}${echo('ID')}content-length: 4\r\n\r\n`;
    for (let length = 0; length < whole.length; length += 1) {
      target.handler = (socket, { header }) => {
        socket.end(whole.slice(0, length).replace('ID', header(requestIdHeader)));
      };
      expect(await send(), whole.slice(0, length)).to.equal('unknown');
    }
  });
});
