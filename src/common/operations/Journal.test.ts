import { expect } from 'chai';
import { brandAs, VirtualClock, type Fingerprint, type OperationKey } from '../base/index.js';
import { FakeStore } from '../../bench/operations/FakeStore.js';
import { FakeStoreClient, noFaults } from '../../bench/operations/FakeStoreClient.js';
import type { StoreFaults } from '../../bench/operations/Types.js';
import { FencedError } from './FencedError.js';
import { Journal } from './Journal.js';
import type { IntentRecord, JournalRecord } from './Types.js';

const fingerprint = brandAs<Fingerprint>('f');
const retention = 24 * 3600 * 1000;
const hour = 3600 * 1000;
const range = 7;

function intentOf(name: string): IntentRecord {
  return { type: 'intent', key: brandAs<OperationKey>(name), fingerprint };
}

class TestBed {
  public readonly clock = new VirtualClock();

  public readonly store = new FakeStore(this.clock);

  public readonly replayed: { readonly record: JournalRecord; readonly sequence: number }[] = [];

  public open(writer: string, faults: StoreFaults = noFaults()): Journal {
    const store = new FakeStoreClient(this.store, this.clock, faults, () => 0.5);
    return new Journal(
      range,
      { store, clock: this.clock, random: () => 0.5, writer },
      { retention, onWritten: () => {}, onFenced: () => {} },
    );
  }

  public async takeOver(journal: Journal): Promise<void> {
    this.replayed.length = 0;
    const done = journal.takeOver((record, sequence) => {
      this.replayed.push({ record, sequence });
    });
    await this.clock.advanceAsync(2000);
    await done;
  }

  public async openOwner(writer: string, faults?: StoreFaults): Promise<Journal> {
    const journal = this.open(writer, faults);
    await this.takeOver(journal);
    return journal;
  }

  /** State of a promise after `duration` milliseconds. */
  public async stateAfter(duration: number, promise: Promise<unknown>): Promise<string> {
    let state = 'waiting';
    promise.then(
      () => {
        state = 'durable';
      },
      (error: unknown) => {
        state = error instanceof FencedError ? 'fenced' : String(error);
      },
    );
    await this.clock.advanceAsync(duration);
    return state;
  }
}

describe('Journal', () => {
  it('writes at most 8 batches a second however many intents arrive', async () => {
    const bed = new TestBed();
    const journal = await bed.openOwner('a.1');
    const before = bed.store.counters.writes;
    for (let step = 0; step < 1000; step += 1) {
      void journal.record(intentOf(`k${step}`)).durable;
      await bed.clock.advanceAsync(1);
    }
    await bed.clock.advanceAsync(200);
    expect(bed.store.counters.writes - before).to.be.within(8, 10);
  });

  it('replays every record of a former owner in order, across blocks of segments', async () => {
    const bed = new TestBed();
    const former = await bed.openOwner('a.1');
    const names = Array.from({ length: 230 }, (_, index) => `k${index}`);
    for (const name of names) {
      expect(await bed.stateAfter(130, former.record(intentOf(name)).durable)).to.equal('durable');
    }
    await bed.openOwner('b.1');
    expect(bed.replayed.map(({ record }) => record.key)).to.deep.equal(names);
  });

  it('fences off a former owner after a successor has sealed the range', async () => {
    const bed = new TestBed();
    const former = await bed.openOwner('a.1');
    await bed.openOwner('b.1');
    expect(await bed.stateAfter(500, former.record(intentOf('k')).durable)).to.equal('fenced');
    expect(await former.confirmOwnership()).to.equal(false);
  });

  const lostAnswers: readonly { name: string; faults: Partial<StoreFaults> }[] = [
    { name: 'lost answer', faults: { areAnswersLost: true } },
    { name: 'write that takes effect late', faults: { delayedWriteShare: 1 } },
    { name: 'store outage', faults: { areRequestsLost: true } },
  ];
  lostAnswers.forEach(({ name, faults }) => {
    it(`does not repeat or lose an intent after a ${name}`, async () => {
      const bed = new TestBed();
      const state = noFaults();
      const journal = await bed.openOwner('a.1', state);
      Object.assign(state, faults);
      const { durable } = journal.record(intentOf('k'));
      expect(await bed.stateAfter(900, durable)).to.equal('waiting');
      Object.assign(state, noFaults());
      expect(await bed.stateAfter(20_000, durable)).to.equal('durable');
      await bed.openOwner('b.1');
      expect(bed.replayed.map(({ record }) => record.key)).to.deep.equal(['k']);
    });
  });

  it('replays its own late segment when it takes the range over again', async () => {
    const bed = new TestBed();
    const state = noFaults();
    const journal = await bed.openOwner('a.1', state);
    Object.assign(state, { delayedWriteShare: 1 });
    const { durable } = journal.record(intentOf('late'));
    expect(await bed.stateAfter(1100, durable)).to.equal('waiting');
    journal.dispose();
    const slow = { ...noFaults(), delayedWriteShare: 1 };
    const replayed: string[] = [];
    const again = bed.open('a.2', slow);
    const taken = again.takeOver(({ key }) => replayed.push(key));
    await bed.clock.advanceAsync(8000);
    Object.assign(slow, noFaults());
    expect(await bed.stateAfter(20_000, taken)).to.equal('durable');
    expect(replayed).to.deep.equal(['late']);
  });

  const falseConfirmations: readonly {
    name: string;
    isConfirmed: (former: Journal, bed: TestBed, sealedBy: number) => Promise<boolean>;
  }[] = [
    {
      name: 'a read that finds its own segment',
      isConfirmed: async (former, bed) => {
        const confirming = former.confirmOwnership();
        await bed.clock.advanceAsync(100);
        return confirming;
      },
    },
    {
      name: 'a repeated write that finds its own segment',
      isConfirmed: async (former, bed, sealedBy) => {
        await bed.clock.advanceAsync(20_000);
        return former.isOwnershipConfirmedSince(sealedBy);
      },
    },
  ];
  falseConfirmations.forEach(({ name, isConfirmed }) => {
    it(`does not count ${name} with a seal behind it as a confirmation`, async () => {
      const bed = new TestBed();
      const state = noFaults();
      const former = await bed.openOwner('a.1', state);
      state.areAnswersLost = true;
      former.record(intentOf('k')).durable.catch(() => {});
      await bed.clock.advanceAsync(200);
      const sealedBy = bed.clock.elapsed() + 100;
      await bed.openOwner('b.1');
      Object.assign(state, noFaults());
      expect(await isConfirmed(former, bed, sealedBy)).to.equal(false);
    });
  });

  it('drops a cancelled intent, so that a resend does not become unknown', async () => {
    const bed = new TestBed();
    const journal = await bed.openOwner('a.1');
    const intent = journal.record(intentOf('k'));
    expect(intent.cancel()).to.equal(true);
    await bed.clock.advanceAsync(1000);
    await bed.openOwner('b.1');
    expect(bed.replayed).to.deep.equal([]);
  });

  it('deletes segments after the retention and not before, and keeps the last', async () => {
    const bed = new TestBed();
    const journal = await bed.openOwner('a.1');
    expect(await bed.stateAfter(200, journal.record(intentOf('k')).durable)).to.equal('durable');
    const cases = [
      { wait: retention - hour, expected: 0 },
      { wait: 3 * hour, expected: 1 },
    ];
    for (const { wait, expected } of cases) {
      bed.clock.advance(wait);
      const deleted = journal.deleteExpired();
      await bed.clock.advanceAsync(100);
      expect(await deleted).to.equal(expected);
    }
    expect(bed.store.range({ prefix: 'journal/' })).to.have.length(1);
  });

  it('writes queued answers on a flush, so that a planned stop leaves no unknown outcome', async () => {
    const bed = new TestBed();
    const journal = await bed.openOwner('a.1');
    const { key } = intentOf('k');
    journal.append({ type: 'done', key, fingerprint });
    expect(await bed.stateAfter(300, journal.flush())).to.equal('durable');
    await bed.openOwner('b.1');
    expect(bed.replayed.map(({ record }) => record.type)).to.deep.equal(['done']);
  });

  it('keeps the outcome of an answer that is too large to keep', async () => {
    const bed = new TestBed();
    const journal = await bed.openOwner('a.1');
    const { key } = intentOf('k');
    const answer = { status: 200, headers: [], body: new Uint8Array(17 * 1024) };
    journal.append({ type: 'done', key, fingerprint, answer });
    await bed.clock.advanceAsync(1000);
    const reading = journal.read(2, key);
    await bed.clock.advanceAsync(100);
    expect(await reading).to.deep.equal({ type: 'done', key, fingerprint });
  });
});
