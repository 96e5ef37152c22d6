import { expect } from 'chai';
import { brandAs, type Fingerprint, type OperationKey } from '../base/index.js';
import { textHash } from '../../bench/operations/textHash.js';
import { OperationLedger } from './OperationLedger.js';
import type { JournalRecord } from './Types.js';

const key = brandAs<OperationKey>('k');
const defaultFingerprint = brandAs<Fingerprint>('f');
const otherFingerprint = brandAs<Fingerprint>('g');
const answer = { status: 200, headers: [], body: new Uint8Array() };
const limits = { operations: 3, recentAnswers: 1, answerBytes: 100_000_000 };

function createLedger(): OperationLedger {
  return new OperationLedger(textHash, limits);
}

describe('OperationLedger', () => {
  const cases: readonly {
    name: string;
    prepare: (ledger: OperationLedger) => void;
    fingerprint?: Fingerprint;
    expected: string;
  }[] = [
    { name: 'lets a new key begin', prepare: () => {}, expected: 'record' },
    {
      name: 'makes a resend wait for an intended operation instead of starting it again',
      prepare: (ledger) => ledger.begin(key, defaultFingerprint),
      expected: 'wait',
    },
    {
      name: 'makes a resend wait for a started operation instead of starting it again',
      prepare: (ledger) => {
        ledger.begin(key, defaultFingerprint);
        ledger.start(key, 1);
      },
      expected: 'wait',
    },
    {
      name: 'answers a resend with the recorded answer',
      prepare: (ledger) => {
        ledger.begin(key, defaultFingerprint);
        ledger.start(key, 1);
        ledger.finish(key, answer);
      },
      expected: 'answer',
    },
    {
      name: 'never restarts an operation whose outcome is unknown',
      prepare: (ledger) => {
        ledger.begin(key, defaultFingerprint);
        ledger.start(key, 1);
        ledger.markUnknown(key, 'reset');
      },
      expected: 'unknown',
    },
    {
      name: 'lets a key begin again whose operation was not run',
      prepare: (ledger) => {
        ledger.begin(key, defaultFingerprint);
        ledger.release(key, { type: 'moved' });
      },
      expected: 'record',
    },
    {
      name: 'does not answer a request with the answer to another request with the same key',
      prepare: (ledger) => {
        ledger.begin(key, otherFingerprint);
        ledger.start(key, 1);
        ledger.finish(key, answer);
      },
      expected: 'mismatch',
    },
    {
      name: 'refuses a new operation when it is full instead of removing an older one',
      prepare: (ledger) =>
        ['a', 'b', 'c'].forEach((text) =>
          ledger.begin(brandAs<OperationKey>(text), defaultFingerprint),
        ),
      expected: 'full',
    },
  ];
  cases.forEach(({ name, prepare, fingerprint = defaultFingerprint, expected }) => {
    it(name, () => {
      const ledger = createLedger();
      prepare(ledger);
      expect(ledger.begin(key, fingerprint).type).to.equal(expected);
    });
  });

  const intent: JournalRecord = { type: 'intent', key, fingerprint: defaultFingerprint };
  const release: JournalRecord = { type: 'release', key };
  const done: JournalRecord = { type: 'done', key, fingerprint: defaultFingerprint, answer };
  const replays = [
    { name: 'an intent without an outcome as unknown', records: [intent], expected: 'unknown' },
    { name: 'a finished operation as archived', records: [intent, done], expected: 'archived' },
    { name: 'a released intent as new', records: [intent, release], expected: 'record' },
    {
      name: 'an intent after a release as unknown',
      records: [intent, release, intent],
      expected: 'unknown',
    },
  ];
  replays.forEach(({ name, records, expected }) => {
    it(`replays ${name}, so that a successor starts only what never started`, () => {
      const ledger = createLedger();
      records.forEach((record, index) => ledger.replay(record, index + 1));
      expect(ledger.begin(key, defaultFingerprint).type).to.equal(expected);
    });
  });

  it('does not start an operation that was released meanwhile', () => {
    const ledger = createLedger();
    ledger.begin(key, defaultFingerprint);
    ledger.releaseUnstarted();
    expect(ledger.start(key, 1)).to.equal(false);
  });

  it('removes generations and unknown operations only at the end of the retention', () => {
    const ledger = createLedger();
    ledger.replay(done, 4);
    ledger.replay({ ...intent, key: brandAs<OperationKey>('lost') }, 5);
    ledger.pruneThrough(3);
    expect(ledger.size).to.equal(2);
    ledger.pruneThrough(5);
    expect(ledger.size).to.equal(0);
  });

  it('archives old answers, so that they do not fill the memory', () => {
    const ledger = new OperationLedger(textHash, {
      operations: 100,
      recentAnswers: 2,
      answerBytes: 100_000_000,
    });
    const keys = ['a', 'b', 'c', 'd'].map((text) => brandAs<OperationKey>(text));
    keys.forEach((one, index) => {
      ledger.begin(one, defaultFingerprint);
      ledger.start(one, index + 1);
      ledger.finish(one, answer);
      ledger.markWritten(one, index + 10);
    });
    const found = keys.map((one) => ledger.begin(one, defaultFingerprint));
    expect(found.map(({ type }) => type)).to.deep.equal([
      'archived',
      'archived',
      'answer',
      'answer',
    ]);
    expect(found[0]).to.include({ sequence: 10 });
  });

  it('drops old answers beyond the limit in bytes, but not their outcomes', () => {
    const ledger = new OperationLedger(textHash, { ...limits, answerBytes: 250 });
    const body = new Uint8Array(100);
    const keys = ['a', 'b', 'c'].map((text) => brandAs<OperationKey>(text));
    keys.forEach((one) => {
      ledger.begin(one, defaultFingerprint);
      ledger.start(one, 1);
      ledger.finish(one, { status: 200, headers: [], body });
    });
    const kept = keys.map((one) => ledger.begin(one, defaultFingerprint));
    expect(kept.map(({ type }) => type)).to.deep.equal(['answer', 'answer', 'answer']);
    expect(kept.map((one) => 'answer' in one && one.answer !== undefined)).to.deep.equal([
      false,
      true,
      true,
    ]);
  });
});
