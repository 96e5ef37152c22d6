import { decode, encode } from '@msgpack/msgpack';
import { brandAs, FleetError, type Fingerprint, type OperationKey } from '../base/index.js';
import type { RecordedAnswer } from '../services/Types.js';
import type { DoneRecord, JournalRecord, Segment } from './Types.js';

const formatVersion = 1;
const recordTypes = ['intent', 'done', 'release'] as const;
const segmentKinds = ['data', 'seal'] as const;

type WireAnswer = [number, [string, string][], Uint8Array];
type WireRecord = [number, string, string?, WireAnswer?];
type WireSegment = [number, number, string, number, WireRecord[]];

function packAnswer(answer: RecordedAnswer): WireAnswer {
  const headers = answer.headers.map(([name, value]): [string, string] => [name, value]);
  return [answer.status, headers, answer.body];
}

function packRecord(record: JournalRecord): WireRecord {
  const type = recordTypes.indexOf(record.type);
  if (record.type === 'release') return [type, record.key];
  if (record.type === 'intent' || record.answer === undefined) {
    return [type, record.key, record.fingerprint];
  }
  return [type, record.key, record.fingerprint, packAnswer(record.answer)];
}

function unpackDone(
  key: OperationKey,
  fingerprint: Fingerprint,
  answer: WireAnswer | undefined,
): DoneRecord {
  if (answer === undefined) return { type: 'done', key, fingerprint };
  const [status, headers, body] = answer;
  return { type: 'done', key, fingerprint, answer: { status, headers, body } };
}

function unpackRecord([type, rawKey, rawFingerprint, answer]: WireRecord): JournalRecord {
  const key = brandAs<OperationKey>(rawKey);
  const fingerprint = brandAs<Fingerprint>(rawFingerprint ?? '');
  switch (recordTypes[type]) {
    case 'intent':
      return { type: 'intent', key, fingerprint };
    case 'done':
      return unpackDone(key, fingerprint, answer);
    case 'release':
      return { type: 'release', key };
    default:
      throw new FleetError(`unknown journal record type ${type}`, { step: 'journal.decode' });
  }
}

/** Bytes of a record in a segment. */
export function sizeOfRecord(record: JournalRecord): number {
  return encode(packRecord(record)).byteLength;
}

/** Encodes a segment as MessagePack. */
export function encodeSegment(segment: Segment): Uint8Array {
  const kind = segmentKinds.indexOf(segment.kind);
  const records = segment.records.map(packRecord);
  const wire: WireSegment = [formatVersion, kind, segment.writer, segment.writtenAt, records];
  return encode(wire);
}

/** Decodes a segment; throws `FleetError` if it is not one of a known version. */
export function decodeSegment(value: Uint8Array): Segment {
  const wire = decode(value) as Partial<WireSegment>;
  const [version, kindNumber, writer, writtenAt, records] = Array.isArray(wire) ? wire : [];
  const kind = segmentKinds[kindNumber ?? -1];
  const isComplete = kind !== undefined && writer !== undefined && writtenAt !== undefined;
  if (version !== formatVersion || !isComplete || !Array.isArray(records)) {
    // Skipping a segment would lose its intents, so an unreadable one stops the takeover.
    throw new FleetError('journal segment has an unknown format', { step: 'journal.decode' });
  }
  return { kind, writer, writtenAt, records: records.map(unpackRecord) };
}
