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
    {
      name: 'does not hedge a bid, which is not idempotent',
      change: { isIdempotent: false },
      result: left('not-idempotent'),
    },
    {
      name: 'does not hedge a route with too few samples',
      change: { route: 'new' },
      result: left('not-learned'),
    },
    { name: 'does not hedge long requests', change: { route: 'download' }, result: left('long') },
    {
      name: 'does not hedge without enough time for a second answer',
      change: { timeout: 15 },
      result: left('deadline'),
    },
    { name: 'does not hedge when disabled', change: {}, isEnabled: false, result: left('off') },
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
