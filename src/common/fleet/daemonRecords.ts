import type { DaemonRecord, PublishedTarget } from './Types.js';

/** Names one state of a record; two daemons compare it to find out whose knowledge is older. */
export function recordVersion({ incarnation, serial }: DaemonRecord): string {
  return `${incarnation}/${serial}`;
}

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

/** Reads a record; undefined if the text is not one. */
export function decodeRecord(text: string): DaemonRecord | undefined {
  try {
    const value = JSON.parse(text) as Partial<DaemonRecord> | null;
    const names = [value?.daemon, value?.incarnation, value?.address, value?.region];
    const isWhole =
      names.every((name) => typeof name === 'string') &&
      typeof value?.dataCentre === 'string' &&
      Number.isInteger(value.serial) &&
      Array.isArray(value.targets) &&
      value.targets.every(isTarget);
    return isWhole ? (value as DaemonRecord) : undefined;
  } catch {
    // The caller logs what is not a record.
    return undefined;
  }
}
