import { expect } from 'chai';
import { CallHistory, expectedBody } from './CallHistory.js';

const drainMs = 2_500;

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
        history.recordResponse('bid', response(200, expectedBody('bid')));
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
        history.recordResponse('bid', response(503));
        history.recordStart('bid', 't', 1);
      },
      violations: 1,
    },
    {
      name: 'a rejected request that did not run',
      record: (history) => history.recordResponse('bid', response(503)),
      violations: 0,
    },
    {
      name: 'the response to another request',
      record: (history) => {
        history.recordStart('bid', 't', 1);
        history.recordResponse('bid', response(200, expectedBody('look-up')));
      },
      violations: 1,
    },
    {
      name: 'a truncated response',
      record: (history) => {
        history.recordStart('bid', 't', 1);
        history.recordResponse('bid', response(200, expectedBody('bid').slice(0, 500)));
      },
      violations: 1,
    },
    {
      name: 'a response without the signature of a target',
      record: (history) => {
        history.recordStart('bid', 't', 1);
        history.recordResponse('bid', response(200, expectedBody('bid'), false));
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
        history.recordStart('bid', 't', 1_000 + drainMs);
      },
      violations: 0,
    },
    {
      name: 'a request to a target after that limit',
      record: (history) => {
        history.recordDrain('t', 1_000);
        history.recordStart('bid', 't', 1_001 + drainMs);
      },
      violations: 1,
    },
    {
      name: 'a 404 for a path that every configuration routes',
      record: (history) => history.recordResponse('bid', response(404)),
      violations: 1,
    },
  ];
  cases.forEach(({ name, record, violations }) => {
    it(`finds ${violations} violations in: ${name}`, () => {
      const history = new CallHistory(drainMs);
      history.recordRequest('bid', false);
      history.recordRequest('look-up', true);
      record(history);
      expect(history.violations()).to.have.length(violations);
    });
  });
});
