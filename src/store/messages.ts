/** Messages of `proto/etcd.proto` as `@grpc/proto-loader` decodes them, and conversions to and from the store's types. */
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
  RangeResult,
  RangeQuery,
} from './Types.js';

/** Header of each response. */
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

/** Decodes the key and the end of a range. */
export function decodeRange(message: DeleteMessage): KeyRange {
  const end = toKey(message.range_end);
  return { key: toKey(message.key), end: end === openEnd ? openEnd : end };
}

/** Decodes a range request. */
export function decodeRangeQuery(message: RangeMessage): RangeQuery {
  return {
    ...decodeRange(message),
    limit: Number(message.limit),
    revision: Number(message.revision),
  };
}

/** Decodes a put request. */
export function decodePut(message: PutMessage): Operation {
  return { type: 'put', key: toKey(message.key), value: message.value, lease: message.lease };
}

/** Decodes a delete request. */
export function decodeDelete(message: DeleteMessage): Operation {
  return { type: 'delete', range: decodeRange(message) };
}

function decodeOperand(message: CompareMessage): number | string {
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

/** Decodes a comparison. */
export function decodeCondition(message: CompareMessage): Condition {
  return {
    key: toKey(message.key),
    subject: message.target,
    relation: message.result,
    operand: decodeOperand(message),
  };
}

/** Decodes an operation of a transaction; throws if the message is empty. */
export function decodeOperation(message: OperationMessage): Operation {
  if (message.request_put) return decodePut(message.request_put);
  if (message.request_delete_range) return decodeDelete(message.request_delete_range);
  if (message.request_range)
    return { type: 'range', query: decodeRangeQuery(message.request_range) };
  throw new Error('a step of the transaction is empty');
}

/** Encodes a version of a key. */
export function encodeKeyValue(entry: KeyVersion): object {
  return {
    key: toBytes(entry.key),
    value: entry.value,
    create_revision: entry.createRevision,
    mod_revision: entry.modRevision,
    version: entry.version,
    lease: entry.lease,
  };
}

/** Encodes a change as a watch event. */
export function encodeEvent(change: KeyVersion): object {
  return { type: change.version === 0 ? 'DELETE' : 'PUT', kv: encodeKeyValue(change) };
}

/** Encodes the response to a range request. */
export function encodeRangeResponse(header: HeaderMessage, rangeResult: RangeResult): object {
  return {
    header,
    kvs: rangeResult.entries.map(encodeKeyValue),
    more: rangeResult.entries.length < rangeResult.count,
    count: rangeResult.count,
  };
}

/** Encodes the result of an operation of a transaction. */
export function encodeOperationResult(header: HeaderMessage, result: OperationResult): object {
  switch (result.type) {
    case 'range':
      return { response_range: encodeRangeResponse(header, result.rangeResult) };
    case 'put':
      return { response_put: { header } };
    default:
      return { response_delete_range: { header, deleted: result.deleted } };
  }
}
