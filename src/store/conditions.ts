import type { Condition, KeyVersion } from './Types.js';

/** Converts bytes to a latin1 string, one character per byte. */
export function toKey(bytes: Uint8Array): string {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1');
}

/** Converts a latin1 string back to bytes. */
export function toBytes(key: string): Buffer {
  return Buffer.from(key, 'latin1');
}

function subjectValue(condition: Condition, current: KeyVersion | undefined): number | string {
  switch (condition.subject) {
    case 'VERSION':
      return current?.version ?? 0;
    case 'CREATE':
      return current?.createRevision ?? 0;
    case 'MOD':
      return current?.modRevision ?? 0;
    case 'VALUE':
      return current === undefined ? '' : toKey(current.value);
    default:
      return current?.lease ?? '0';
  }
}

/** Tells whether a condition is met by the current version of its key. */
export function isConditionMet(condition: Condition, current: KeyVersion | undefined): boolean {
  // A value comparison with an absent key fails for every relation, as in etcd.
  if (condition.subject === 'VALUE' && current === undefined) return false;
  const left = subjectValue(condition, current);
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
