import { buffer } from 'node:stream/consumers';
import type { Socket } from 'node:net';
import { expect } from 'chai';
import {
  brandAs,
  NotRunError,
  VirtualClock,
  type ServiceName,
  type TargetId,
} from '../api/index.js';
import type { ConditionReport } from '../common/dispatch/Types.js';
import type { TargetReport } from '../common/fleet/Types.js';
import { SystemClock } from '../node/SystemClock.js';
import { MemoryLog } from '../testing/MemoryLog.js';
import { RawTarget, type RawRequestHandler, type RawRequest } from '../testing/RawTarget.js';
import { waitUntil } from '../testing/waitUntil.js';
import { Home } from './Home.js';
import { bufferSmallBody } from './bufferSmallBody.js';
import type { HeaderNames, HomeRequest } from './Types.js';

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
const { signal } = new AbortController();

/** HTTP response with the echoed request id and the signature. */
function answer(request: RawRequest, extra: string, body: string, status = '200 OK'): string {
  const id = request.header(names.requestId);
  return `HTTP/1.1 ${status}\r\nid: ${id}\r\nsignature: s\r\n${extra}\r\n${body}`;
}

/** Refusal of the request with this id. */
function refusal(id: string): string {
  return `HTTP/1.1 503 Service Unavailable\r\nid: ${id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n`;
}

/** Response to the request with this id, which expects another target. */
function misdirection(id: string): string {
  return `HTTP/1.1 421 Misdirected Request\r\nid: ${id}\r\ncontent-length: 0\r\n\r\n`;
}

function report(address: string, change: Partial<TargetReport> = {}): TargetReport {
  return {
    id: brandAs<TargetId>('t-1'),
    startedAt: 1_000,
    sequence: 1,
    service: brandAs<ServiceName>('catalogo'),
    address,
    slots: 2,
    state: 'ready',
    warmUp: 0,
    ...change,
  };
}

let count = 0;

function createRequest(change: Partial<HomeRequest> = {}): HomeRequest {
  count += 1;
  return {
    id: `r-${count}`,
    target: 't-1',
    incarnation: '1000',
    method: 'GET',
    path: '/x/1',
    headers: [
      ['host', 'h.example'],
      ['id', `r-${count}`],
    ],
    timeout: 2_000,
    maxQueueWait: 0,
    isForced: false,
    isTrial: false,
    isRetry: false,
    isIdempotent: false,
    rank: 1,
    route: 'listing',
    goal: 1_000,
    entry: 'd-2',
    version: 1,
    recordVersion: '1/1',
    ...change,
  };
}

/** Status and body of one request, or how it failed. */
async function run(home: Home, change: Partial<HomeRequest> = {}, body = ''): Promise<string> {
  try {
    const result = await home.run(createRequest(change), async () => Buffer.from(body), signal);
    const buffered = await bufferSmallBody(result.body, () => true);
    return `${result.status} ${(Buffer.isBuffer(buffered) ? buffered : await buffer(buffered)).toString()}`;
  } catch (error) {
    return error instanceof NotRunError ? `not run: ${error.reason}` : 'unknown';
  }
}

function afterDelay(action: () => void): void {
  setTimeout(action, 20);
}

describe('Home', () => {
  let target: RawTarget;
  let home: Home;
  let address: string;
  let mayExclude: boolean;

  beforeEach(async () => {
    mayExclude = true;
    target = new RawTarget((socket, request) => {
      socket.write(answer(request, 'content-length: 4\r\n', 'good'));
    });
    address = await target.listen();
    home = new Home({
      address,
      service: 'catalogo',
      names,
      clock: new SystemClock(),
      log: new MemoryLog(),
      retryLimits: () => ({ ratio: 0.2, slack: 3, window: 10 }),
      countTargets: () => 1,
      mayExclude: () => mayExclude,
      checkStart: () => {},
    });
    home.acceptAnnouncement(report(address));
  });

  afterEach(() => {
    home.dispose();
    target.dispose();
  });

  const cutAfterDelay =
    (extra: string, body: string, cut: (socket: Socket) => void): RawRequestHandler =>
    (socket, request) => {
      socket.write(answer(request, extra, body));
      afterDelay(() => cut(socket));
    };
  const responses: readonly {
    readonly name: string;
    readonly behaviour: RawRequestHandler;
    readonly result: string;
  }[] = [
    {
      name: 'forwards a complete response',
      behaviour: (socket, request) => socket.write(answer(request, 'content-length: 2\r\n', 'ok')),
      result: '200 ok',
    },
    {
      name: 'forwards a response that is delimited by closing the connection',
      behaviour: cutAfterDelay('', 'whole', (socket) => socket.end()),
      result: '200 whole',
    },
    {
      name: 'does not treat a reset as the end of a response without a length',
      behaviour: cutAfterDelay('', 'short', (socket) => socket.resetAndDestroy()),
      result: 'unknown',
    },
    {
      name: 'does not treat a reset that arrives with the data as the end of a response',
      behaviour: (socket, request) => {
        socket.write(answer(request, '', 'short'));
        socket.resetAndDestroy();
      },
      result: 'unknown',
    },
    {
      name: 'forwards a response whose connection is closed at once',
      behaviour: (socket, request) => socket.end(answer(request, '', 'whole')),
      result: '200 whole',
    },
    {
      name: 'does not treat a reset as the end of a chunked response with connection: close',
      behaviour: cutAfterDelay(
        'connection: close\r\ntransfer-encoding: chunked\r\n',
        '5\r\nshort\r\n',
        (socket) => socket.resetAndDestroy(),
      ),
      result: 'unknown',
    },
    {
      name: 'does not treat a close as the end of a chunked response',
      behaviour: cutAfterDelay('transfer-encoding: chunked\r\n', '5\r\nshort\r\n', (socket) =>
        socket.end(),
      ),
      result: 'unknown',
    },
    {
      name: 'does not treat a close as the end of a response with a length',
      behaviour: cutAfterDelay('content-length: 99\r\n', 'short', (socket) => socket.end()),
      result: 'unknown',
    },
    {
      name: 'does not forward a response with the id of another request',
      behaviour: (socket) =>
        socket.write(
          'HTTP/1.1 200 OK\r\nid: other\r\nsignature: s\r\ncontent-length: 3\r\n\r\nbad',
        ),
      result: 'unknown',
    },
    {
      name: 'does not forward a successful response without a signature',
      behaviour: (socket, request) =>
        socket.write(
          `HTTP/1.1 200 OK\r\nid: ${request.header('id')}\r\ncontent-length: 3\r\n\r\nbad`,
        ),
      result: 'unknown',
    },
    {
      name: 'does not forward a body with a content coding that was not requested',
      behaviour: (socket, request) =>
        socket.write(answer(request, 'content-encoding: gzip\r\ncontent-length: 3\r\n', 'bad')),
      result: 'unknown',
    },
    {
      name: 'does not forward data that is not an HTTP response',
      behaviour: (socket) => socket.write('garbage\r\n\r\n'),
      result: 'unknown',
    },
    {
      name: 'forwards an error response of the target',
      behaviour: (socket, request) =>
        socket.write(answer(request, 'content-length: 3\r\n', 'bad', '500 Internal Server Error')),
      result: '500 bad',
    },
    {
      name: 'reports not run if the target says that it did not run the request',
      behaviour: (socket, request) => socket.write(refusal(request.header('id'))),
      result: 'not run: queue-full',
    },
    {
      name: 'reports not run if the target is not the expected one',
      behaviour: (socket, request) => socket.write(misdirection(request.header('id'))),
      result: 'not run: queue-full',
    },
    {
      name: 'does not believe a refusal with the id of another request',
      behaviour: (socket) => socket.write(refusal('other')),
      result: 'unknown',
    },
    {
      name: 'does not believe a refusal without an id',
      behaviour: (socket) => socket.write(refusal('other').replace('id: other\r\n', '')),
      result: 'unknown',
    },
    {
      name: 'does not believe a 421 with the id of another request',
      behaviour: (socket) => socket.write(misdirection('other')),
      result: 'unknown',
    },
    {
      name: 'reports an unknown outcome for other 503 responses',
      behaviour: (socket) =>
        socket.write('HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n'),
      result: 'unknown',
    },
    { name: 'gives up at the timeout', behaviour: () => {}, result: 'unknown' },
  ];
  responses.forEach(({ name, behaviour, result }) => {
    it(name, async () => {
      target.handler = behaviour;
      expect(await run(home, { timeout: 200 })).to.equal(result);
    });
  });

  it('does not use a duplicated response for the next request', async () => {
    target.handler = (socket, request) => {
      const text = answer(request, 'content-length: 2\r\n', request.header('id').slice(2));
      socket.write(text);
      afterDelay(() => socket.write(text));
    };
    const waitForClosed = (closed: number): Promise<void> =>
      waitUntil(() => target.closedConnections === closed, 'the connection is closed');
    for (let index = 0; index < 5; index += 1) {
      const id = `r-${10 + index}`;
      const headers = [['id', id]] as const;
      const result = await run(home, { id, headers, isIdempotent: true });
      expect(result).to.equal(`200 ${10 + index}`);
      // The duplicate closes the idle connection, so that the next request goes to another one.
      await waitForClosed(index + 1);
    }
  });

  it('does not report not run because an earlier refusal is repeated on the kept connection', async () => {
    mayExclude = false;
    let earlier = '';
    target.handler = (socket, request) => {
      const id = request.header('id');
      if (earlier === '') earlier = refusal(id);
      // The second request runs; its own response would follow.
      socket.write(earlier);
    };
    expect(await run(home)).to.equal('not run: queue-full');
    expect(await run(home)).to.equal('unknown');
    expect(target.requests).to.have.length(2);
    target.handler = (socket, request) => {
      socket.write(answer(request, 'content-length: 4\r\n', 'good'));
    };
    expect(await run(home)).to.equal('200 good');
    expect(target.closedConnections).to.equal(1);
  });

  it('takes no head that stops at any byte for a response', async () => {
    mayExclude = false;
    const whole = 'HTTP/1.1 200 OK\r\nid: ID\r\nsignature: s\r\ncontent-length: 4\r\n\r\n';
    for (let length = 0; length < whole.length; length += 1) {
      target.handler = (socket, request) => {
        socket.end(whole.slice(0, length).replace('ID', request.header('id')));
      };
      expect(await run(home), whole.slice(0, length)).to.equal('unknown');
    }
  });

  it('sends the expected target and the timeout to the target', async () => {
    await run(home, { method: 'POST', timeout: 1_500 }, 'body');
    const [request] = target.requests;
    expect(request?.header('expected')).to.equal('t-1');
    expect(Number(request?.header('timeout'))).to.be.within(1_000, 1_500);
    expect(request?.body).to.equal('body');
  });

  const refusals: readonly {
    readonly name: string;
    readonly prepare: (home: Home, address: string) => void;
    readonly change?: Partial<HomeRequest>;
    readonly result: string;
  }[] = [
    {
      name: 'a draining target',
      prepare: (one, at) => one.acceptAnnouncement(report(at, { sequence: 2, state: 'draining' })),
      result: 'not run: draining',
    },
    {
      name: 'a deregistered target',
      prepare: (one) => one.removeTarget(brandAs<TargetId>('t-1'), 1_000),
      result: 'not run: not-home',
    },
    {
      name: 'a deregistered target after a late announcement',
      prepare: (one, at) => {
        one.removeTarget(brandAs<TargetId>('t-1'), 1_000);
        one.acceptAnnouncement(report(at, { sequence: 2 }));
      },
      result: 'not run: not-home',
    },
    {
      name: 'an earlier incarnation',
      prepare: (one, at) => one.acceptAnnouncement(report(at, { startedAt: 2_000 })),
      result: 'not run: not-home',
    },
    {
      name: 'a target of a stopping daemon',
      prepare: (one) => one.drain(),
      result: 'not run: draining',
    },
  ];
  refusals.forEach(({ name, prepare, change, result }) => {
    it(`sends nothing to ${name}`, async () => {
      prepare(home, address);
      expect(await run(home, change)).to.equal(result);
      expect(target.requests).to.have.length(0);
    });
  });

  const limitCases: readonly {
    readonly name: string;
    readonly respond: (request: RawRequest) => string;
    readonly rateLimit: number | undefined;
  }[] = [
    {
      name: 'reads the limit that a target names in an answer',
      respond: (request) => answer(request, 'rate-limit: 0.5\r\ncontent-length: 0\r\n', ''),
      rateLimit: 0.5,
    },
    {
      name: 'reads the limit that a target names in a refusal',
      respond: (request) =>
        refusal(request.header(names.requestId)).replace('not-run', 'rate-limit: 0.5\r\nnot-run'),
      rateLimit: 0.5,
    },
    {
      name: 'reads the limit that a target names in a failure',
      respond: (request) =>
        answer(request, 'rate-limit: 0.5\r\ncontent-length: 0\r\n', '', '500 Failed'),
      rateLimit: 0.5,
    },
    {
      name: 'ignores the limit in an extra response to another request',
      respond: () => refusal('r-0').replace('not-run', 'rate-limit: 0.5\r\nnot-run'),
      rateLimit: undefined,
    },
    {
      name: 'ignores a limit that is no number',
      respond: (request) => answer(request, 'rate-limit: -1\r\ncontent-length: 0\r\n', ''),
      rateLimit: undefined,
    },
  ];
  limitCases.forEach(({ name, respond, rateLimit }) => {
    it(name, async () => {
      target.handler = (socket, request) => socket.write(respond(request));
      await run(home);
      expect(home.rateLimit).to.equal(rateLimit);
    });
  });

  const leavingCases: readonly {
    readonly name: string;
    readonly respond: (request: RawRequest) => string;
    readonly prepare?: (one: Home, at: string) => void;
    readonly result: string;
  }[] = [
    {
      name: 'sends nothing more to a target that says in an answer that it leaves',
      respond: (request) => answer(request, 'leaving: 1\r\ncontent-length: 0\r\n', ''),
      result: 'not run: draining',
    },
    {
      name: 'sends nothing more to a target that says in a refusal that it leaves',
      respond: (request) =>
        refusal(request.header(names.requestId)).replace('not-run', 'leaving: 1\r\nnot-run'),
      result: 'not run: draining',
    },
    {
      name: 'sends nothing more to a leaving target that goes on announcing itself as ready',
      respond: (request) => answer(request, 'leaving: 1\r\ncontent-length: 0\r\n', ''),
      prepare: (one, at) => one.acceptAnnouncement(report(at, { sequence: 2 })),
      result: 'not run: draining',
    },
    {
      name: 'uses the next incarnation of a target that said it leaves',
      respond: (request) => answer(request, 'leaving: 1\r\ncontent-length: 0\r\n', ''),
      prepare: (one, at) => one.acceptAnnouncement(report(at, { startedAt: 2_000 })),
      result: '200 good',
    },
    {
      name: 'takes no extra response to another request for one of a leaving target',
      respond: () => refusal('r-0').replace('not-run', 'leaving: 1\r\nnot-run'),
      result: '200 good',
    },
  ];
  leavingCases.forEach(({ name, respond, prepare, result }) => {
    it(name, async () => {
      mayExclude = false;
      const { handler } = target;
      target.handler = (socket, request) => socket.write(respond(request));
      await run(home);
      target.handler = handler;
      prepare?.(home, address);
      const [listed] = home.publishedTargets;
      expect(listed?.state).to.equal(result === '200 good' ? 'ready' : 'draining');
      expect(await run(home, { incarnation: listed?.incarnation ?? '' })).to.equal(result);
    });
  });

  it('refuses the requests that are queued when the target says that it leaves', async () => {
    target.handler = (socket, request) => {
      afterDelay(() => {
        socket.write(answer(request, 'leaving: 1\r\ncontent-length: 0\r\n', ''));
      });
    };
    const results = await Promise.all(
      [1, 2, 3].map(() => run(home, { maxQueueWait: 1_000, isForced: true })),
    );
    expect(results).to.deep.equal(['200 ', '200 ', 'not run: draining']);
  });

  it('sends no more requests than a target says it takes', async () => {
    target.handler = (socket, request) => {
      socket.write(answer(request, 'rate-limit: 0.5\r\ncontent-length: 0\r\n', ''));
    };
    const results = [await run(home), await run(home), await run(home), await run(home)];
    expect(results).to.deep.equal(['200 ', '200 ', ...Array(2).fill('not run: queue-full')]);
    expect(target.requests).to.have.length(2);
  });

  const limitedReport = (interval: number, age: number): ConditionReport => ({
    target: brandAs<TargetId>('t-1'),
    age,
    condition: {
      running: 0,
      queued: 0,
      slots: 2,
      work: 100,
      sickness: -2,
      limit: { interval, wait: 0 },
    },
  });
  const adopted = [
    { name: 'takes over', reports: [limitedReport(2_000, 100)], result: 'not run: queue-full' },
    {
      name: 'does not take over an old',
      reports: [limitedReport(2_000, 60_000)],
      result: '200 good',
    },
    { name: 'does not take over an invalid', reports: [limitedReport(0, 0)], result: '200 good' },
  ];
  adopted.forEach(({ name, reports, result }) => {
    it(`${name} rate limit that another daemon knows, after its own restart`, async () => {
      target.handler = (socket, request) => {
        afterDelay(() => socket.write(answer(request, 'content-length: 4\r\n', 'good')));
      };
      home.adoptLimits(reports);
      const results = await Promise.all([run(home), run(home)]);
      expect(results).to.deep.equal(['200 good', result]);
    });
  });

  it('does not take over a rate limit that its target has lifted', async () => {
    await run(home);
    home.adoptLimits([limitedReport(2_000, 100)]);
    expect(home.rateLimit).to.equal(undefined);
  });

  it('lifts a rate limit with the next answer that names none', async () => {
    target.handler = (socket, request) => {
      socket.write(answer(request, 'rate-limit: 0.5\r\ncontent-length: 0\r\n', ''));
    };
    await run(home);
    expect(home.rateLimit).to.equal(0.5);
    target.handler = (socket, request) => {
      socket.write(answer(request, 'content-length: 0\r\n', ''));
    };
    expect([await run(home), await run(home), await run(home)]).to.deep.equal([
      '200 ',
      '200 ',
      '200 ',
    ]);
    expect(home.rateLimit).to.equal(undefined);
  });

  it('runs retries only within the retry budget', async () => {
    const change = { isRetry: true, isIdempotent: true };
    expect(await run(home, change)).to.equal('200 good');
    expect(await run(home, change)).to.equal('not run: limit');
    expect(target.requests).to.have.length(1);
  });

  const foreign = [
    { name: 'at another address', change: { address: '10.9.9.9:1', id: brandAs<TargetId>('t-9') } },
    {
      name: 'of another service',
      change: { service: brandAs<ServiceName>('pujas'), id: brandAs<TargetId>('t-9') },
    },
  ];
  foreign.forEach(({ name, change }) => {
    it(`rejects the announcement of a target ${name}`, () => {
      expect(home.acceptAnnouncement(report(address, change))).to.equal(false);
      expect(home.publishedTargets).to.have.length(1);
    });
  });

  it('reports not run when nothing listens at the address', async () => {
    target.dispose();
    expect(await run(home)).to.equal('not run: connect-failed');
  });

  it('logs a target that gets no requests, so that operators see capacity that is not used', () => {
    const clock = new VirtualClock();
    const log = new MemoryLog();
    const idle = new Home({
      address,
      service: 'catalogo',
      names,
      clock,
      log,
      retryLimits: () => ({ ratio: 0.2, slack: 3, window: 10 }),
      countTargets: () => 1,
      mayExclude: () => true,
      checkStart: () => {},
    });
    idle.acceptAnnouncement(report(address));
    clock.advance(2_500);
    idle.dispose();
    expect(log.messages.filter((message) => message === 'target gets no requests')).to.have.length(
      1,
    );
  });

  it('reports not run and keeps no slot when a request cannot be sent to the target', async () => {
    expect(await run(home, { headers: [['x', '\u2013']] })).to.equal('not run: bad-request');
    expect(home.conditions[0]?.[1].running).to.equal(0);
    expect(target.requests).to.deep.equal([]);
  });

  it('cancels the request at the target when the entry cancels it', async () => {
    target.handler = () => {};
    const abort = new AbortController();
    const result = home
      .run(createRequest(), async () => Buffer.alloc(0), abort.signal)
      .catch(() => 'cut');
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    abort.abort();
    expect(await result).to.equal('cut');
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    expect(target.closedConnections).to.equal(1);
  });
});
