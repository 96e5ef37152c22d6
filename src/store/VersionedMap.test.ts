import { expect } from 'chai';
import { VersionedMap } from './VersionedMap.js';

const singleKey = (key: string): { key: string; end: string } => ({ key, end: '' });
const query = (revision: number): Parameters<VersionedMap['range']>[0] => ({
  key: 'a',
  end: '\0',
  limit: 0,
  revision,
});

function fill(map: VersionedMap, count: number): void {
  for (let index = 0; index < count; index += 1) {
    map.put('a', new Uint8Array([index]), '0');
    map.commit();
  }
}

describe('VersionedMap', () => {
  it('reads a past revision unchanged by later writes, so that the pages of a read match', () => {
    const map = new VersionedMap();
    fill(map, 1);
    const { revision } = map;
    map.put('b', new Uint8Array([9]), '0');
    map.delete(singleKey('a'));
    map.commit();
    expect(map.range(query(revision)).entries.map(({ key }) => key)).to.deep.equal(['a']);
    expect(map.range(query(0)).entries.map(({ key }) => key)).to.deep.equal(['b']);
  });

  it('compacts old changes, so that the log stays bounded, and rejects reads of them', () => {
    const map = new VersionedMap(10);
    fill(map, 21);
    expect(map.changesFrom(0, singleKey('a'))).to.have.length(10);
    expect(() => map.range(query(map.compactRevision - 1))).to.throw(/compacted/);
    expect(map.find('a')?.version).to.equal(21);
  });

  it('keeps all changes of a transaction that straddles the compaction boundary', () => {
    const map = new VersionedMap(1);
    ['a', 'b', 'c'].forEach((key) => map.put(key, new Uint8Array(0), '0'));
    map.commit();
    expect(map.changesFrom(map.revision, { key: 'a', end: '\0' })).to.have.length(3);
  });

  it('does not increment the revision without a write', () => {
    const map = new VersionedMap();
    const before = map.revision;
    map.delete(singleKey('absent'));
    map.commit();
    expect(map.revision).to.equal(before);
  });
});
