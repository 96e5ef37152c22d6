import { expect } from 'chai';
import { VirtualClock, brandAs } from '../base/index.js';
import type {
  DaemonId,
  DataCentre,
  Incarnation,
  Region,
  ServiceName,
  TargetId,
} from '../base/index.js';
import { MemberTable } from './MemberTable.js';
import { TargetDirectory } from './TargetDirectory.js';
import type { MemberRecord, MemberTarget } from './Types.js';

const service = brandAs<ServiceName>('pujas');

function target(change: Partial<MemberTarget> = {}): MemberTarget {
  return {
    id: brandAs<TargetId>('t1'),
    incarnation: brandAs<Incarnation>('1-a'),
    service,
    address: '127.0.0.1:9000',
    slots: 5,
    connections: 330,
    status: 'active',
    share: 1,
    ...change,
  };
}

function home(id: string, change: Partial<MemberRecord> = {}): MemberRecord {
  return {
    id: brandAs<DaemonId>(id),
    incarnation: brandAs<Incarnation>('1-a'),
    version: 1,
    address: `${id}:1`,
    adminAddress: `${id}:2`,
    location: { region: brandAs<Region>('gam'), dataCentre: brandAs<DataCentre>('gam-a') },
    status: 'alive',
    targetsVersion: change.version ?? 1,
    targets: [target()],
    revision: 0,
    ranges: [],
    ...change,
  };
}

const moved = [target({ move: 1 })];

describe('TargetDirectory', () => {
  const cases = [
    { name: 'an active target', records: [home('b')], homes: ['b'] },
    { name: 'no target of a leaving home', records: [home('b', { status: 'leaving' })], homes: [] },
    { name: 'no target of a dead home', records: [home('b', { status: 'dead' })], homes: [] },
    {
      name: 'the target of a suspect home',
      records: [home('b', { status: 'suspect' })],
      homes: ['b'],
    },
    ...(['draining', 'ejected', 'held', 'gone'] as const).map((status) => ({
      name: `no ${status} target`,
      records: [home('b'), home('b', { version: 2, targets: [target({ status })] })],
      homes: [],
    })),
    {
      name: 'a moved target at its new home only',
      records: [home('b'), home('c', { targets: moved })],
      homes: ['c'],
    },
    {
      name: 'a moved target at its new home only, whatever arrives first',
      records: [home('c', { targets: moved }), home('b', { version: 2 })],
      homes: ['c'],
    },
    {
      name: 'the new incarnation of a target only',
      records: [
        home('c', { targets: [target({ incarnation: brandAs<Incarnation>('2-a') })] }),
        home('b', { targets: moved }),
      ],
      homes: ['c'],
    },
    {
      name: 'the old home again when the new one has lost the target',
      records: [home('b'), home('c', { targets: moved }), home('c', { version: 2, targets: [] })],
      homes: ['b'],
    },
  ];
  cases.forEach(({ name, records, homes }) => {
    it(`gives new work to ${name}`, () => {
      const table = new MemberTable(home('a', { targets: [] }), new VirtualClock());
      const directory = new TargetDirectory(table);
      const changes: number[] = [];
      directory.onChange(() => changes.push(directory.candidates(service).length));
      records.forEach((record) => table.merge(record));
      expect(directory.candidates(service).map((entry) => entry.home)).to.deep.equal(homes);
      if (changes.length > 0) expect(changes.at(-1)).to.equal(homes.length);
    });
  });
});
