import {
  brandAs,
  type AccountId,
  type Fingerprint,
  type Incarnation,
  type RequestContext,
  type RequestId,
  type ServiceName,
  type TargetId,
  type TargetLoad,
  type WorkClass,
} from '../api/index.js';
import type { Header } from './generated/limpettrack/Header.js';
import type { Load, Load__Output as LoadOutput } from './generated/limpettrack/Load.js';
import type {
  RequestHead,
  RequestHead__Output as RequestHeadOutput,
} from './generated/limpettrack/RequestHead.js';
import type { ForwardRequest, HeaderPair } from './Types.js';

const noLoad: TargetLoad = { queued: 0, running: 0, slots: 0, serviceTime: 0 };

/** Encodes headers. */
export function encodeHeaders(headers: readonly HeaderPair[]): Header[] {
  return headers.map(([name, value]) => ({ name, value }));
}

/** Decodes headers. */
export function decodeHeaders(headers: readonly { name: string; value: string }[]): HeaderPair[] {
  return headers.map(({ name, value }) => [name, value] as const);
}

/** Encodes the context of a request; absent values become empty strings. */
export function encodeContext(context: RequestContext): RequestHead {
  return {
    id: context.id,
    service: context.service,
    route: context.route,
    workClass: context.workClass,
    idempotent: context.isIdempotent,
    account: context.account ?? '',
    fingerprint: context.fingerprint ?? '',
    timeout: Math.max(0, Math.round(context.timeout)),
  };
}

/** Encodes a forwarded request without its body. */
export function encodeRequestHead(request: ForwardRequest): RequestHead {
  return {
    ...encodeContext(request.context),
    target: request.target,
    targetIncarnation: request.targetIncarnation,
    method: request.method,
    path: request.path,
    headers: encodeHeaders(request.headers),
    hasBody: request.body !== undefined,
  };
}

/** Decodes the context of a request; empty strings become absent values. */
export function decodeContext(head: RequestHeadOutput): RequestContext {
  return {
    id: brandAs<RequestId>(head.id),
    service: brandAs<ServiceName>(head.service),
    route: head.route,
    workClass: head.workClass as WorkClass,
    isIdempotent: head.idempotent,
    account: head.account === '' ? undefined : brandAs<AccountId>(head.account),
    fingerprint: head.fingerprint === '' ? undefined : brandAs<Fingerprint>(head.fingerprint),
    timeout: head.timeout,
  };
}

/** Decodes a forwarded request without its body. */
export function decodeForwardRequest(head: RequestHeadOutput): ForwardRequest {
  return {
    context: decodeContext(head),
    target: brandAs<TargetId>(head.target),
    targetIncarnation: brandAs<Incarnation>(head.targetIncarnation),
    method: head.method,
    path: head.path,
    headers: decodeHeaders(head.headers),
  };
}

/** Encodes the load of a target. */
export function encodeLoad(load: TargetLoad): Load {
  return { ...load };
}

/** Decodes the load of a target; an absent one is zero. */
export function decodeLoad(load: LoadOutput | null | undefined): TargetLoad {
  if (load === null || load === undefined) return noLoad;
  const { queued, running, slots, serviceTime, isLong } = load;
  // A peer that does not report the load of short and long requests omits both.
  const parts = { short: load.short ?? undefined, long: load.long ?? undefined };
  return { queued, running, slots, serviceTime, isLong, ...parts };
}
