import { expect } from 'chai';
import {
  brandAs,
  VirtualClock,
  type DaemonId,
  type DataCentre,
  type Incarnation,
  type Region,
  type ServiceName,
  type TargetId,
} from '../base/index.js';
import type { TargetCondition } from '../dispatch/Types.js';
import { logit, priorLogOdds, logistic } from '../health/HealthEstimator.js';
import { FleetDirectory } from './FleetDirectory.js';
import type { DaemonRecord } from './Types.js';

const service = brandAs<ServiceName>('pujas');
const target = (name: string): TargetId => brandAs<TargetId>(name);

function record(name: string, overrides: Partial<DaemonRecord> = {}): DaemonRecord {
  return {
    daemon: brandAs<DaemonId>(name),
    incarnation: brandAs<Incarnation>('1'),
    serial: 1,
    address: name,
    region: brandAs<Region>('gam'),
    dataCentre: brandAs<DataCentre>('gam-a'),
    state: 'serving',
    targets: [
      {
        id: target(`t-${name}`),
        incarnation: brandAs<Incarnation>('1'),
        service,
        slots: 5,
        state: 'ready',
      },
    ],
    ...overrides,
  };
}

const condition = (unhealthyProbability: number): TargetCondition => ({
  running: 1,
  queued: 0,
  slots: 5,
  work: 300,
  sickness: logit(unhealthyProbability),
});

function create(names: readonly string[]) {
  const clock = new VirtualClock();
  const directory = new FleetDirectory(clock, { write: () => {} });
  names.forEach((name) => directory.put(record(name)));
  return { clock, directory };
}

describe('FleetDirectory', () => {
  it('passes conditions on to other daemons, so that they need not lose requests to detect a fault', () => {
    const { directory: first } = create(['a', 'b']);
    const { directory: second } = create(['a', 'b']);
    first.recordCondition(target('t-a'), condition(0.9));
    second.mergeConditions(first.recentConditions);
    expect(second.unhealthyProbability(target('t-a'))).to.be.closeTo(0.9, 0.01);
    expect(second.unhealthyProbability(target('t-b'))).to.equal(logistic(priorLogOdds));
  });

  it('does not use a target that said it leaves, although its restarted home lists it again as ready', () => {
    const { directory } = create(['a', 'b']);
    const used = (): readonly string[] => directory.candidates(service).map((one) => one.target);
    directory.markLeaving(target('t-a'), brandAs<Incarnation>('1'));
    expect(used()).to.deep.equal(['t-b']);
    const restarted = { incarnation: brandAs<Incarnation>('2') };
    directory.put(record('a', { ...restarted, targets: [] }));
    directory.put(record('a', { ...restarted, serial: 2 }));
    expect(used()).to.deep.equal(['t-b']);
  });

  it('uses the next incarnation of a target that has left', () => {
    const { directory } = create(['a']);
    directory.markLeaving(target('t-a'), brandAs<Incarnation>('1'));
    const [listed] = record('a').targets;
    if (listed === undefined) throw new Error('the record lists no target');
    const next = { ...listed, incarnation: brandAs<Incarnation>('2') };
    directory.put(record('a', { serial: 2, targets: [next] }));
    expect(directory.candidates(service)).to.have.length(1);
  });

  it('counts own requests against the reported idle time, so that an entry does not use one target again and again', () => {
    const { clock, directory } = create(['a', 'b']);
    clock.advance(5_000);
    ['a', 'b'].forEach((name) => {
      directory.recordCondition(target(`t-${name}`), { ...condition(0.1), idle: 1_000 });
    });
    directory.adjustInFlight(target('t-a'), 1);
    clock.advance(300);
    const idle = directory.candidates(service).map(({ idle: time }) => time);
    expect(idle).to.deep.equal([300, 1_300]);
  });

  it('keeps a newer condition when an older report arrives later', () => {
    const { clock, directory } = create(['a']);
    clock.advance(5_000);
    directory.recordCondition(target('t-a'), condition(0.1));
    directory.mergeConditions([{ target: target('t-a'), condition: condition(0.9), age: 400 }]);
    expect(directory.unhealthyProbability(target('t-a'))).to.be.below(0.2);
  });

  it('limits the number and the age of reports, so that messages do not grow with the fleet', () => {
    const { clock, directory } = create([]);
    for (let index = 0; index < 200; index += 1) {
      directory.recordCondition(target(`t-${index}`), condition(0.1));
    }
    expect(directory.recentConditions).to.have.length.at.most(16);
    clock.advance(10_000);
    expect(directory.recentConditions).to.deep.equal([]);
  });

  it('removes targets that have left and ignores later reports about them', () => {
    const { directory } = create(['a']);
    directory.recordCondition(target('t-a'), condition(0.9));
    directory.put(record('a', { serial: 2, targets: [] }));
    directory.mergeConditions([{ target: target('t-a'), condition: condition(0.9), age: 0 }]);
    expect(directory.recentConditions).to.deep.equal([]);
    expect(directory.unhealthyProbability(target('t-a'))).to.equal(logistic(priorLogOdds));
  });

  it('does not replace a record with an older version', () => {
    const { directory } = create([]);
    directory.putFromDaemon(record('a', { serial: 3, targets: [] }));
    directory.put(record('a', { serial: 2 }));
    expect(directory.candidates(service)).to.deep.equal([]);
  });

  const restored = [
    { name: 'an earlier incarnation of a daemon', incarnation: '000000001-a', state: 'kept' },
    { name: 'a later incarnation of a daemon', incarnation: '000000003-a', state: 'replaced' },
  ];
  restored.forEach(({ name, incarnation, state }) => {
    it(`${state === 'kept' ? 'ignores' : 'takes'} ${name} in a store that came back from an older copy`, () => {
      const { directory } = create([]);
      const known = brandAs<Incarnation>('000000002-a');
      directory.put(record('a', { incarnation: known }));
      directory.replaceAllRestored([
        record('a', { incarnation: brandAs<Incarnation>(incarnation), targets: [] }),
      ]);
      expect(directory.candidates(service)).to.have.length(state === 'kept' ? 1 : 0);
    });
  });

  it('keeps a daemon in use that a store from an older copy lacks, since it writes its record again', () => {
    const { directory } = create(['a']);
    directory.replaceAllRestored([]);
    directory.prune();
    expect(directory.candidates(service)).to.have.length(1);
  });

  const exclusions = [
    { name: 'one of five seems unhealthy', unhealthyCount: 1, isExcluded: true },
    {
      name: 'all five seem unhealthy, which has a common cause',
      unhealthyCount: 5,
      isExcluded: false,
    },
  ];
  exclusions.forEach(({ name, unhealthyCount, isExcluded }) => {
    it(`${isExcluded ? 'excludes' : 'keeps in use'} the least unhealthy target when ${name}`, () => {
      const names = ['a', 'b', 'c', 'd', 'e'];
      const { directory } = create(names);
      names.slice(0, unhealthyCount).forEach((id, index) => {
        directory.recordCondition(target(`t-${id}`), condition(0.8 + 0.02 * index));
      });
      expect(directory.mayExclude(service, logit(0.8))).to.equal(isExcluded);
    });
  });
});
