import { expect } from 'chai';
import {
  brandAs,
  VirtualClock,
  type Fingerprint,
  type Incarnation,
  type TargetId,
} from '../base/index.js';
import { FakeStore } from '../../bench/operations/FakeStore.js';
import { FakeStoreClient, noFaults } from '../../bench/operations/FakeStoreClient.js';
import { Quarantine, type QuarantineStatus, type TargetCrash } from './Quarantine.js';

const killer = brandAs<Fingerprint>('killer');
const bystander = brandAs<Fingerprint>('bystander');

function crash(target: string, fingerprints: readonly Fingerprint[]): TargetCrash {
  const incarnation = brandAs<Incarnation>('1-a');
  return { target: brandAs<TargetId>(target), incarnation, fingerprints };
}

class Bed {
  public readonly clock = new VirtualClock();

  public readonly store = new FakeStore(this.clock);

  public async open(): Promise<Quarantine> {
    const store = new FakeStoreClient(this.store, this.clock, noFaults(), () => 0.5);
    const quarantine = new Quarantine({ store, clock: this.clock, log: { write: () => {} } });
    await this.wait(quarantine.load());
    return quarantine;
  }

  public async wait<Value>(promise: Promise<Value>): Promise<Value> {
    await this.clock.advanceAsync(5000);
    return promise;
  }
}

describe('Quarantine', () => {
  type Step = (quarantine: Quarantine, bed: Bed) => Promise<unknown>;
  const first: Step = (quarantine) => quarantine.reportCrash(crash('t1', [killer, bystander]));
  const again: Step = (quarantine) => quarantine.reportCrash(crash('t2', [killer]));
  const cases: readonly {
    name: string;
    steps: readonly Step[];
    expected: readonly [QuarantineStatus, QuarantineStatus];
  }[] = [
    { name: 'only suspects after one crash', steps: [first], expected: ['suspect', 'suspect'] },
    {
      name: 'keeps a request from a third target after two crashes',
      steps: [first, again],
      expected: ['quarantined', 'suspect'],
    },
    {
      name: 'clears a bystander that completes',
      steps: [first, (quarantine) => quarantine.recordCompletion(bystander), again],
      expected: ['quarantined', 'clear'],
    },
    {
      name: 'counts one crash once that two daemons report',
      steps: [first, first],
      expected: ['suspect', 'suspect'],
    },
    {
      name: 'does not clear a quarantined request by a late completion',
      steps: [first, again, (quarantine) => quarantine.recordCompletion(killer)],
      expected: ['quarantined', 'suspect'],
    },
    {
      name: 'lets an operator clear a request',
      steps: [first, again, (quarantine) => quarantine.clear(killer)],
      expected: ['clear', 'suspect'],
    },
    {
      name: 'forgets after an hour',
      steps: [first, again, (_, bed) => Promise.resolve(bed.clock.advance(3600 * 1000))],
      expected: ['clear', 'clear'],
    },
    {
      name: 'decides without the store',
      steps: [
        (_, bed) => {
          bed.store.isDown = true;
          return Promise.resolve();
        },
        first,
        again,
      ],
      expected: ['quarantined', 'suspect'],
    },
  ];
  cases.forEach(({ name, steps, expected }) => {
    it(name, async () => {
      const bed = new Bed();
      const quarantine = await bed.open();
      for (const step of steps) await bed.wait(step(quarantine, bed));
      const standings = [quarantine.statusOf(killer), quarantine.statusOf(bystander)];
      expect(standings).to.deep.equal(expected);
    });
  });

  it('counts crashes at the targets of two daemons together', async () => {
    const bed = new Bed();
    const [here, there] = [await bed.open(), await bed.open()];
    await bed.wait(here.reportCrash(crash('t1', [killer])));
    await bed.wait(there.reportCrash(crash('t2', [killer])));
    const later = await bed.open();
    [here, there, later].forEach((one) => expect(one.statusOf(killer)).to.equal('quarantined'));
    expect(later.list().map(({ fingerprint }) => fingerprint)).to.deep.equal([killer]);
  });

  it('runs suspects apart, so that the second crash of one does not condemn the other', async () => {
    const bed = new Bed();
    const quarantine = await bed.open();
    await bed.wait(first(quarantine, bed));
    expect(quarantine.mayRunWith(bystander, [killer])).to.equal(false);
    expect(quarantine.mayRunWith(bystander, [brandAs<Fingerprint>('other')])).to.equal(true);
  });
});
