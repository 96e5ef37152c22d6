/* eslint max-classes-per-file: "off" -- the log and the test bed serve only these tests */
import { expect } from 'chai';
import {
  brandAs,
  VirtualClock,
  type Clock,
  type Fingerprint,
  type OperationKey,
} from '../base/index.js';
import { textHash } from '../../bench/operations/textHash.js';
import { FencedError } from './FencedError.js';
import { OperationLedger } from './OperationLedger.js';
import { OperationRunner } from './OperationRunner.js';
import type {
  DispatchResult,
  IntentLog,
  JournalRecord,
  OperationRequest,
  OperationResult,
} from './Types.js';

const key = brandAs<OperationKey>('k');
const answer = { status: 200, headers: [], body: new Uint8Array() };
const done: DispatchResult = { type: 'done', answer };

/** Intent log whose intents become durable when the test settles them. */
class ManualLog implements IntentLog {
  public readonly appended: JournalRecord[] = [];

  public isConfirmed = false;

  public settle: ((error?: Error) => void)[] = [];

  public record(): { durable: Promise<number>; cancel: () => boolean } {
    const durable = new Promise<number>((resolve, reject) => {
      this.settle.push((error) => (error === undefined ? resolve(1) : reject(error)));
    });
    return { durable, cancel: () => false };
  }

  public append(record: JournalRecord): void {
    this.appended.push(record);
  }

  public isOwnershipConfirmedSince(): boolean {
    return this.isConfirmed;
  }

  public confirmOwnership(): Promise<boolean> {
    return Promise.resolve(this.isConfirmed);
  }

  public read(): Promise<undefined> {
    return Promise.resolve(undefined);
  }
}

class TestBed {
  public readonly clock = new VirtualClock();

  public readonly log = new ManualLog();

  public readonly ledger = new OperationLedger(textHash, {
    operations: 9,
    recentAnswers: 9,
    answerBytes: 100_000_000,
  });

  public starts = 0;

  public dispatch: () => Promise<DispatchResult> = () => Promise.resolve(done);

  public run(
    changes: Partial<OperationRequest<undefined>> = {},
    clock: Clock = this.clock,
  ): Promise<OperationResult> {
    const request: OperationRequest<undefined> = {
      key,
      fingerprint: brandAs<Fingerprint>('f'),
      deadline: clock.elapsed() + 1000,
      isFirstAttempt: false,
      payload: undefined,
      ...changes,
    };
    const records = { ledger: this.ledger, log: this.log };
    return new OperationRunner(request, records, clock, () => {
      this.starts += 1;
      return this.dispatch();
    }).run();
  }

  public settleNext(error?: Error): void {
    this.log.settle.shift()?.(error);
  }
}

describe('OperationRunner', () => {
  it('starts nothing before the intent is durable', async () => {
    const bed = new TestBed();
    const running = bed.run();
    await bed.clock.advanceAsync(500);
    expect(bed.starts).to.equal(0);
    bed.settleNext();
    await bed.clock.advanceAsync(1);
    expect(await running).to.include({ outcome: 'done', isReplayed: false });
    expect(bed.log.appended.map(({ type }) => type)).to.deep.equal(['done']);
  });

  const refusals = [
    {
      name: 'as not run if the store confirmed the owner',
      isConfirmed: true,
      isFirstAttempt: false,
    },
    {
      name: 'as not run if the caller never sent the key before',
      isConfirmed: false,
      isFirstAttempt: true,
    },
    {
      name: 'as unknown if a successor may have run it',
      isConfirmed: false,
      isFirstAttempt: false,
    },
  ];
  refusals.forEach(({ name, isConfirmed, isFirstAttempt }) => {
    it(`refuses ${name}, and never starts it when the late write succeeds`, async () => {
      const bed = new TestBed();
      bed.log.isConfirmed = isConfirmed;
      const running = bed.run({ isFirstAttempt });
      await bed.clock.advanceAsync(1001);
      const isCertain = isConfirmed || isFirstAttempt;
      expect((await running).outcome).to.equal(isCertain ? 'not-run' : 'unknown');
      bed.settleNext();
      await bed.clock.advanceAsync(5000);
      expect(bed.starts).to.equal(0);
      expect(bed.log.appended.map(({ type }) => type)).to.deep.equal(['release']);
    });
  });

  it('starts nothing when the process was paused past the deadline', async () => {
    const bed = new TestBed();
    const running = bed.run();
    await bed.clock.advanceAsync(1);
    const pausedClock: Clock = {
      ...bed.clock,
      now: () => bed.clock.now(),
      elapsed: () => 5000,
      after: () => ({ dispose: () => {} }),
    };
    const paused = bed.run({ key: brandAs<OperationKey>('p'), deadline: 4000 }, pausedClock);
    bed.log.settle[1]?.();
    await bed.clock.advanceAsync(1);
    expect((await paused).outcome).to.equal('unknown');
    expect(bed.starts).to.equal(0);
    bed.settleNext();
    await running;
  });

  it('answers concurrent resends with one answer', async () => {
    const bed = new TestBed();
    const results = [bed.run(), bed.run(), bed.run()];
    bed.settleNext();
    await bed.clock.advanceAsync(1);
    const ended = await Promise.all(results);
    expect(ended.map(({ outcome }) => outcome)).to.deep.equal(['done', 'done', 'done']);
    expect(bed.starts).to.equal(1);
  });

  const results: readonly { result: DispatchResult; resend: string; starts: number }[] = [
    { result: { type: 'unknown', message: 'reset' }, resend: 'unknown', starts: 1 },
    { result: { type: 'not-run', reason: 'queue-full', message: '' }, resend: 'done', starts: 2 },
  ];
  results.forEach(({ result, resend, starts }) => {
    it(`answers a resend with ${resend} after the dispatch ended as ${result.type}`, async () => {
      const bed = new TestBed();
      bed.dispatch = () => Promise.resolve(result);
      const first = bed.run();
      bed.settleNext();
      await bed.clock.advanceAsync(1);
      expect((await first).outcome).to.equal(result.type);
      bed.dispatch = () => Promise.resolve(done);
      const second = bed.run();
      bed.settleNext();
      await bed.clock.advanceAsync(1);
      expect((await second).outcome).to.equal(resend);
      expect(bed.starts).to.equal(starts);
    });
  });

  it('records an answer that comes after the caller has gone', async () => {
    const bed = new TestBed();
    let end: (result: DispatchResult) => void = () => {};
    bed.dispatch = () =>
      new Promise((resolve) => {
        end = resolve;
      });
    const first = bed.run();
    bed.settleNext();
    await bed.clock.advanceAsync(1001);
    expect((await first).outcome).to.equal('pending');
    end(done);
    await bed.clock.advanceAsync(1);
    expect(await bed.run()).to.include({ outcome: 'done', isReplayed: true });
  });

  it('starts nothing once another process has taken over', async () => {
    const bed = new TestBed();
    const running = bed.run();
    bed.settleNext(new FencedError('sealed', { step: 'test' }));
    await bed.clock.advanceAsync(1);
    expect((await running).outcome).to.equal('moved');
    expect(bed.starts).to.equal(0);
  });

  it('refuses another request with the same key', async () => {
    const bed = new TestBed();
    void bed.run();
    const other = await bed.run({ fingerprint: brandAs<Fingerprint>('g') });
    expect(other.outcome).to.equal('mismatch');
  });
});
