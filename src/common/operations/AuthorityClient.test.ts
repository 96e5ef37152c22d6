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
import { textHash } from '../../bench/operations/TestHash.js';
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
    isFirst: boolean;
    answers: readonly (OperationResult | Error)[];
    expected: string;
  }[] = [
    {
      name: 'says not run when nobody got a first request',
      isFirst: true,
      answers: [refused],
      expected: 'not-run',
    },
    {
      name: 'does not say not run of a resend that nobody got',
      isFirst: false,
      answers: [refused],
      expected: 'unknown',
    },
    {
      name: 'does not say not run after one delivery was lost',
      isFirst: true,
      answers: [lost, refused],
      expected: 'unknown',
    },
    {
      name: 'asks the next daemon when the owner has changed',
      isFirst: false,
      answers: [moved, done],
      expected: 'done',
    },
    {
      name: 'asks again after a lost answer',
      isFirst: false,
      answers: [lost, done],
      expected: 'done',
    },
    {
      name: 'says unknown for an issued key whose issuer has ended',
      key: issued,
      peer: '3-x',
      isFirst: false,
      answers: [],
      expected: 'unknown',
    },
    {
      name: 'waits for an issuer that cannot be reached',
      key: issued,
      isFirst: false,
      answers: [refused, done],
      expected: 'done',
    },
  ];
  cases.forEach(({ name, key = 'own', peer = '2-x', isFirst, answers, expected }) => {
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
        isFirstAttempt: isFirst,
        payload: undefined,
      });
      await clock.advanceAsync(3500);
      expect((await running).outcome).to.equal(expected);
    });
  });
});
