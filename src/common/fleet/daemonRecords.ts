import type { StoreEntry } from '../services/Types.js';
import type { DaemonRecord, PublishedTarget } from './Types.js';

/** Writes a record as the value of its key. */
export function encodeRecord(record: DaemonRecord): string {
  return JSON.stringify(record);
}

function isTarget(value: unknown): value is PublishedTarget {
  const target = value as Partial<PublishedTarget> | null;
  return (
    typeof target?.id === 'string' &&
    typeof target.incarnation === 'string' &&
    typeof target.service === 'string' &&
    Number.isInteger(target.slots) &&
    (target.state === 'ready' || target.state === 'draining')
  );
}

/** Reads a record; undefined if the value is not one. */
export function decodeRecord(entry: StoreEntry): DaemonRecord | undefined {
  try {
    const value = JSON.parse(new TextDecoder().decode(entry.value)) as Partial<DaemonRecord> | null;
    const names = [value?.daemon, value?.incarnation, value?.address, value?.region];
    const isWhole =
      names.every((name) => typeof name === 'string') &&
      typeof value?.dataCentre === 'string' &&
      Array.isArray(value.targets) &&
      value.targets.every(isTarget);
    return isWhole ? (value as DaemonRecord) : undefined;
  } catch {
    // The caller logs entries that are not records.
    return undefined;
  }
}
