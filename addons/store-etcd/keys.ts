import type { StoreEntry } from '../../src/api/index.js';
import type { KeyValueMessage } from './Types.js';

const zeroByte = Buffer.from([0]);

/** Range end for all keys that start with `prefix`; a zero byte, which means no end, if no key follows them. */
export function endOfPrefix(prefix: Buffer): Buffer {
  const last = prefix.findLastIndex((byte) => byte < 0xff);
  if (last < 0) return zeroByte;
  const end = Buffer.from(prefix.subarray(0, last + 1));
  end[last] = (end[last] ?? 0) + 1;
  return end;
}

/** Smallest key greater than `key`. */
export function successorOf(key: Buffer): Buffer {
  return Buffer.concat([key, zeroByte]);
}

/** Range start for a prefix; a zero byte for the empty prefix, because etcd has no empty key. */
export function startOfPrefix(prefix: string): Buffer {
  return prefix === '' ? zeroByte : Buffer.from(prefix);
}

/** Converts a key-value message to a store entry. */
export function toEntry(message: KeyValueMessage): StoreEntry {
  return {
    key: message.key.toString('utf8'),
    value: message.value,
    modRevision: Number(message.mod_revision),
  };
}
