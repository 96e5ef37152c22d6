import { expect } from 'chai';
import { brandAs, VirtualClock, type DaemonId, type Incarnation } from '../base/index.js';
import { FakeStore } from '../../bench/operations/FakeStore.js';
import { FakeStoreClient, noFaults } from '../../bench/operations/FakeStoreClient.js';
import { textHash } from '../../bench/operations/textHash.js';
import { rangeCount } from './KeyRanges.js';
import { RangeOwnership } from './RangeOwnership.js';
import type { AuthorityMember } from './Types.js';

class TestBed {
  public readonly clock = new VirtualClock();

  public readonly store = new FakeStore(this.clock);

  public readonly owners = new Map<string, RangeOwnership>();

  public readonly faults = new Map([...'abc'].map((name) => [name, noFaults()]));

  public open(name: string, run = 1): RangeOwnership {
    const { clock } = this;
    const faults = this.faults.get(name) ?? noFaults();
    const owner = new RangeOwnership({
      store: new FakeStoreClient(this.store, clock, faults, () => 0.5),
      clock,
      random: () => 0.5,
      hash: textHash,
      log: { write: () => {} },
      daemon: brandAs<DaemonId>(name),
      incarnation: brandAs<Incarnation>(`${run}-${name}`),
      others: () => this.others(name),
      limits: { operations: 1000, recentAnswers: 100, answerBytes: 100_000_000 },
      retention: 24 * 3600 * 1000,
    });
    this.owners.set(name, owner);
    owner.start();
    return owner;
  }

  public counts(): number[] {
    return [...this.owners.values()].map(({ ranges }) => ranges.length);
  }

  public total(): number {
    return this.counts().reduce((sum, count) => sum + count, 0);
  }

  private others(name: string): AuthorityMember[] {
    return [...this.owners]
      .filter(([other]) => other !== name)
      .map(([other, { ranges }]) => ({
        id: brandAs<DaemonId>(other),
        incarnation: brandAs<Incarnation>(`1-${other}`),
        isLive: true,
        ranges,
      }));
  }
}

describe('RangeOwnership', () => {
  it('gives every range exactly one owner', async () => {
    const bed = new TestBed();
    [...'abc'].forEach((name) => bed.open(name));
    await bed.clock.advanceAsync(5000);
    expect(bed.total()).to.equal(rangeCount);
    expect(Math.min(...bed.counts())).to.be.greaterThan(0);
  });

  it('hands all ranges over on a planned stop without waiting for a lease', async () => {
    const bed = new TestBed();
    const leaving = bed.open('a');
    await bed.clock.advanceAsync(3000);
    bed.open('b');
    const stopped = leaving.stop(bed.clock.elapsed() + 2000);
    bed.owners.delete('a');
    await bed.clock.advanceAsync(4000);
    await stopped;
    expect(bed.counts()).to.deep.equal([rangeCount]);
  });

  it('lets a restarted daemon take its own ranges at once', async () => {
    const bed = new TestBed();
    bed.open('a').dispose();
    bed.open('a', 2);
    await bed.clock.advanceAsync(3000);
    expect(bed.counts()).to.deep.equal([rangeCount]);
  });

  it('takes ranges over from a daemon that is live but disconnected from the store', async () => {
    const bed = new TestBed();
    const disconnected = bed.open('a');
    await bed.clock.advanceAsync(3000);
    const faults = bed.faults.get('a');
    if (faults !== undefined) faults.areRequestsLost = true;
    const successor = bed.open('b');
    await bed.clock.advanceAsync(40_000);
    const taken = successor.ranges.length;
    expect(taken).to.be.greaterThan(0);
    if (faults !== undefined) faults.areRequestsLost = false;
    await bed.clock.advanceAsync(20_000);
    expect(disconnected.ranges.length).to.equal(rangeCount - taken);
  });

  it('keeps its ranges during a store outage, since no other daemon can take them', async () => {
    const bed = new TestBed();
    const [first] = [...'ab'].map((name) => bed.open(name));
    await bed.clock.advanceAsync(5000);
    const before = bed.counts();
    bed.store.isDown = true;
    await bed.clock.advanceAsync(120_000);
    expect(bed.counts()).to.deep.equal(before);
    bed.store.isDown = false;
    await bed.clock.advanceAsync(30_000);
    expect(bed.total()).to.equal(rangeCount);
    expect(first?.ranges.length).to.be.greaterThan(0);
  });

  it('makes no store calls for ranges that have an owner, apart from renewing one lease', async () => {
    const bed = new TestBed();
    bed.open('a');
    await bed.clock.advanceAsync(5000);
    const { writes, reads } = bed.store.counters;
    await bed.clock.advanceAsync(90_000);
    expect(bed.store.counters.writes - writes).to.be.at.most(31);
    expect(bed.store.counters.reads - reads).to.equal(0);
  });
});
