import {
  brandAs,
  type DaemonId,
  type OperationKey,
  type RefusalReason,
  type RequestContext,
} from '../api/index.js';
import type { OperationRequest, OperationResult } from '../common/operations/index.js';
import type {
  Operation,
  Operation__Output as OperationOutput,
} from './generated/limpettrack/Operation.js';
import type {
  OperationResult as ResultMessage,
  OperationResult__Output as ResultOutput,
} from './generated/limpettrack/OperationResult.js';
import { decodeContext, decodeHeaders, encodeContext, encodeHeaders } from './PeerMessages.js';
import type { HeaderPair } from './Types.js';

/** Non-idempotent request as sent to its authority: with the complete body, before a target is selected. */
export interface OperationPayload {
  readonly context: RequestContext;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderPair[];
  readonly body?: Buffer;
}

/** Encodes an operation; `timeout` is the remaining time in milliseconds. */
export function encodeOperation(
  request: OperationRequest<OperationPayload>,
  timeout: number,
): Operation {
  const { context, method, path, headers, body } = request.payload;
  const { fingerprint } = request;
  return {
    head: {
      ...encodeContext({ ...context, fingerprint, timeout }),
      method,
      path,
      headers: encodeHeaders(headers),
      hasBody: body !== undefined,
    },
    key: request.key,
    body: body ?? new Uint8Array(),
    first: request.isFirstAttempt,
  };
}

/** Decodes an operation received at `now` (`Clock.elapsed`); undefined without head or fingerprint. */
export function decodeOperation(
  message: OperationOutput,
  now: number,
): OperationRequest<OperationPayload> | undefined {
  const { head } = message;
  if (head === null) return undefined;
  const context = decodeContext(head);
  if (context.fingerprint === undefined) return undefined;
  const body = head.hasBody ? message.body : undefined;
  return {
    key: brandAs<OperationKey>(message.key),
    fingerprint: context.fingerprint,
    deadline: now + context.timeout,
    isFirstAttempt: message.first,
    payload: {
      context,
      method: head.method,
      path: head.path,
      headers: decodeHeaders(head.headers),
      body,
    },
  };
}

/** Encodes a result. */
export function encodeResult(result: OperationResult): ResultMessage {
  switch (result.outcome) {
    case 'done': {
      const { answer, isReplayed } = result;
      return {
        outcome: 'done',
        replayed: isReplayed,
        answerOmitted: answer === undefined,
        status: answer?.status ?? 0,
        headers: encodeHeaders(answer?.headers ?? []),
        body: answer?.body ?? new Uint8Array(),
      };
    }
    case 'not-run':
      return { outcome: 'not-run', reason: result.reason, message: result.message };
    case 'moved':
      return { outcome: 'moved', owner: result.owner ?? '' };
    case 'mismatch':
      return { outcome: 'mismatch' };
    default:
      return { outcome: result.outcome, message: result.message };
  }
}

/** Decodes a result. An unrecognized outcome is decoded as `unknown`. */
export function decodeResult(message: ResultOutput): OperationResult {
  switch (message.outcome) {
    case 'done': {
      const { status, headers, body } = message;
      const answer = { status, headers: decodeHeaders(headers), body };
      return {
        outcome: 'done',
        answer: message.answerOmitted ? undefined : answer,
        isReplayed: message.replayed,
      };
    }
    case 'not-run':
      return {
        outcome: 'not-run',
        reason: message.reason as RefusalReason,
        message: message.message,
      };
    case 'moved':
      return {
        outcome: 'moved',
        owner: message.owner === '' ? undefined : brandAs<DaemonId>(message.owner),
      };
    case 'mismatch':
      return { outcome: 'mismatch' };
    case 'pending':
      return { outcome: 'pending', message: message.message };
    default:
      return { outcome: 'unknown', message: message.message };
  }
}
