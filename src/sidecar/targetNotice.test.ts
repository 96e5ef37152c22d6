import { expect } from 'chai';
import type { HeaderPair } from '../common/dispatch/Types.js';
import { readTargetNotice } from './targetNotice.js';

const names = { rateLimit: 'rate-limit', leaving: 'leaving' };

describe('readTargetNotice', () => {
  const limits: readonly {
    readonly value: string | undefined;
    readonly rateLimit?: number;
    readonly invalidLimit?: string;
  }[] = [
    { value: undefined },
    { value: '3', rateLimit: 3 },
    { value: ' 2.75 ', rateLimit: 2.75 },
    { value: '0', rateLimit: 0 },
    { value: '100000000', rateLimit: 100_000_000 },
    { value: '-1', invalidLimit: '-1' },
    { value: '1e3', invalidLimit: '1e3' },
    { value: 'NaN', invalidLimit: 'NaN' },
    { value: '', invalidLimit: '' },
    { value: '9'.repeat(400), invalidLimit: '9'.repeat(400) },
  ];
  const leaving = [
    { value: '1', isLeaving: true },
    { value: '0', isLeaving: false },
    { value: '', isLeaving: false },
    { value: undefined, isLeaving: false },
  ];
  leaving.forEach(({ value, isLeaving }) => {
    it(`takes the value ${String(value)} for ${isLeaving ? 'a target that leaves' : 'one that stays'}`, () => {
      const headers: HeaderPair[] = value === undefined ? [] : [['Leaving', value]];
      expect(readTargetNotice(headers, names).isLeaving).to.equal(isLeaving);
    });
  });

  limits.forEach(({ value, rateLimit, invalidLimit }) => {
    it(`reads the limit ${value?.slice(0, 20) ?? 'of a response without one'}`, () => {
      const headers: HeaderPair[] = value === undefined ? [] : [['Rate-Limit', value]];
      const notice = readTargetNotice(headers, names);
      expect({ ...notice }).to.include({ rateLimit, invalidLimit });
    });
  });
});
