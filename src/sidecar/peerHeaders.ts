/** Headers between daemons. */
import { brandAs, type RefusalReason, type TargetId } from '../api/index.js';
import type {
  Candidate,
  ConditionReport,
  AttemptRequest,
  TargetCondition,
} from '../common/dispatch/Types.js';
import type { HomeRequestMetadata } from './Types.js';

/** Order of the entry, as JSON. */
export const requestMetadataHeader = 'limpettrack-order';
/** Reason why the home did not run a request. */
export const refusalHeader = 'limpettrack-refusal';
/** Condition of the target, as JSON. */
export const conditionHeader = 'limpettrack-condition';
/** Milliseconds after which another try can succeed. */
export const retryAfterHeader = 'limpettrack-retry-after-ms';
/** Present if the target itself refused. */
export const targetReachedHeader = 'limpettrack-reached';
/** Present if the outcome of the request is not known. */
export const outcomeUnknownHeader = 'limpettrack-failure';
/** Configuration version in force at the answering daemon. */
export const versionHeader = 'limpettrack-version';

/** Conditions of targets that the sender learned lately, within one region. */
export const conditionsHeader = 'limpettrack-news';
/** Record of the answering daemon, if the entry knew an older one. */
export const recordHeader = 'limpettrack-record';

/** Order as it travels; short keys, since it is sent with each request. */
interface WireOrder {
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

/** Head of an order for a candidate. */
export function createRequestMetadata(
  candidate: Candidate,
  order: AttemptRequest,
  entry: string,
): HomeRequestMetadata {
  const { route, id } = order.call;
  return {
    id,
    target: candidate.target,
    incarnation: candidate.incarnation,
    timeout: Math.round(order.timeout),
    maxQueueWait: Math.round(order.maxQueueWait),
    isForced: order.isForced,
    isTrial: order.isTrial,
    isRetry: order.isRetry,
    isIdempotent: route.isIdempotent,
    rank: route.rank,
    route: route.name,
    goal: route.goal,
    entry,
    version: order.version,
    recordVersion: candidate.recordVersion,
  };
}

/** Writes the head of an order as a header value. */
export function encodeRequestMetadata(head: HomeRequestMetadata): string {
  const wire: WireOrder = {
    id: head.id,
    t: head.target,
    i: head.incarnation,
    ms: head.timeout,
    p: head.maxQueueWait,
    f: head.isForced,
    s: head.isTrial,
    a: head.isRetry,
    r: head.isIdempotent,
    k: head.rank,
    n: head.route,
    g: head.goal,
    e: head.entry,
    v: head.version,
    d: head.recordVersion,
  };
  return JSON.stringify(wire);
}

/** Reads the head of an order; undefined if it is not one. */
export function decodeRequestMetadata(value: string | undefined): HomeRequestMetadata | undefined {
  if (value === undefined) return undefined;
  try {
    const wire = JSON.parse(value) as WireOrder;
    return {
      id: wire.id,
      target: brandAs<TargetId>(wire.t),
      incarnation: wire.i,
      timeout: wire.ms,
      maxQueueWait: wire.p,
      isForced: wire.f,
      isTrial: wire.s,
      isRetry: wire.a,
      isIdempotent: wire.r,
      rank: wire.k,
      route: wire.n,
      goal: wire.g,
      entry: wire.e,
      version: wire.v,
      recordVersion: wire.d,
    };
  } catch {
    // The sender is told by a status; it is no daemon of this version.
    return undefined;
  }
}

/** Reads the condition of a target; undefined if it is missing or not readable. */
export function decodeCondition(value: string | undefined): TargetCondition | undefined {
  if (value === undefined) return undefined;
  try {
    return JSON.parse(value) as TargetCondition;
  } catch {
    // A missing condition only leaves the entry with older knowledge.
    return undefined;
  }
}

/** Reads a refusal reason. */
export function decodeRefusalReason(value: string): RefusalReason {
  return value as RefusalReason;
}

/** One condition as it travels. */
type WireNews = readonly [
  target: string,
  age: number,
  sickness: number,
  running: number,
  queued: number,
  slots: number,
  work: number,
];

/** Writes conditions as a header value. */
export function encodeConditions(news: readonly ConditionReport[]): string {
  const rows = news.map(({ target, age, condition }): WireNews => {
    const { sickness, running, queued, slots, work } = condition;
    return [target, Math.round(age), sickness, running, queued, slots, work];
  });
  return JSON.stringify(rows);
}

/** Reads conditions; none if the value is missing or not readable. */
export function decodeConditions(value: string | undefined): ConditionReport[] {
  if (value === undefined) return [];
  try {
    const rows = JSON.parse(value) as readonly WireNews[];
    return rows.map(([target, age, sickness, running, queued, slots, work]) => ({
      target: brandAs<TargetId>(target),
      age,
      condition: { sickness, running, queued, slots, work },
    }));
  } catch {
    // Missing news only leave this daemon with older knowledge.
    return [];
  }
}
