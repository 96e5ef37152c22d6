import type { Condition, KeyVersion } from './Types.js';

/** Bytes as a string with one character for each byte. */
export function toKey(bytes: Uint8Array): string {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1');
}

/** Reverses `toKey`. */
export function toBytes(key: string): Buffer {
  return Buffer.from(key, 'latin1');
}

function subjectOf(condition: Condition, present: KeyVersion | undefined): number | string {
  switch (condition.subject) {
    case 'VERSION':
      return present?.version ?? 0;
    case 'CREATE':
      return present?.createRevision ?? 0;
    case 'MOD':
      return present?.modRevision ?? 0;
    case 'VALUE':
      return present === undefined ? '' : toKey(present.value);
    default:
      return present?.lease ?? '0';
  }
}

/** Tells whether a condition holds for the present version of its key. */
export function holds(condition: Condition, present: KeyVersion | undefined): boolean {
  // A value comparison with an absent key fails whatever the relation is.
  if (condition.subject === 'VALUE' && present === undefined) return false;
  const left = subjectOf(condition, present);
  const right = condition.operand;
  switch (condition.relation) {
    case 'EQUAL':
      return left === right;
    case 'NOT_EQUAL':
      return left !== right;
    case 'GREATER':
      return left > right;
    default:
      return left < right;
  }
}
