import { brandAs, escapeNonAscii, type DaemonId, type TargetId } from '../base/index.js';
import { isHostAndPort } from './isHostAndPort.js';
import type { DaemonRecord, PublishedTarget } from './Types.js';

/** Characters of an id or a name; longer ones would not fit the headers between daemons. */
export const maxNameLength = 256;
const targetIdPattern = /^[\x21-\x7e]([\x20-\x7e]*[\x21-\x7e])?$/;
/** Slots of a target. */
export const maxSlots = 100_000;

/** Version of the polls between daemons that this build speaks: 2 ends a poll when the store confirms the state. */
export const newestRelayVersion = 2;

/** Version of a record; daemons compare it to detect an outdated copy. */
export function recordVersion({ incarnation, serial }: DaemonRecord): string {
  return `${incarnation}/${serial}`;
}

/** Encodes a record as JSON that a header can hold. */
export function encodeRecord(record: DaemonRecord): string {
  return escapeNonAscii(JSON.stringify(record));
}

function isName(value: unknown): value is string {
  return typeof value === 'string' && value !== '' && value.length <= maxNameLength;
}

/**
 * Whether a value is a usable id of a target. Requests name it in a header, where other characters cannot be sent and
 * spaces at the ends are lost.
 */
export function isTargetId(value: unknown): value is TargetId {
  return isName(value) && targetIdPattern.test(value);
}

function isCount(value: unknown, min: number, max = Number.MAX_SAFE_INTEGER): value is number {
  return Number.isSafeInteger(value) && (value as number) >= min && (value as number) <= max;
}

/** Copies the known fields of a target; undefined if one is missing or invalid. */
function readTarget(value: unknown): PublishedTarget | undefined {
  const { id, incarnation, service, slots, state } = (value ?? {}) as Partial<PublishedTarget>;
  if (!isTargetId(id) || !isName(incarnation) || !isName(service)) return undefined;
  if (!isCount(slots, 1, maxSlots) || (state !== 'ready' && state !== 'draining')) return undefined;
  return { id, incarnation, service, slots, state };
}

/** Copies the known fields of a record; undefined if one is missing or invalid. */
function readRecord(value: unknown): DaemonRecord | undefined {
  const record = (value ?? {}) as Partial<DaemonRecord>;
  const { daemon, incarnation, serial, address, region, dataCentre, state } = record;
  const { encoding, relayVersion } = record;
  if (!isName(daemon) || !isName(incarnation) || !isName(region) || !isName(dataCentre)) {
    return undefined;
  }
  if (!isName(address) || !isHostAndPort(address) || !isCount(serial, 0)) return undefined;
  if (state !== 'serving' && state !== 'leaving') return undefined;
  if (encoding !== undefined && !isCount(encoding, 1)) return undefined;
  if (relayVersion !== undefined && !isCount(relayVersion, 1)) return undefined;
  if (!Array.isArray(record.targets)) return undefined;
  const targets = record.targets.map(readTarget);
  if (!targets.every((target) => target !== undefined)) return undefined;
  const common = { daemon, incarnation, serial, address, region, dataCentre, state };
  const versions = {
    ...(encoding === undefined ? {} : { encoding }),
    ...(relayVersion === undefined ? {} : { relayVersion }),
  };
  return { ...common, ...versions, targets };
}

/**
 * Decodes the record of a daemon; undefined if the text is not a valid one or is that of another daemon. Unknown fields
 * are dropped, so that what another writer has put into them is not passed on.
 */
export function decodeRecord(text: string, daemon: string): DaemonRecord | undefined {
  try {
    const record = readRecord(JSON.parse(text));
    return record?.daemon === brandAs<DaemonId>(daemon) ? record : undefined;
  } catch {
    // The caller logs an invalid record.
    return undefined;
  }
}
