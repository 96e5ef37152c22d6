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
    const fixture = new DetectorFixture('alive');
    await fixture.clock.advanceAsync(2600);
    expect([fixture.statuses, fixture.notified > 0]).to.deep.equal([['suspect'], true]);
    await fixture.clock.advanceAsync(3000);
    expect(fixture.statuses).to.deep.equal(['suspect', 'dead']);
  });

  it('declares a leaving member dead without suspecting it first', async () => {
    const fixture = new DetectorFixture('leaving');
    await fixture.clock.advanceAsync(2600);
    expect(fixture.statuses).to.deep.equal(['dead']);
  });

  it('clears the suspicion of a member that refutes it', async () => {
    const fixture = new DetectorFixture('alive');
    await fixture.clock.advanceAsync(2600);
    fixture.answer = () => Promise.resolve(true);
    fixture.table.merge({ ...createRecord('b'), version: 2 });
    await fixture.clock.advanceAsync(20000);
    expect(fixture.statuses).to.deep.equal(['suspect', 'alive']);
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
      const fixture = new DetectorFixture('alive', false);
      if (isUp) fixture.answer = () => Promise.resolve(true);
      fixture.table.merge(createRecord('b', 'dead'));
      await fixture.clock.advanceAsync(2600);
      expect(fixture.table.get(member)?.status).to.equal(isUp ? 'suspect' : 'dead');
      expect(fixture.notified > 0).to.equal(isUp);
    });
  });

  it('checks a member that a peer suspects, since that peer can fail', async () => {
    const fixture = new DetectorFixture('alive', false);
    fixture.answer = () => Promise.resolve(true);
    fixture.table.merge(createRecord('b', 'suspect'));
    await fixture.clock.advanceAsync(20000);
    expect(fixture.statuses).to.deep.equal(['suspect']);
    fixture.answer = () => Promise.reject(new Error('no answer'));
    await fixture.clock.advanceAsync(10000);
    expect(fixture.statuses).to.deep.equal(['suspect', 'dead']);
  });

  const pauses = [
    { name: 'a probe', at: 1100 },
    { name: 'a suspicion', at: 2600 },
  ];
  pauses.forEach(({ name, at }) => {
    it(`declares nothing about others when it was paused during ${name}`, async () => {
      const fixture = new DetectorFixture('alive');
      await fixture.clock.advanceAsync(at);
      const before = fixture.statuses.length;
      fixture.process.pause();
      await fixture.clock.advanceAsync(10000);
      fixture.answer = () => Promise.resolve(true);
      fixture.process.resume();
      await fixture.clock.advanceAsync(5000);
      expect(fixture.statuses.length).to.equal(before);
    });
  });
});
