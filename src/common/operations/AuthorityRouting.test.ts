import { expect } from 'chai';
import { brandAs, type DaemonId, type Incarnation, type OperationKey } from '../base/index.js';
import { textHash } from '../../bench/operations/textHash.js';
import { locateAuthority } from './AuthorityRouting.js';
import { preferredOwner, rangeOf } from './KeyRanges.js';
import type { AuthorityMember } from './Types.js';

const callerKey = brandAs<OperationKey>('my-key');
const range = rangeOf(callerKey, textHash);
const issuedKey = brandAs<OperationKey>('issued.b.2-x.1.sig');

function member(id: string, changes: Partial<AuthorityMember> = {}): AuthorityMember {
  return {
    id: brandAs<DaemonId>(id),
    incarnation: brandAs<Incarnation>('2-x'),
    isLive: true,
    ranges: [],
    ...changes,
  };
}

function describeLocation(
  key: OperationKey,
  others: readonly AuthorityMember[],
  excluded: readonly string[] = [],
): string {
  const view = { self: member('a'), others, hash: textHash };
  const location = locateAuthority(key, view, new Set(excluded.map(brandAs<DaemonId>)));
  return location.type === 'member' ? location.member.id : location.type;
}

describe('locateAuthority', () => {
  const ids = ['a', 'b', 'c'].map(brandAs<DaemonId>);
  const candidate = preferredOwner(range, ids, textHash);
  const later = member('b', { incarnation: brandAs<Incarnation>('3-x') });
  const former = member('b', { incarnation: brandAs<Incarnation>('1-x') });
  const cases = [
    { name: 'an issued key to its issuer', key: issuedKey, others: [member('b')], expected: 'b' },
    {
      name: 'no key to a later incarnation of its issuer, which does not know what ran',
      key: issuedKey,
      others: [later],
      expected: 'ended',
    },
    {
      name: 'no key to an earlier incarnation of its issuer while the later one is not known here',
      key: issuedKey,
      others: [former],
      expected: 'away',
    },
    { name: 'no key to an unknown issuer', key: issuedKey, others: [], expected: 'away' },
    {
      name: "a caller's key to the daemon that owns its range",
      key: callerKey,
      others: [member('b', { ranges: [range] }), member('c')],
      expected: 'b',
    },
    {
      name: "a caller's key to a suspect owner rather than to a daemon that owns nothing",
      key: callerKey,
      others: [member('b', { ranges: [range], isLive: false }), member('c')],
      expected: 'b',
    },
    {
      name: "a caller's key to a live owner rather than a suspect one",
      key: callerKey,
      others: [member('b', { ranges: [range], isLive: false }), member('c', { ranges: [range] })],
      expected: 'c',
    },
    {
      name: "a caller's key of a range without an owner to the preferred owner",
      key: callerKey,
      others: [member('b'), member('c')],
      expected: candidate === 'a' ? 'self' : candidate,
    },
    {
      name: "a caller's key past a daemon that has just answered that it is not the owner",
      key: callerKey,
      others: [member('b', { ranges: [range] })],
      excluded: ['b'],
      expected: 'self',
    },
  ];
  cases.forEach(({ name, key, others, excluded, expected }) => {
    it(`sends ${name}`, () => {
      expect(describeLocation(key, others, excluded)).to.equal(expected);
    });
  });
});
