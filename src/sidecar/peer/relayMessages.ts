/** Messages between a daemon that reads the store and the daemons that follow it. */
import { constants, gunzip, gzip } from 'node:zlib';
import { promisify } from 'node:util';
import { decode, encode } from '@msgpack/msgpack';
import type { StoreChange, StoreEpoch } from '../../api/index.js';
import type { StoreChanges, StoreSnapshot } from '../../common/fleet/Types.js';

/** Marks a request to follow the store. */
export const relayHeader = 'lt-relay';
/** Milliseconds since the store confirmed the state in a response. */
export const ageHeader = 'lt-age';
/** Paths of the two requests. */
export const relayPaths = { snapshot: '/snapshot', changes: '/changes' } as const;
/** Status if the changes after the requested revision are no longer known. */
export const compactedStatus = 410;
/** Maximum bytes of a decoded message; a prefix has at most a few thousand records or one configuration of 1 MB. */
const maxContentBytes = 16 * 1024 * 1024;

const compress = promisify(gzip);
const decompress = promisify(gunzip);

/** Key, revision and value of an entry; the value of a deleted one is null. */
type EncodedChange = readonly [key: string, revision: number, value: Uint8Array | null];

interface EncodedChanges {
  readonly epoch: number;
  readonly revision: number;
  readonly changes: readonly EncodedChange[];
  readonly keys?: readonly string[];
}

/** Encodes changes as compressed MessagePack. */
export function encodeChanges({ changes, epoch, revision, keys }: StoreChanges): Promise<Buffer> {
  const rows = changes.map(({ type, entry }): EncodedChange => [
    entry.key,
    entry.modRevision,
    type === 'put' ? entry.value : null,
  ]);
  const message: EncodedChanges = { epoch, revision, changes: rows, ...(keys && { keys }) };
  const content = encode(message);
  return compress(content, { level: constants.Z_BEST_SPEED });
}

/** A snapshot as changes, which is how it is sent. */
export function toChanges({ entries, epoch, revision }: StoreSnapshot): StoreChanges {
  return { epoch, revision, changes: entries.map((entry) => ({ type: 'put', entry })) };
}

function isChange(value: unknown): value is EncodedChange {
  if (!Array.isArray(value)) return false;
  const [key, revision, content] = value as readonly unknown[];
  const hasContent = content === null || content instanceof Uint8Array;
  return typeof key === 'string' && Number.isInteger(revision) && hasContent;
}

function isKeyList(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.every((key) => typeof key === 'string');
}

/** Decodes changes; throws `RangeError` if they are invalid or too large. */
export async function decodeChanges(content: Buffer): Promise<StoreChanges> {
  const value = decode(await decompress(content, { maxOutputLength: maxContentBytes }));
  const { epoch, revision, changes, keys } = (value ?? {}) as Partial<EncodedChanges>;
  if (!Number.isInteger(epoch)) throw new RangeError('invalid epoch of a relay');
  if (!Number.isInteger(revision) || !Array.isArray(changes) || !changes.every(isChange)) {
    throw new RangeError('invalid message of a relay');
  }
  if (keys !== undefined && !isKeyList(keys)) throw new RangeError('invalid keys of a relay');
  return {
    epoch: epoch as StoreEpoch,
    revision: revision as number,
    ...(keys && { keys }),
    changes: changes.map(([key, modRevision, bytes]): StoreChange => {
      const entry = { key, modRevision, value: bytes ?? new Uint8Array() };
      return { type: bytes === null ? 'delete' : 'put', entry };
    }),
  };
}

/** Decodes a snapshot; throws `RangeError` if it is invalid or too large. */
export async function decodeSnapshot(content: Buffer): Promise<StoreSnapshot> {
  const { changes, epoch, revision } = await decodeChanges(content);
  return { entries: changes.map(({ entry }) => entry), epoch, revision };
}
