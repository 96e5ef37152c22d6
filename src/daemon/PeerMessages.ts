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

/** Headers as message parts. */
export function encodeHeaders(headers: readonly HeaderPair[]): Header[] {
  return headers.map(([name, value]) => ({ name, value }));
}

/** Headers from message parts. */
export function decodeHeaders(headers: readonly { name: string; value: string }[]): HeaderPair[] {
  return headers.map(({ name, value }) => [name, value] as const);
}

/** Context of a request as a part of its head; absent values become empty strings. */
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

/** Head of a forwarded request. */
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

/** Context of a request from its head; empty strings stand for absent values. */
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

/** Forwarded request from its head, without the body. */
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

/** Load of a target as a message. */
export function encodeLoad(load: TargetLoad): Load {
  return { ...load };
}

/** Load of a target from a message; an absent one reads as zero. */
export function decodeLoad(load: LoadOutput | null | undefined): TargetLoad {
  if (load === null || load === undefined) return noLoad;
  const { queued, running, slots, serviceTime, isLong } = load;
  // A peer that does not tell the parts leaves them out.
  const parts = { short: load.short ?? undefined, long: load.long ?? undefined };
  return { queued, running, slots, serviceTime, isLong, ...parts };
}
