import { expect } from 'chai';
import {
  brandAs,
  VirtualClock,
  type Fingerprint,
  type Incarnation,
  type TargetId,
} from '../base/index.js';
import { FakePolledStore } from '../../testing/FakePolledStore.js';
import { SharedWatchStore } from '../fleet/SharedWatchStore.js';
import { FakeStore } from '../../bench/operations/FakeStore.js';
import { FakeStoreClient, noFaults } from '../../bench/operations/FakeStoreClient.js';
import { Quarantine, type QuarantineStatus, type TargetCrash } from './Quarantine.js';

const crashingRequest = brandAs<Fingerprint>('crashing');
const bystander = brandAs<Fingerprint>('bystander');

function crash(target: string, fingerprints: readonly Fingerprint[]): TargetCrash {
  const incarnation = brandAs<Incarnation>('1-a');
  return { target: brandAs<TargetId>(target), incarnation, fingerprints };
}

class TestBed {
  public readonly clock = new VirtualClock();

  public readonly store = new FakeStore(this.clock);

  public async open(): Promise<Quarantine> {
    const store = new FakeStoreClient(this.store, this.clock, noFaults(), () => 0.5);
    const quarantine = new Quarantine({ store, clock: this.clock, log: { write: () => {} } });
    await this.wait(quarantine.load());
    return quarantine;
  }

  /** Writes a record as another client of the store does. */
  public async put(key: string, text: string): Promise<void> {
    const client = new FakeStoreClient(this.store, this.clock, noFaults(), () => 0.5);
    const value = new TextEncoder().encode(text);
    await this.wait(client.transact([], [{ type: 'put', key, value }]));
  }

  public async wait<Value>(promise: Promise<Value>): Promise<Value> {
    await this.clock.advanceAsync(5000);
    return promise;
  }
}

describe('Quarantine', () => {
  type Step = (quarantine: Quarantine, bed: TestBed) => Promise<unknown>;
  const reportFirstCrash: Step = (quarantine) =>
    quarantine.reportCrash(crash('t1', [crashingRequest, bystander]));
  const reportSecondCrash: Step = (quarantine) =>
    quarantine.reportCrash(crash('t2', [crashingRequest]));
  const cases: readonly {
    name: string;
    steps: readonly Step[];
    expected: readonly [QuarantineStatus, QuarantineStatus];
  }[] = [
    {
      name: 'only suspects a request after one crash',
      steps: [reportFirstCrash],
      expected: ['suspect', 'suspect'],
    },
    {
      name: 'quarantines a request after two crashes, before it reaches a third target',
      steps: [reportFirstCrash, reportSecondCrash],
      expected: ['quarantined', 'suspect'],
    },
    {
      name: 'clears a bystander whose request completes',
      steps: [
        reportFirstCrash,
        (quarantine) => quarantine.recordCompletion(bystander),
        reportSecondCrash,
      ],
      expected: ['quarantined', 'clear'],
    },
    {
      name: 'counts a crash once that two daemons report',
      steps: [reportFirstCrash, reportFirstCrash],
      expected: ['suspect', 'suspect'],
    },
    {
      name: 'does not clear a quarantined request by a late completion',
      steps: [
        reportFirstCrash,
        reportSecondCrash,
        (quarantine) => quarantine.recordCompletion(crashingRequest),
      ],
      expected: ['quarantined', 'suspect'],
    },
    {
      name: 'lets an operator clear a request',
      steps: [
        reportFirstCrash,
        reportSecondCrash,
        (quarantine) => quarantine.clear(crashingRequest),
      ],
      expected: ['clear', 'suspect'],
    },
    {
      name: 'clears all fingerprints an hour after the last crash',
      steps: [
        reportFirstCrash,
        reportSecondCrash,
        (_, bed) => Promise.resolve(bed.clock.advance(3600 * 1000)),
      ],
      expected: ['clear', 'clear'],
    },
    {
      name: 'works without the store',
      steps: [
        (_, bed) => {
          bed.store.isDown = true;
          return Promise.resolve();
        },
        reportFirstCrash,
        reportSecondCrash,
      ],
      expected: ['quarantined', 'suspect'],
    },
  ];
  cases.forEach(({ name, steps, expected }) => {
    it(name, async () => {
      const bed = new TestBed();
      const quarantine = await bed.open();
      for (const step of steps) await bed.wait(step(quarantine, bed));
      const standings = [quarantine.statusOf(crashingRequest), quarantine.statusOf(bystander)];
      expect(standings).to.deep.equal(expected);
    });
  });

  it('counts crashes at the targets of two daemons together', async () => {
    const bed = new TestBed();
    const [here, there] = [await bed.open(), await bed.open()];
    await bed.wait(here.reportCrash(crash('t1', [crashingRequest])));
    await bed.wait(there.reportCrash(crash('t2', [crashingRequest])));
    const later = await bed.open();
    [here, there, later].forEach((one) =>
      expect(one.statusOf(crashingRequest)).to.equal('quarantined'),
    );
    expect(later.list().map(({ fingerprint }) => fingerprint)).to.deep.equal([crashingRequest]);
  });

  it('writes its reports again when the store has lost them, so that a daemon that starts refuses the request', async () => {
    const clock = new VirtualClock();
    const polled = new FakePolledStore(clock);
    const never = { onChanges: () => ({ dispose() {} }), onSnapshot: () => ({ dispose() {} }) };
    const open = (): Quarantine =>
      new Quarantine({
        store: new SharedWatchStore(polled, never, () => undefined),
        clock,
        log: { write: () => {} },
      });
    const reporters = [open(), open()];
    const copy = polled.copy();
    await reporters[0]?.reportCrash(crash('t1', [crashingRequest]));
    await reporters[1]?.reportCrash(crash('t2', [crashingRequest]));
    polled.restore(copy);
    const before = polled.callCounts.transact ?? 0;
    for (const one of reporters) await one.rewrite();
    expect(polled.getText(`quarantine/${crashingRequest}`))
      .to.contain('t1/')
      .and.contain('t2/');
    expect((polled.callCounts.transact ?? 0) - before).to.be.at.most(2);
  });

  const odd = [
    { name: 'no JSON', text: '{' },
    { name: 'null', text: 'null' },
    { name: 'crashes of another type', text: '{"crashes":5,"crashedAt":1}' },
    { name: 'a crash of another type', text: '{"crashes":[{}],"crashedAt":1}' },
    { name: 'a time that never ends', text: '{"crashes":["a","b","c"],"crashedAt":1e300}' },
    { name: 'no time', text: '{"crashes":["a","b","c"]}' },
    { name: 'deep nesting', text: `${'['.repeat(9_000)}${']'.repeat(9_000)}` },
  ];
  odd.forEach(({ name, text }) => {
    it(`follows the other records when another writer leaves one with ${name}`, async () => {
      const bed = new TestBed();
      const [here, there] = [await bed.open(), await bed.open()];
      await bed.put('quarantine/another', text);
      await bed.put(`quarantine/${crashingRequest}`, text);
      await bed.wait(here.reportCrash(crash('t1', [crashingRequest])));
      await bed.wait(here.reportCrash(crash('t2', [crashingRequest])));
      const later = await bed.open();
      [here, there, later].forEach((one) => {
        expect(one.statusOf(crashingRequest)).to.equal('quarantined');
        expect(one.statusOf(brandAs<Fingerprint>('another'))).to.equal('clear');
      });
    });
  });

  it('keeps suspects on separate targets, so that a second crash by one does not quarantine the other', async () => {
    const bed = new TestBed();
    const quarantine = await bed.open();
    await bed.wait(reportFirstCrash(quarantine, bed));
    expect(quarantine.mayRunWith(bystander, [crashingRequest])).to.equal(false);
    expect(quarantine.mayRunWith(bystander, [brandAs<Fingerprint>('other')])).to.equal(true);
  });
});
