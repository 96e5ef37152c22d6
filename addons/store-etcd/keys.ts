import type { StoreEntry } from '../../src/api/index.js';
import type { KeyValueMessage } from './Types.js';

const openEnd = Buffer.from([0]);

/** First key after all that start with `prefix`; a zero byte if there is none. */
export function endOfPrefix(prefix: Buffer): Buffer {
  const last = prefix.findLastIndex((byte) => byte < 0xff);
  if (last < 0) return openEnd;
  const end = Buffer.from(prefix.subarray(0, last + 1));
  end[last] = (end[last] ?? 0) + 1;
  return end;
}

/** First key after `key`. */
export function successorOf(key: Buffer): Buffer {
  return Buffer.concat([key, openEnd]);
}

/** Start of a range over a prefix; the protocol has no empty key. */
export function startOfPrefix(prefix: string): Buffer {
  return prefix === '' ? openEnd : Buffer.from(prefix);
}

/** Translates a key-value message. */
export function toEntry(message: KeyValueMessage): StoreEntry {
  return {
    key: message.key.toString('utf8'),
    value: message.value,
    modRevision: Number(message.mod_revision),
  };
}
