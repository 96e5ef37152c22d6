import { expect } from 'chai';
import { brandAs, NotRunError, type AccountId, type OperationKey } from '../api/index.js';
import type { OperationResult } from '../common/operations/index.js';
import { findHeader, outcomeHeader } from './Headers.js';
import { answerOf, scopeKey } from './OperationHttpHandler.js';

describe('OperationHttpHandler', () => {
  const own = brandAs<OperationKey>('k');
  const issued = brandAs<OperationKey>('issued.a.1-x.1.sig');
  const scopes = [
    { name: 'keeps the same key of two accounts apart', key: own, isSame: false },
    {
      name: 'does not change an issued key, from which its issuer is found',
      key: issued,
      isSame: true,
    },
  ];
  scopes.forEach(({ name, key, isSame }) => {
    it(name, () => {
      const [left, right] = ['x', 'y'].map((account) => scopeKey(key, brandAs<AccountId>(account)));
      expect(left === right).to.equal(isSame);
    });
  });

  const body = new Uint8Array();
  const answers: readonly { result: OperationResult; status: number; outcome?: string }[] = [
    {
      result: { outcome: 'done', isReplayed: true, answer: { status: 201, headers: [], body } },
      status: 201,
      outcome: 'done',
    },
    { result: { outcome: 'done', isReplayed: true }, status: 409, outcome: 'done' },
    { result: { outcome: 'unknown', message: '' }, status: 409, outcome: 'unknown' },
    { result: { outcome: 'pending', message: '' }, status: 409, outcome: 'pending' },
    { result: { outcome: 'mismatch' }, status: 422 },
  ];
  answers.forEach(({ result, status, outcome }) => {
    it(`answers ${result.outcome} with ${status} and the matching outcome header`, () => {
      const answer = answerOf(result);
      expect(answer.status).to.equal(status);
      expect(findHeader(answer.headers, outcomeHeader)).to.equal(outcome);
    });
  });

  it('answers a refusal as not run', () => {
    const refuse = (): unknown =>
      answerOf({ outcome: 'not-run', reason: 'store-away', message: '' });
    expect(refuse).to.throw(NotRunError);
  });
});
