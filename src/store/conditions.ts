import type { Condition, KeyVersion } from './Types.js';

/** Converts bytes to a latin1 string, one character per byte. */
export function toKey(bytes: Uint8Array): string {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1');
}

/** Converts a latin1 string back to bytes. */
export function toBytes(key: string): Buffer {
  return Buffer.from(key, 'latin1');
}

function subjectValue(condition: Condition, present: KeyVersion | undefined): number | string {
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

/** Tells whether a condition is met by the current version of its key. */
export function isConditionMet(condition: Condition, present: KeyVersion | undefined): boolean {
  // A value comparison with an absent key fails for every relation, as in etcd.
  if (condition.subject === 'VALUE' && present === undefined) return false;
  const left = subjectValue(condition, present);
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
