import { expect } from 'chai';
import { PausableClock } from '../../bench/PausableClock.js';
import { VirtualClock, brandAs, createRandom } from '../base/index.js';
import type { DaemonId, DataCentre, Incarnation, Region } from '../base/index.js';
import { FailureDetector } from './FailureDetector.js';
import { MemberTable } from './MemberTable.js';
import { Prober } from './Prober.js';
import type { MemberRecord, MemberStatus } from './Types.js';

const seed = 21;
const member = brandAs<DaemonId>('b');

function createRecord(id: string, status: MemberStatus = 'alive'): MemberRecord {
  return {
    id: brandAs<DaemonId>(id),
    incarnation: brandAs<Incarnation>('1-a'),
    version: 1,
    address: id,
    adminAddress: id,
    location: { region: brandAs<Region>('gam'), dataCentre: brandAs<DataCentre>('gam-a') },
    status,
    targetsVersion: 1,
    targets: [],
    revision: 0,
    ranges: [],
  };
}

/** Detector of daemon `a`, which knows `b`; `answer` is the result of each probe of `b`. */
class DetectorFixture {
  public readonly clock = new VirtualClock();

  public readonly process = new PausableClock(this.clock);

  public readonly table = new MemberTable(createRecord('a'), this.process);

  public readonly statuses: (string | undefined)[] = [];

  public notified = 0;

  public answer = (): Promise<boolean> => Promise.reject(new Error('no answer'));

  public constructor(status: MemberStatus, isProbing = true) {
    const random = createRandom(seed);
    const link = {
      probe: () => this.answer(),
      exchange: () => Promise.reject(new Error('not used')),
    };
    const parts = { table: this.table, clock: this.process, random };
    const notify = (): void => {
      this.notified += 1;
    };
    const log = { write: (): void => {} };
    const prober = new Prober({ ...parts, link });
    this.table.merge(createRecord('b', status));
    this.table.onChange(({ after }) => this.statuses.push(after?.status));
    const detector = new FailureDetector({ ...parts, prober, notify, log });
    if (isProbing) detector.start();
  }
}

describe(`FailureDetector (seed ${seed})`, () => {
  it('suspects a member that does not answer, notifies it, and declares it dead 3 s later', async () => {
    const bench = new DetectorFixture('alive');
    await bench.clock.advanceAsync(2600);
    expect([bench.statuses, bench.notified > 0]).to.deep.equal([['suspect'], true]);
    await bench.clock.advanceAsync(3000);
    expect(bench.statuses).to.deep.equal(['suspect', 'dead']);
  });

  it('declares a leaving member dead without suspecting it first', async () => {
    const bench = new DetectorFixture('leaving');
    await bench.clock.advanceAsync(2600);
    expect(bench.statuses).to.deep.equal(['dead']);
  });

  it('clears the suspicion of a member that refutes it', async () => {
    const bench = new DetectorFixture('alive');
    await bench.clock.advanceAsync(2600);
    bench.answer = () => Promise.resolve(true);
    bench.table.merge({ ...createRecord('b'), version: 2 });
    await bench.clock.advanceAsync(20000);
    expect(bench.statuses).to.deep.equal(['suspect', 'alive']);
  });

  const reports = [
    { name: 'accepts a reported death within 3 s if the member does not answer', isUp: false },
    {
      name: 'keeps a member that answers in spite of a reported death, and notifies it',
      isUp: true,
    },
  ];
  reports.forEach(({ name, isUp }) => {
    it(name, async () => {
      const bench = new DetectorFixture('alive', false);
      if (isUp) bench.answer = () => Promise.resolve(true);
      bench.table.merge(createRecord('b', 'dead'));
      await bench.clock.advanceAsync(2600);
      expect(bench.table.get(member)?.status).to.equal(isUp ? 'suspect' : 'dead');
      expect(bench.notified > 0).to.equal(isUp);
    });
  });

  it('checks a member that a peer suspects, since that peer can fail', async () => {
    const bench = new DetectorFixture('alive', false);
    bench.answer = () => Promise.resolve(true);
    bench.table.merge(createRecord('b', 'suspect'));
    await bench.clock.advanceAsync(20000);
    expect(bench.statuses).to.deep.equal(['suspect']);
    bench.answer = () => Promise.reject(new Error('no answer'));
    await bench.clock.advanceAsync(10000);
    expect(bench.statuses).to.deep.equal(['suspect', 'dead']);
  });

  const pauses = [
    { name: 'a probe', at: 1100 },
    { name: 'a suspicion', at: 2600 },
  ];
  pauses.forEach(({ name, at }) => {
    it(`declares nothing about others when it was paused during ${name}`, async () => {
      const bench = new DetectorFixture('alive');
      await bench.clock.advanceAsync(at);
      const before = bench.statuses.length;
      bench.process.pause();
      await bench.clock.advanceAsync(10000);
      bench.answer = () => Promise.resolve(true);
      bench.process.resume();
      await bench.clock.advanceAsync(5000);
      expect(bench.statuses.length).to.equal(before);
    });
  });
});
