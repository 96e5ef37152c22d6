import { expect } from 'chai';
import { VirtualClock, brandAs } from '../base/index.js';
import type { DaemonId, DataCentre, Incarnation, Region } from '../base/index.js';
import { MemberTable, tombstoneLifetimeMs, tombstoneMarginMs } from './MemberTable.js';
import type { MemberRecord, MemberTarget } from './Types.js';

function createRecord(id: string, change: Partial<MemberRecord> = {}): MemberRecord {
  return {
    id: brandAs<DaemonId>(id),
    incarnation: brandAs<Incarnation>('1-a'),
    version: 1,
    address: '127.0.0.1:1',
    adminAddress: '127.0.0.1:2',
    location: { region: brandAs<Region>('gam'), dataCentre: brandAs<DataCentre>('gam-a') },
    status: 'alive',
    targetsVersion: 1,
    targets: [],
    revision: 0,
    ranges: [],
    ...change,
  };
}

const later = brandAs<Incarnation>('2-a');
const other = brandAs<DaemonId>('b');

function createTable(clock = new VirtualClock()): MemberTable {
  return new MemberTable(createRecord('a'), clock);
}

describe('MemberTable', () => {
  const cases = [
    { name: 'a later version', held: {}, offered: { version: 2 }, result: [2, 'alive'] },
    { name: 'an older version', held: { version: 3 }, offered: {}, result: [3, 'alive'] },
    {
      name: 'an old run with a high version',
      held: { incarnation: later },
      offered: { version: 9 },
      result: [1, 'alive'],
    },
    {
      name: 'a new run with a low version',
      held: { version: 9 },
      offered: { incarnation: later },
      result: [1, 'alive'],
    },
    {
      name: 'a stale live record over a tombstone',
      held: { status: 'dead', version: 4 },
      offered: { version: 4 },
      result: [4, 'dead'],
    },
    {
      name: 'an old run over a tombstone',
      held: { status: 'left', incarnation: later },
      offered: { version: 9 },
      result: [1, 'left'],
    },
    {
      name: 'a refutation of a suspicion',
      held: { status: 'suspect', version: 4 },
      offered: { version: 5 },
      result: [5, 'alive'],
    },
    {
      name: 'a death that a peer reports, as suspect until it is checked',
      held: {},
      offered: { status: 'dead' },
      result: [1, 'suspect'],
    },
    {
      name: 'a death that the member stated itself',
      held: {},
      offered: { status: 'left', version: 2 },
      result: [2, 'left'],
    },
  ] as const;
  cases.forEach(({ name, held, offered, result }) => {
    it(`merges ${name}`, () => {
      const table = createTable();
      table.merge(createRecord('b', held));
      table.merge(createRecord('b', offered));
      expect([table.get(other)?.version, table.get(other)?.status]).to.deep.equal(result);
    });
  });

  it('refutes a reported death of this daemon with a higher version', () => {
    const table = createTable();
    table.merge(createRecord('a', { status: 'dead', version: 7 }));
    expect([table.self.version, table.self.status]).to.deep.equal([8, 'alive']);
  });

  it('keeps the record of a later incarnation of its own id', () => {
    const table = createTable();
    let count = 0;
    table.onSuperseded(() => {
      count += 1;
    });
    table.merge(createRecord('a', { incarnation: later }));
    table.updateSelf({ revision: 3 });
    expect([count, table.get(table.self.id)?.incarnation]).to.deep.equal([1, later]);
  });

  it('keeps the list of targets when a record omits it, and requests it when it has none', () => {
    const targets = [{ id: 't', status: 'active' }] as unknown as MemberTarget[];
    const full = createTable();
    const bare = createTable();
    full.merge(createRecord('b', { targets }));
    const update = createRecord('b', { version: 2, targets: undefined });
    [full, bare].forEach((table) => table.merge(update));
    expect(full.get(other)?.targets).to.deep.equal(targets);
    const { requests } = bare.delta([full.versionOf(other)]);
    expect(bare.digest()).not.to.equal(full.digest());
    bare.merge(full.delta(requests).records[0] as MemberRecord);
    expect(bare.get(other)?.targets).to.deep.equal(targets);
    expect(bare.digest()).to.equal(full.digest());
  });

  it('returns the records that a peer lacks and requests those that it has newer', () => {
    const table = createTable();
    ['b', 'c', 'd'].forEach((id) => table.merge(createRecord(id, { version: 5 })));
    const held = ['b', 'c', 'd'].map((id) => table.versionOf(brandAs<DaemonId>(id)));
    const [same, behind, ahead] = held.map((version, index) => ({
      ...version,
      version: version.version + [0, -1, 1][index]!,
    }));
    const delta = table.delta([same!, behind!, ahead!]);
    expect(delta.records.map(({ id }) => id)).to.deep.equal(['c']);
    expect(delta.requests.map(({ id }) => id)).to.deep.equal(['d']);
  });

  it('lets a tombstone expire although two daemons measure its age differently', () => {
    const clock = new VirtualClock();
    const early = createTable(clock);
    const late = createTable(clock);
    early.merge(createRecord('b', { status: 'dead' }));
    clock.advance(5000);
    late.merge({ ...(early.exportRecord(other, false) as MemberRecord), tombstoneAge: 3 });
    clock.advance(tombstoneLifetimeMs - tombstoneMarginMs - 1000);
    const relayed = late.exportRecord(other, false) as MemberRecord;
    [early, late].forEach((table) => table.sweep());
    expect(early.digest()).to.equal(late.digest());
    clock.advance(tombstoneMarginMs - 3000);
    [early, late].forEach((table) => table.sweep());
    expect([early.get(other), late.get(other)?.status]).to.deep.equal([undefined, 'dead']);
    expect(early.digest()).to.equal(late.digest());
    expect(late.delta([early.versionOf(other)]).records).to.deep.equal([]);
    early.merge(relayed);
    expect(early.get(other)).to.equal(undefined);
  });

  it('does not declare a member dead whose record has changed since', () => {
    const table = createTable();
    table.merge(createRecord('b'));
    const seen = table.versionOf(other);
    table.merge(createRecord('b', { version: 2 }));
    expect(table.declare(seen, 'dead')).to.equal(false);
    expect(table.get(other)?.status).to.equal('alive');
  });
});
