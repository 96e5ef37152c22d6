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
import { RawTarget, type RawRequest } from '../testing/RawTarget.js';
import { outcomeHeader, requestIdHeader } from './Headers.js';
import { TargetClient } from './TargetClient.js';
import { TargetFailure } from './TargetFailure.js';

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

  /** Status, outcome and body of the next request, or how it failed. */
  async function send(): Promise<string> {
    count += 1;
    const id = `r-${count}`;
    const request = {
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
