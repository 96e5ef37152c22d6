import { expect } from 'chai';
import {
  brandAs,
  VirtualClock,
  type DaemonId,
  type Incarnation,
  type OperationKey,
} from '../base/index.js';
import { KeyIssuer } from './KeyIssuer.js';

const hour = 3600 * 1000;

function createIssuer(clock: VirtualClock, incarnation = '1-a'): KeyIssuer {
  return new KeyIssuer(clock, {
    daemon: brandAs<DaemonId>('gam-a.1'),
    incarnation: brandAs<Incarnation>(incarnation),
    lifetime: hour,
    sign: (text) => `s${text.length}`,
  });
}

describe('KeyIssuer', () => {
  const key = createIssuer(new VirtualClock()).issue();
  const cases = [
    { name: 'accepts a key that it issued', key, incarnation: '1-a', expected: true },
    {
      name: 'rejects a key of a former incarnation, whose operations it does not know',
      key,
      incarnation: '2-a',
      expected: false,
    },
    {
      name: 'rejects a forged key, which would read the answer of another caller',
      key: brandAs<OperationKey>(key.replace('.1.', '.9.').replace(/.$/, 'x')),
      incarnation: '1-a',
      expected: false,
    },
    {
      name: 'rejects a key that a caller chose',
      key: brandAs<OperationKey>('3f6c'),
      incarnation: '1-a',
      expected: false,
    },
  ];
  cases.forEach(({ name, key: given, incarnation, expected }) => {
    it(name, () => {
      expect(createIssuer(new VirtualClock(), incarnation).hasIssued(given)).to.equal(expected);
    });
  });

  it('expires a key by its counter after the lifetime without expiring a later key', () => {
    const clock = new VirtualClock();
    const issuer = createIssuer(clock);
    const old = issuer.issue();
    clock.advance(hour - 1);
    const young = issuer.issue();
    expect(issuer.isExpired(old)).to.equal(false);
    clock.advance(61_000);
    expect([issuer.isExpired(old), issuer.isExpired(young)]).to.deep.equal([true, false]);
    clock.advance(2 * hour);
    expect(issuer.isExpired(young)).to.equal(true);
  });
});
