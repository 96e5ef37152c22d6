import { expect } from 'chai';
import { HistoryChecker } from './HistoryChecker.js';
import type { HistoryEvent } from './Types.js';

const key = 'k';

function sent(attempt: number, at: number, content = 'c'): HistoryEvent {
  return { type: 'sent', at, attempt, key, content };
}

function started(attempt: number, at: number): HistoryEvent {
  return { type: 'started', at, attempt, key, target: 't' };
}

function answered(attempt: number, at: number, outcome: string, content?: string): HistoryEvent {
  return { type: 'answered', at, attempt, key, outcome, content };
}

describe('HistoryChecker', () => {
  const cases: readonly { name: string; events: HistoryEvent[]; rules: readonly string[] }[] = [
    {
      name: 'accepts a resend that gets the recorded answer',
      events: [
        sent(1, 1),
        started(1, 2),
        sent(2, 3),
        answered(1, 4, 'done', 'c'),
        answered(2, 5, 'done', 'c'),
      ],
      rules: [],
    },
    {
      name: 'accepts a refusal before a later attempt starts',
      events: [sent(1, 1), answered(1, 2, 'not-run'), sent(2, 3), started(2, 4)],
      rules: [],
    },
    {
      name: 'accepts a refusal while another attempt starts concurrently',
      events: [sent(1, 1), sent(2, 2), started(1, 3), answered(2, 4, 'not-run')],
      rules: [],
    },
    {
      name: 'reports a second start',
      events: [sent(1, 1), started(1, 2), started(1, 3)],
      rules: ['started-twice'],
    },
    {
      name: 'reports a refusal of an attempt that was sent after the operation had started',
      events: [sent(1, 1), started(1, 2), sent(2, 3), answered(2, 4, 'not-run')],
      rules: ['false-not-run'],
    },
    {
      name: 'reports a start after the refusal of the same attempt',
      events: [sent(1, 1), answered(1, 2, 'not-run'), started(1, 3)],
      rules: ['false-not-run'],
    },
    {
      name: 'reports the answer of another request',
      events: [sent(1, 1), started(1, 2), sent(2, 3, 'd'), answered(2, 4, 'done', 'c')],
      rules: ['wrong-answer'],
    },
    {
      name: 'reports an answer to a request that was never sent',
      events: [answered(9, 1, 'unknown')],
      rules: ['wrong-answer'],
    },
  ];
  cases.forEach(({ name, events, rules }) => {
    it(name, () => {
      const checker = new HistoryChecker();
      events.forEach((event) => checker.add(event));
      expect(checker.check().map(({ rule }) => rule)).to.deep.equal(rules);
    });
  });
});
