import { expect } from 'chai';
import {
  brandAs,
  NotRunError,
  OutcomeUnknownError,
  VirtualClock,
  type DaemonId,
  type Fingerprint,
  type Incarnation,
  type OperationKey,
} from '../base/index.js';
import { textHash } from '../../bench/operations/textHash.js';
import { AuthorityClient } from './AuthorityClient.js';
import type { AuthorityMember, OperationResult } from './Types.js';

const refused = new NotRunError('connect-failed', 'refused', { step: 'test' });
const lost = new OutcomeUnknownError('reset', { step: 'test' });
const moved: OperationResult = { outcome: 'moved' };
const done: OperationResult = { outcome: 'done', isReplayed: false };
const issued = 'issued.b.2-x.1.sig';

function member(id: string, incarnation = '2-x'): AuthorityMember {
  const ids = { id: brandAs<DaemonId>(id), incarnation: brandAs<Incarnation>(incarnation) };
  return { ...ids, isLive: true, ranges: [] };
}

describe('AuthorityClient', () => {
  const cases: readonly {
    name: string;
    key?: string;
    peer?: string;
    isFirstAttempt: boolean;
    answers: readonly (OperationResult | Error)[];
    expected: string;
  }[] = [
    {
      name: 'answers not-run if no daemon received a first request',
      isFirstAttempt: true,
      answers: [refused],
      expected: 'not-run',
    },
    {
      name: 'does not answer not-run to a resend that no daemon received',
      isFirstAttempt: false,
      answers: [refused],
      expected: 'unknown',
    },
    {
      name: 'does not answer not-run after one answer was lost',
      isFirstAttempt: true,
      answers: [lost, refused],
      expected: 'unknown',
    },
    {
      name: 'asks the next daemon when the owner has changed',
      isFirstAttempt: false,
      answers: [moved, done],
      expected: 'done',
    },
    {
      name: 'asks again after a lost answer',
      isFirstAttempt: false,
      answers: [lost, done],
      expected: 'done',
    },
    {
      name: 'answers unknown for an issued key whose issuer has ended',
      key: issued,
      peer: '3-x',
      isFirstAttempt: false,
      answers: [],
      expected: 'unknown',
    },
    {
      name: 'waits for an issuer that cannot be reached',
      key: issued,
      isFirstAttempt: false,
      answers: [refused, done],
      expected: 'done',
    },
  ];
  cases.forEach(({ name, key = 'own', peer = '2-x', isFirstAttempt, answers, expected }) => {
    it(name, async () => {
      const clock = new VirtualClock();
      const queue = [...answers];
      const answer = (): Promise<OperationResult> => {
        const next = queue.length > 1 ? queue.shift() : queue[0];
        return next instanceof Error ? Promise.reject(next) : Promise.resolve(next ?? moved);
      };
      const client = new AuthorityClient<undefined>({
        clock,
        view: () => ({ self: member('a'), others: [member('b', peer)], hash: textHash }),
        executeLocally: () => Promise.resolve(moved),
        executeAt: answer,
      });
      const running = client.execute({
        key: brandAs<OperationKey>(key),
        fingerprint: brandAs<Fingerprint>('f'),
        deadline: 3000,
        isFirstAttempt,
        payload: undefined,
      });
      await clock.advanceAsync(3500);
      expect((await running).outcome).to.equal(expected);
    });
  });
});
