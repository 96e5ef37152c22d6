import { expect } from 'chai';
import { VersionedMap } from './VersionedMap.js';

const one = (key: string): { key: string; end: string } => ({ key, end: '' });
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
  it('guards against a page of another state: a past revision is read as it was', () => {
    const map = new VersionedMap();
    fill(map, 1);
    const { revision } = map;
    map.put('b', new Uint8Array([9]), '0');
    map.delete(one('a'));
    map.commit();
    expect(map.range(query(revision)).entries.map(({ key }) => key)).to.deep.equal(['a']);
    expect(map.range(query(0)).entries.map(({ key }) => key)).to.deep.equal(['b']);
  });

  it('guards against growth without bound: old changes are dropped and refused', () => {
    const map = new VersionedMap(10);
    fill(map, 21);
    expect(map.changesFrom(0, one('a'))).to.have.length(10);
    expect(() => map.range(query(map.compactRevision - 1))).to.throw(/compacted/);
    expect(map.find('a')?.version).to.equal(21);
  });

  it('guards against a transaction that compaction divides', () => {
    const map = new VersionedMap(1);
    ['a', 'b', 'c'].forEach((key) => map.put(key, new Uint8Array(0), '0'));
    map.commit();
    expect(map.changesFrom(map.revision, { key: 'a', end: '\0' })).to.have.length(3);
  });

  it('guards against a revision that moves without a write', () => {
    const map = new VersionedMap();
    const before = map.revision;
    map.delete(one('absent'));
    map.commit();
    expect(map.revision).to.equal(before);
  });
});
