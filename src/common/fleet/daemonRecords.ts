import type { DaemonRecord, PublishedTarget } from './Types.js';

/** Version of a record; daemons compare it to detect an outdated copy. */
export function recordVersion({ incarnation, serial }: DaemonRecord): string {
  return `${incarnation}/${serial}`;
}

/** Encodes a record as JSON. */
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

/** Decodes a record; undefined if the text is not a valid one. */
export function decodeRecord(text: string): DaemonRecord | undefined {
  try {
    const value = JSON.parse(text) as Partial<DaemonRecord> | null;
    const names = [value?.daemon, value?.incarnation, value?.address, value?.region];
    const isComplete =
      names.every((name) => typeof name === 'string') &&
      typeof value?.dataCentre === 'string' &&
      Number.isInteger(value.serial) &&
      Array.isArray(value.targets) &&
      value.targets.every(isTarget);
    return isComplete ? (value as DaemonRecord) : undefined;
  } catch {
    // The caller logs an invalid record.
    return undefined;
  }
}
