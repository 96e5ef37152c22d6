import { expect } from 'chai';
import { brandAs, type Fingerprint, type OperationKey } from '../base/index.js';
import { decodeSegment, encodeSegment } from './SegmentCodec.js';
import type { JournalRecord, Segment } from './Types.js';

const key = brandAs<OperationKey>('k');
const fingerprint = brandAs<Fingerprint>('f');
const answer = { status: 201, headers: [['a', 'b']] as const, body: new Uint8Array([1, 2]) };

describe('SegmentCodec', () => {
  const records: readonly { name: string; record: JournalRecord }[] = [
    { name: 'an intent', record: { type: 'intent', key, fingerprint } },
    { name: 'an answer', record: { type: 'done', key, fingerprint, answer } },
    { name: 'an outcome without an answer', record: { type: 'done', key, fingerprint } },
    { name: 'a release', record: { type: 'release', key } },
  ];
  records.forEach(({ name, record }) => {
    it(`reads back ${name} as it was written`, () => {
      const segment: Segment = { kind: 'data', writer: 'w.1', writtenAt: 5, records: [record] };
      expect(decodeSegment(encodeSegment(segment))).to.deep.equal(segment);
    });
  });

  it('rejects an unknown format, since skipping a segment would lose its intents', () => {
    expect(() => decodeSegment(new Uint8Array([0x91, 9]))).to.throw('unknown format');
  });
});
