import { expect } from 'chai';
import { CallHistory, expectedBody } from './CallHistory.js';

const drain = 2_500;

function answer(status: number, body = '', isSigned = status === 200) {
  return { status, body, isSigned };
}

describe('CallHistory', () => {
  const cases: readonly {
    readonly name: string;
    readonly play: (history: CallHistory) => void;
    readonly broken: number;
  }[] = [
    {
      name: 'a bid that ran once and was answered',
      play: (history) => {
        history.start('bid', 't', 1);
        history.answer('bid', answer(200, expectedBody('bid')));
      },
      broken: 0,
    },
    {
      name: 'a bid that ran twice',
      play: (history) => {
        history.start('bid', 't', 1);
        history.start('bid', 'u', 2);
      },
      broken: 1,
    },
    {
      name: 'a look-up that ran twice',
      play: (history) => {
        history.start('look-up', 't', 1);
        history.start('look-up', 'u', 2);
      },
      broken: 0,
    },
    {
      name: 'a refusal of what ran later',
      play: (history) => {
        history.answer('bid', answer(503));
        history.start('bid', 't', 1);
      },
      broken: 1,
    },
    {
      name: 'a refusal of what did not run',
      play: (history) => history.answer('bid', answer(503)),
      broken: 0,
    },
    {
      name: 'the answer of another request',
      play: (history) => {
        history.start('bid', 't', 1);
        history.answer('bid', answer(200, expectedBody('look-up')));
      },
      broken: 1,
    },
    {
      name: 'a short answer',
      play: (history) => {
        history.start('bid', 't', 1);
        history.answer('bid', answer(200, expectedBody('bid').slice(0, 500)));
      },
      broken: 1,
    },
    {
      name: 'an answer without the proof of a target',
      play: (history) => {
        history.start('bid', 't', 1);
        history.answer('bid', answer(200, expectedBody('bid'), false));
      },
      broken: 1,
    },
    {
      name: 'work that nobody asked for',
      play: (history) => history.start('forged', 't', 1),
      broken: 1,
    },
    {
      name: 'work for a target within the bound after its farewell',
      play: (history) => {
        history.leave('t', 1_000);
        history.start('bid', 't', 1_000 + drain);
      },
      broken: 0,
    },
    {
      name: 'work for a target later than that',
      play: (history) => {
        history.leave('t', 1_000);
        history.start('bid', 't', 1_001 + drain);
      },
      broken: 1,
    },
    {
      name: 'no route for a path that all configurations know',
      play: (history) => history.answer('bid', answer(404)),
      broken: 1,
    },
  ];
  cases.forEach(({ name, play, broken }) => {
    it(`finds ${broken} broken in: ${name}`, () => {
      const history = new CallHistory(drain);
      history.ask('bid', false);
      history.ask('look-up', true);
      play(history);
      expect(history.violations()).to.have.length(broken);
    });
  });
});
