/** Messages of `proto/etcd.proto` as the loader gives them, and their translation to the types of the store. */
import { openEnd } from './VersionedMap.js';
import { toBytes, toKey } from './conditions.js';
import type {
  CompareRelation,
  CompareSubject,
  Condition,
  KeyRange,
  KeyVersion,
  Operation,
  OperationResult,
  RangeAnswer,
  RangeQuery,
} from './Types.js';

/** Header of each answer. */
export interface HeaderMessage {
  readonly revision: number;
}

interface RangeMessage {
  readonly key: Buffer;
  readonly range_end: Buffer;
  readonly limit: string;
  readonly revision: string;
}

interface PutMessage {
  readonly key: Buffer;
  readonly value: Buffer;
  readonly lease: string;
}

interface DeleteMessage {
  readonly key: Buffer;
  readonly range_end: Buffer;
}

interface CompareMessage {
  readonly result: CompareRelation;
  readonly target: CompareSubject;
  readonly key: Buffer;
  readonly target_union?: 'version' | 'create_revision' | 'mod_revision' | 'value' | 'lease';
  readonly version?: string;
  readonly create_revision?: string;
  readonly mod_revision?: string;
  readonly value?: Buffer;
  readonly lease?: string;
}

interface OperationMessage {
  readonly request_range?: RangeMessage;
  readonly request_put?: PutMessage;
  readonly request_delete_range?: DeleteMessage;
}

/** Transaction as received. */
export interface TransactionMessage {
  readonly compare: readonly CompareMessage[];
  readonly success: readonly OperationMessage[];
  readonly failure: readonly OperationMessage[];
}

/** Message of a watch stream as received. */
export interface WatchMessage {
  readonly create_request?: DeleteMessage & { readonly start_revision: string };
  readonly cancel_request?: { readonly watch_id: string };
}

/** Reads key and end of a range. */
export function readRange(message: DeleteMessage): KeyRange {
  const end = toKey(message.range_end);
  return { key: toKey(message.key), end: end === openEnd ? openEnd : end };
}

/** Reads a range request. */
export function readQuery(message: RangeMessage): RangeQuery {
  return {
    ...readRange(message),
    limit: Number(message.limit),
    revision: Number(message.revision),
  };
}

/** Reads a put request. */
export function readPut(message: PutMessage): Operation {
  return { type: 'put', key: toKey(message.key), value: message.value, lease: message.lease };
}

/** Reads a delete request. */
export function readDelete(message: DeleteMessage): Operation {
  return { type: 'delete', range: readRange(message) };
}

function readOperand(message: CompareMessage): number | string {
  switch (message.target) {
    case 'VERSION':
      return Number(message.version ?? 0);
    case 'CREATE':
      return Number(message.create_revision ?? 0);
    case 'MOD':
      return Number(message.mod_revision ?? 0);
    case 'VALUE':
      return toKey(message.value ?? new Uint8Array(0));
    default:
      return message.lease ?? '0';
  }
}

/** Reads a comparison. */
export function readCondition(message: CompareMessage): Condition {
  return {
    key: toKey(message.key),
    subject: message.target,
    relation: message.result,
    operand: readOperand(message),
  };
}

/** Reads a step of a transaction. */
export function readOperation(message: OperationMessage): Operation {
  if (message.request_put) return readPut(message.request_put);
  if (message.request_delete_range) return readDelete(message.request_delete_range);
  if (message.request_range) return { type: 'range', query: readQuery(message.request_range) };
  throw new Error('a step of the transaction is empty');
}

/** Writes the present version of a key. */
export function writeEntry(entry: KeyVersion): object {
  return {
    key: toBytes(entry.key),
    value: entry.value,
    create_revision: entry.createRevision,
    mod_revision: entry.modRevision,
    version: entry.version,
    lease: entry.lease,
  };
}

/** Writes a change for a watch. */
export function writeEvent(change: KeyVersion): object {
  return { type: change.version === 0 ? 'DELETE' : 'PUT', kv: writeEntry(change) };
}

/** Writes the answer to a range request. */
export function writeAnswer(header: HeaderMessage, answer: RangeAnswer): object {
  return {
    header,
    kvs: answer.entries.map(writeEntry),
    more: answer.entries.length < answer.count,
    count: answer.count,
  };
}

/** Writes the result of a step. */
export function writeResult(header: HeaderMessage, result: OperationResult): object {
  switch (result.type) {
    case 'range':
      return { response_range: writeAnswer(header, result.answer) };
    case 'put':
      return { response_put: { header } };
    default:
      return { response_delete_range: { header, deleted: result.deleted } };
  }
}
