import { expect } from 'chai';
import { left, right } from 'fp-ts/lib/Either.js';
import { brandAs, type RequestId, type ServiceName } from '../base/index.js';
import type { RequestContext } from '../services/Types.js';
import { HedgePolicy } from './HedgePolicy.js';

const context: RequestContext = {
  id: brandAs<RequestId>('r'),
  service: brandAs<ServiceName>('catalogo'),
  route: 'listing',
  workClass: 'interactive',
  isIdempotent: true,
  timeout: 1000,
};

describe('HedgePolicy', () => {
  const cases = [
    { name: 'hedges after the learned quantile', change: {}, result: right(10) },
    { name: 'runs no bid twice', change: { isIdempotent: false }, result: left('not-idempotent') },
    { name: 'waits for evidence', change: { route: 'new' }, result: left('not-learned') },
    { name: 'copies no long work', change: { route: 'download' }, result: left('long') },
    { name: 'leaves time for the copy', change: { timeout: 15 }, result: left('deadline') },
    { name: 'stays off', change: {}, isEnabled: false, result: left('off') },
  ];
  cases.forEach(({ name, change, isEnabled = true, result }) => {
    it(name, () => {
      const policy = new HedgePolicy({
        isEnabled: () => isEnabled,
        isLong: (route) => route === 'download',
      });
      for (let index = 0; index < 60; index += 1) {
        policy.record('listing', 10);
        policy.record('download', 10);
      }
      expect(policy.delayFor({ ...context, ...change })).to.deep.equal(result);
    });
  });
});
