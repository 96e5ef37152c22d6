/** Encoding of builds whose records name no encoding: JSON values with a header for each part. */
import { brandAs, escapeNonAscii, type RefusalReason, type TargetId } from '../../api/index.js';
import type { ConditionReport, HeaderPair, TargetCondition } from '../../common/dispatch/Types.js';
import { findHeader } from '../../daemon/Headers.js';
import type { HomeRequestMetadata } from '../Types.js';
import type { PeerCodec, PeerFailure } from './Types.js';

/** Metadata of a forwarded request, as JSON. */
const requestMetadataHeader = 'limpettrack-order';
/** Reason why the home did not run the request. */
const refusalHeader = 'limpettrack-refusal';
/** Condition of the target, as JSON. */
const conditionHeader = 'limpettrack-condition';
/** Milliseconds after which a retry can succeed. */
const retryAfterHeader = 'limpettrack-retry-after-ms';
/** Present if the target itself refused the request. */
const targetReachedHeader = 'limpettrack-reached';
/** Present if the outcome of the request is unknown. */
const outcomeUnknownHeader = 'limpettrack-failure';
/** Configuration version of the responding daemon. */
const versionHeader = 'limpettrack-version';
/** Target conditions that the sender learned recently; sent only within one region. */
const conditionsHeader = 'limpettrack-news';
/** Record of the responding daemon, if the entry has an older version. */
const recordHeader = 'limpettrack-record';

/** Encoded request metadata; the keys are short because it is sent with each request. */
interface EncodedMetadata {
  readonly id: string;
  readonly t: string;
  readonly i: string;
  readonly ms: number;
  readonly p: number;
  readonly f: boolean;
  readonly s: boolean;
  readonly a: boolean;
  readonly r: boolean;
  readonly k: number;
  readonly n: string;
  readonly g: number;
  readonly e: string;
  readonly v: number;
  readonly d: string;
}

/** Encodes request metadata as a header value. */
function encodeMetadata(metadata: HomeRequestMetadata): string {
  const encoded: EncodedMetadata = {
    id: metadata.id,
    t: metadata.target,
    i: metadata.incarnation,
    ms: metadata.timeout,
    p: metadata.maxQueueWait,
    f: metadata.isForced,
    s: metadata.isTrial,
    a: metadata.isRetry,
    r: metadata.isIdempotent,
    k: metadata.rank,
    n: metadata.route,
    g: metadata.goal,
    e: metadata.entry,
    v: metadata.version,
    d: metadata.recordVersion,
  };
  return escapeNonAscii(JSON.stringify(encoded));
}

/** Decodes request metadata; undefined if the value is missing or invalid. */
function decodeMetadata(value: string | undefined): HomeRequestMetadata | undefined {
  if (value === undefined) return undefined;
  try {
    const encoded = JSON.parse(value) as EncodedMetadata;
    return {
      id: encoded.id,
      target: brandAs<TargetId>(encoded.t),
      incarnation: encoded.i,
      timeout: encoded.ms,
      maxQueueWait: encoded.p,
      isForced: encoded.f,
      isTrial: encoded.s,
      isRetry: encoded.a,
      isIdempotent: encoded.r,
      rank: encoded.k,
      route: encoded.n,
      goal: encoded.g,
      entry: encoded.e,
      version: encoded.v,
      recordVersion: encoded.d,
    };
  } catch {
    // The server answers 400, since the sender is not a daemon of a compatible version.
    return undefined;
  }
}

/** Decodes the condition of a target; undefined if the value is missing or invalid. */
function decodeCondition(value: string | undefined): TargetCondition | undefined {
  if (value === undefined) return undefined;
  try {
    return JSON.parse(value) as TargetCondition;
  } catch {
    // Without a condition the entry keeps an older one.
    return undefined;
  }
}

/** Encoded condition of one target. */
type EncodedCondition = readonly [
  target: string,
  age: number,
  sickness: number,
  running: number,
  queued: number,
  slots: number,
  work: number,
  idle?: number | null,
  interval?: number,
  wait?: number,
];

/** Encodes conditions as a header value. */
function encodeConditions(reports: readonly ConditionReport[]): string {
  const rows = reports.map(({ target, age, condition }): EncodedCondition => {
    const { sickness, running, queued, slots, work, idle, limit } = condition;
    const required = [target, Math.round(age), sickness, running, queued, slots, work] as const;
    if (limit !== undefined) return [...required, idle ?? null, limit.interval, limit.wait];
    return idle === undefined ? required : [...required, idle];
  });
  return escapeNonAscii(JSON.stringify(rows));
}

/** Decodes conditions; empty if the value is missing or invalid. */
function decodeConditions(value: string | undefined): ConditionReport[] {
  if (value === undefined) return [];
  try {
    const rows = JSON.parse(value) as readonly EncodedCondition[];
    return rows.map(
      ([target, age, sickness, running, queued, slots, work, idle, interval, wait]) => ({
        target: brandAs<TargetId>(target),
        age,
        condition: {
          sickness,
          running,
          queued,
          slots,
          work,
          ...(typeof idle === 'number' ? { idle } : {}),
          ...(interval === undefined || wait === undefined ? {} : { limit: { interval, wait } }),
        },
      }),
    );
  } catch {
    // Without new conditions this daemon keeps older ones.
    return [];
  }
}

function encodeFailure(failure: PeerFailure | undefined): HeaderPair[] {
  if (failure === undefined) return [];
  if (failure.type === 'unknown') return [[outcomeUnknownHeader, '1']];
  const { reason, retryAfter, hasReachedTarget } = failure;
  const pairs: HeaderPair[] = [[refusalHeader, reason]];
  if (retryAfter !== undefined) pairs.push([retryAfterHeader, String(Math.round(retryAfter))]);
  if (hasReachedTarget) pairs.push([targetReachedHeader, '1']);
  return pairs;
}

function decodeFailure(headers: readonly HeaderPair[]): PeerFailure | undefined {
  const reason = findHeader(headers, refusalHeader);
  if (reason !== undefined) {
    return {
      type: 'refused',
      reason: reason as RefusalReason,
      retryAfter: Number(findHeader(headers, retryAfterHeader) ?? 0) || undefined,
      hasReachedTarget: findHeader(headers, targetReachedHeader) !== undefined,
    };
  }
  return findHeader(headers, outcomeUnknownHeader) === undefined ? undefined : { type: 'unknown' };
}

/** Conditions of a header; undefined if the sender sent none, since it is in the other region. */
function readConditions(headers: readonly HeaderPair[]): ConditionReport[] | undefined {
  const value = findHeader(headers, conditionsHeader);
  return value === undefined ? undefined : decodeConditions(value);
}

/** Encoding with JSON values. */
export const jsonPeerCodec: PeerCodec = {
  maxDistantConditions: Infinity,
  headerNames: new Set([
    requestMetadataHeader,
    conditionHeader,
    refusalHeader,
    retryAfterHeader,
    targetReachedHeader,
    versionHeader,
    recordHeader,
    conditionsHeader,
    outcomeUnknownHeader,
  ]),
  encodeRecordVersion: (version) => version,
  encodeRequest: ({ metadata, conditions }) => {
    const pairs: HeaderPair[] = [[requestMetadataHeader, encodeMetadata(metadata)]];
    if (conditions !== undefined) pairs.push([conditionsHeader, encodeConditions(conditions)]);
    return pairs;
  },
  decodeRequest: (headers) => {
    const metadata = decodeMetadata(findHeader(headers, requestMetadataHeader));
    if (metadata === undefined) return undefined;
    return { metadata, isSameDataCentre: true, conditions: readConditions(headers) };
  },
  encodeResponse: ({ version, condition, conditions, record, failure }) => {
    const pairs: HeaderPair[] = [[versionHeader, String(version)], ...encodeFailure(failure)];
    if (conditions !== undefined) pairs.push([conditionsHeader, encodeConditions(conditions)]);
    if (record !== undefined) pairs.push([recordHeader, record]);
    if (condition !== undefined) pairs.push([conditionHeader, JSON.stringify(condition)]);
    return pairs;
  },
  decodeResponse: (headers) => {
    const version = Number(findHeader(headers, versionHeader));
    if (Number.isNaN(version)) return undefined;
    return {
      version,
      condition: decodeCondition(findHeader(headers, conditionHeader)),
      conditions: readConditions(headers),
      record: findHeader(headers, recordHeader),
      failure: decodeFailure(headers),
    };
  },
};
