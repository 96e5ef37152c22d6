import { expect } from 'chai';
import { CallHistory, expectedBody } from './CallHistory.js';

const drain = 2_500;
const grace = 6_000;
const bounds = {
  drain,
  grace,
  lossSlack: 200,
  stableWindow: 3_000,
  reloadWindow: 2_500,
};
/** Time of SIGTERM in the histories below, in milliseconds. */
const stopped = 100_000;

function response(status: number, body = '', isSigned = status === 200) {
  return { status, body, isSigned };
}

describe('CallHistory', () => {
  const cases: readonly {
    readonly name: string;
    readonly record: (history: CallHistory) => void;
    readonly violations: number;
  }[] = [
    {
      name: 'a non-idempotent request that ran once and got a response',
      record: (history) => {
        history.recordStart('bid', 't', 1);
        history.recordResponse('bid', response(200, expectedBody('bid')), 2);
      },
      violations: 0,
    },
    {
      name: 'a non-idempotent request that ran twice',
      record: (history) => {
        history.recordStart('bid', 't', 1);
        history.recordStart('bid', 'u', 2);
      },
      violations: 1,
    },
    {
      name: 'an idempotent request that ran twice',
      record: (history) => {
        history.recordStart('look-up', 't', 1);
        history.recordStart('look-up', 'u', 2);
      },
      violations: 0,
    },
    {
      name: 'a rejected request that ran later',
      record: (history) => {
        history.recordResponse('bid', response(503), 2);
        history.recordStart('bid', 't', 1);
      },
      violations: 1,
    },
    {
      name: 'a rejected request that did not run',
      record: (history) => history.recordResponse('bid', response(503), 2),
      violations: 0,
    },
    {
      name: 'the response to another request',
      record: (history) => {
        history.recordStart('bid', 't', 1);
        history.recordResponse('bid', response(200, expectedBody('look-up')), 2);
      },
      violations: 1,
    },
    {
      name: 'a truncated response',
      record: (history) => {
        history.recordStart('bid', 't', 1);
        history.recordResponse('bid', response(200, expectedBody('bid').slice(0, 500)), 2);
      },
      violations: 1,
    },
    {
      name: 'a response without the signature of a target',
      record: (history) => {
        history.recordStart('bid', 't', 1);
        history.recordResponse('bid', response(200, expectedBody('bid'), false), 2);
      },
      violations: 1,
    },
    {
      name: 'a request that no caller sent',
      record: (history) => history.recordStart('forged', 't', 1),
      violations: 1,
    },
    {
      name: 'a request to a target within the limit after its drain announcement',
      record: (history) => {
        history.recordDrain('t', 1_000);
        history.recordStart('bid', 't', 1_000 + drain);
      },
      violations: 0,
    },
    {
      name: 'a request to a target after that limit',
      record: (history) => {
        history.recordDrain('t', 1_000);
        history.recordStart('bid', 't', 1_001 + drain);
      },
      violations: 1,
    },
    {
      name: 'a 404 for a path that every configuration routes',
      record: (history) => history.recordResponse('bid', response(404), 2),
      violations: 1,
    },
  ];
  cases.forEach(({ name, record, violations }) => {
    it(`finds ${violations} violations in: ${name}`, () => {
      const history = new CallHistory(bounds);
      const call = { vm: 'v', timeout: 2_000 };
      history.recordRequest('bid', { isIdempotent: false, ...call });
      history.recordRequest('look-up', { isIdempotent: true, ...call });
      record(history);
      expect(history.violations()).to.have.length(violations);
    });
  });

  /** History of one request to the VM `v` that gets SIGTERM at `stopped`; times are relative to that. */
  interface LossCase {
    readonly name: string;
    readonly sentAt: number | undefined;
    readonly end: { readonly type: 'truncated' | 'closed' | 'gave-up' | 502; readonly at: number };
    readonly timeout?: number;
    readonly run?: {
      readonly from: number;
      readonly end?: {
        readonly type: 'answered' | 'broken-off' | 'dropped';
        readonly at: number;
      };
    };
    readonly events?: readonly {
      readonly type: 'stop' | 'reload' | 'fault';
      readonly vm: string;
      readonly from: number;
      readonly to?: number;
    }[];
    readonly violations: 0 | 1;
  }
  const stop: NonNullable<LossCase['events']>[number] = { type: 'stop', vm: 'v', from: 0 };
  const lossCases: readonly LossCase[] = [
    {
      name: 'a request sent after SIGTERM that no target ran and whose connection was closed in the end',
      sentAt: 800,
      end: { type: 'closed', at: 5_700 },
      violations: 1,
    },
    {
      name: 'a request sent before SIGTERM that was closed unanswered',
      sentAt: -1_000,
      end: { type: 'closed', at: 1_000 },
      violations: 1,
    },
    {
      name: 'an answer that ended early after SIGTERM',
      sentAt: 800,
      end: { type: 'truncated', at: 2_000 },
      run: { from: 900, end: { type: 'answered', at: 1_900 } },
      violations: 1,
    },
    {
      name: 'a request that a target ran and whose connection was closed at once',
      sentAt: 800,
      end: { type: 'closed', at: 900 },
      run: { from: 850 },
      violations: 1,
    },
    {
      name: 'a request that crossed the close of its connection and did not run',
      sentAt: 2_700,
      end: { type: 'closed', at: 2_900 },
      violations: 0,
    },
    {
      name: 'a request closed unanswered later than a crossing lasts',
      sentAt: 2_700,
      end: { type: 'closed', at: 2_901 },
      violations: 1,
    },
    {
      name: 'a request that was not written whole',
      sentAt: undefined,
      end: { type: 'closed', at: 5_700 },
      violations: 0,
    },
    {
      name: 'a caller that gave up',
      sentAt: 800,
      end: { type: 'gave-up', at: 5_700 },
      violations: 0,
    },
    {
      name: 'a request closed when its timeout had passed',
      sentAt: 800,
      end: { type: 'closed', at: 2_800 },
      timeout: 2_000,
      violations: 0,
    },
    {
      name: 'a request closed before its timeout had passed',
      sentAt: 800,
      end: { type: 'closed', at: 2_799 },
      timeout: 2_000,
      violations: 1,
    },
    {
      name: 'a target at work in the last sixth of grace on a request sent early',
      sentAt: 3_000,
      end: { type: 'closed', at: 5_700 },
      run: { from: 3_100 },
      violations: 0,
    },
    {
      name: 'a target that was dropped in the last sixth of grace',
      sentAt: 1_000,
      end: { type: 'closed', at: 5_000 },
      run: { from: 1_100, end: { type: 'dropped', at: 5_000 } },
      violations: 0,
    },
    {
      name: 'a target at work in the last sixth of grace on a request sent late',
      sentAt: 3_001,
      end: { type: 'closed', at: 5_700 },
      run: { from: 3_100 },
      violations: 1,
    },
    {
      name: 'a request cut before the last sixth of grace though its target was at work',
      sentAt: 1_000,
      end: { type: 'closed', at: 4_999 },
      run: { from: 1_100 },
      violations: 1,
    },
    {
      name: 'a request cut after its target had answered before the last sixth of grace',
      sentAt: 1_000,
      end: { type: 'closed', at: 5_700 },
      run: { from: 1_100, end: { type: 'answered', at: 4_999 } },
      violations: 1,
    },
    {
      name: 'a target that broke off the request itself',
      sentAt: 1_000,
      end: { type: 'closed', at: 1_500 },
      run: { from: 1_100, end: { type: 'broken-off', at: 1_400 } },
      violations: 0,
    },
    {
      name: 'an unplanned fault at the VM while the request ran',
      sentAt: 800,
      end: { type: 'closed', at: 5_700 },
      events: [stop, { type: 'fault', vm: 'v', from: 5_000 }],
      violations: 0,
    },
    {
      name: 'an unplanned fault at the VM that ended shortly before the request',
      sentAt: 800,
      end: { type: 'closed', at: 5_700 },
      events: [stop, { type: 'fault', vm: 'v', from: -5_000, to: -2_200 }],
      violations: 0,
    },
    {
      name: 'an unplanned fault at the VM long before the request',
      sentAt: 800,
      end: { type: 'closed', at: 5_700 },
      events: [stop, { type: 'fault', vm: 'v', from: -5_000, to: -2_201 }],
      violations: 1,
    },
    {
      name: 'an unplanned fault at another VM',
      sentAt: 800,
      end: { type: 'closed', at: 5_700 },
      events: [stop, { type: 'fault', vm: 'w', from: 800 }],
      violations: 1,
    },
    {
      name: 'the stop of another VM only',
      sentAt: 800,
      end: { type: 'closed', at: 5_700 },
      events: [{ type: 'stop', vm: 'w', from: 0 }],
      violations: 0,
    },
    {
      name: 'a request closed by SIGKILL after the grace period',
      sentAt: 800,
      end: { type: 'closed', at: 7_000 },
      violations: 1,
    },
    {
      name: 'a request closed long after the stop',
      sentAt: 800,
      end: { type: 'closed', at: 7_001 },
      violations: 0,
    },
    {
      name: 'a request closed unanswered after a reload',
      sentAt: 2_500,
      end: { type: 'closed', at: 5_700 },
      events: [{ type: 'reload', vm: 'v', from: 0 }],
      violations: 1,
    },
    {
      name: 'a request sent long after a reload',
      sentAt: 2_501,
      end: { type: 'closed', at: 5_700 },
      events: [{ type: 'reload', vm: 'v', from: 0 }],
      violations: 0,
    },
    {
      name: 'a failure in place of the answer of a target that was at work',
      sentAt: 800,
      end: { type: 502, at: 4_000 },
      run: { from: 900, end: { type: 'dropped', at: 3_999 } },
      violations: 1,
    },
    {
      name: 'such a failure in the last sixth of grace',
      sentAt: 800,
      end: { type: 502, at: 5_500 },
      run: { from: 900, end: { type: 'dropped', at: 5_499 } },
      violations: 0,
    },
    {
      name: 'such a failure beside the stop of the VM of the target',
      sentAt: 800,
      end: { type: 502, at: 4_000 },
      run: { from: 900, end: { type: 'dropped', at: 3_999 } },
      events: [stop, { type: 'stop', vm: 'w', from: -2_000 }],
      violations: 0,
    },
    {
      name: 'a failure after the target had broken off',
      sentAt: 800,
      end: { type: 502, at: 4_000 },
      run: { from: 900, end: { type: 'broken-off', at: 3_999 } },
      violations: 0,
    },
    {
      name: 'a failure though no target ran the request',
      sentAt: 800,
      end: { type: 502, at: 4_000 },
      violations: 0,
    },
  ];
  lossCases.forEach(({ name, sentAt, end, timeout = 10_000, run, events = [stop], violations }) => {
    it(`finds ${violations} lost requests around planned work in: ${name}`, () => {
      const history = new CallHistory(bounds);
      history.recordRequest('bid', { isIdempotent: false, vm: 'v', timeout });
      events.forEach(({ type, vm, from, to = from }) => {
        history.recordEvent(type, vm, stopped + from, stopped + to);
      });
      if (sentAt !== undefined) history.recordSent('bid', stopped + sentAt);
      if (run !== undefined) history.recordStart('bid', 't', stopped + run.from);
      if (run?.end !== undefined) {
        history.recordRunEnd('bid', 't', run.end.type, stopped + run.end.at);
      }
      const endedAt = stopped + end.at;
      if (end.type === 502) history.recordResponse('bid', response(502), endedAt);
      else history.recordEnd('bid', end.type, endedAt);
      expect(history.violations()).to.have.length(violations);
    });
  });

  it('reports a daemon that ended by itself', () => {
    const history = new CallHistory(bounds);
    history.recordFailure('the daemon ended by itself');
    expect(history.violations()).to.have.length(1);
  });
});
