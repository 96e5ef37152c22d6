/** Headers that daemons send to each other. */
import { brandAs, type RefusalReason, type TargetId } from '../api/index.js';
import type {
  Candidate,
  ConditionReport,
  AttemptRequest,
  TargetCondition,
} from '../common/dispatch/Types.js';
import type { HomeRequestMetadata } from './Types.js';

/** Metadata of a forwarded request, as JSON. */
export const requestMetadataHeader = 'limpettrack-order';
/** Reason why the home did not run the request. */
export const refusalHeader = 'limpettrack-refusal';
/** Condition of the target, as JSON. */
export const conditionHeader = 'limpettrack-condition';
/** Milliseconds after which a retry can succeed. */
export const retryAfterHeader = 'limpettrack-retry-after-ms';
/** Present if the target itself refused the request. */
export const targetReachedHeader = 'limpettrack-reached';
/** Present if the outcome of the request is unknown. */
export const outcomeUnknownHeader = 'limpettrack-failure';
/** Configuration version of the responding daemon. */
export const versionHeader = 'limpettrack-version';
/** Target conditions that the sender learned recently; sent only within one region. */
export const conditionsHeader = 'limpettrack-news';
/** Record of the responding daemon, if the entry has an older version. */
export const recordHeader = 'limpettrack-record';

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

/** Creates the metadata of an attempt at a candidate. */
export function createRequestMetadata(
  candidate: Candidate,
  attempt: AttemptRequest,
  entry: string,
): HomeRequestMetadata {
  const { route, id } = attempt.call;
  return {
    id,
    target: candidate.target,
    incarnation: candidate.incarnation,
    timeout: Math.round(attempt.timeout),
    maxQueueWait: Math.round(attempt.maxQueueWait),
    isForced: attempt.isForced,
    isTrial: attempt.isTrial,
    isRetry: attempt.isRetry,
    isIdempotent: route.isIdempotent,
    rank: route.rank,
    route: route.name,
    goal: route.goal,
    entry,
    version: attempt.version,
    recordVersion: candidate.recordVersion,
  };
}

/** Encodes request metadata as a header value. */
export function encodeRequestMetadata(metadata: HomeRequestMetadata): string {
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
  return JSON.stringify(encoded);
}

/** Decodes request metadata; undefined if the value is missing or invalid. */
export function decodeRequestMetadata(value: string | undefined): HomeRequestMetadata | undefined {
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
export function decodeCondition(value: string | undefined): TargetCondition | undefined {
  if (value === undefined) return undefined;
  try {
    return JSON.parse(value) as TargetCondition;
  } catch {
    // Without a condition the entry keeps an older one.
    return undefined;
  }
}

/** Decodes a refusal reason. */
export function decodeRefusalReason(value: string): RefusalReason {
  return value as RefusalReason;
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
];

/** Encodes conditions as a header value. */
export function encodeConditions(reports: readonly ConditionReport[]): string {
  const rows = reports.map(({ target, age, condition }): EncodedCondition => {
    const { sickness, running, queued, slots, work } = condition;
    return [target, Math.round(age), sickness, running, queued, slots, work];
  });
  return JSON.stringify(rows);
}

/** Decodes conditions; empty if the value is missing or invalid. */
export function decodeConditions(value: string | undefined): ConditionReport[] {
  if (value === undefined) return [];
  try {
    const rows = JSON.parse(value) as readonly EncodedCondition[];
    return rows.map(([target, age, sickness, running, queued, slots, work]) => ({
      target: brandAs<TargetId>(target),
      age,
      condition: { sickness, running, queued, slots, work },
    }));
  } catch {
    // Without new conditions this daemon keeps older ones.
    return [];
  }
}
