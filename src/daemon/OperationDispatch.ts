import { buffer } from 'node:stream/consumers';
import { NotRunError, type Clock } from '../api/index.js';
import type { Dispatch, DispatchResult } from '../common/operations/index.js';
import type { Forwarder } from './Forwarder.js';
import { findHeader, outcomeHeader } from './Headers.js';
import type { OperationPayload } from './OperationMessages.js';
import type { ForwardAnswer } from './Types.js';

/** Interval between attempts to find a target that accepts the operation. */
const retryIntervalMs = 100;

/** An overloaded target states with the outcome header that it has not started the request. */
function isRefusedByTarget(answer: ForwardAnswer): boolean {
  return answer.status >= 400 && findHeader(answer.headers, outcomeHeader) === 'not-run';
}

async function readAnswer(answer: ForwardAnswer): Promise<DispatchResult> {
  const { status, headers } = answer;
  const body = await buffer(answer.body);
  if (isRefusedByTarget(answer)) {
    return {
      type: 'not-run',
      reason: 'queue-full',
      message: 'the target shed the operation',
    };
  }
  return { type: 'done', answer: { status, headers, body } };
}

async function attempt(
  forwarder: Forwarder,
  payload: OperationPayload,
  timeout: number,
): Promise<DispatchResult> {
  const abort = new AbortController();
  try {
    const context = { ...payload.context, timeout, isIdempotent: false };
    return await readAnswer(await forwarder.forward({ ...payload, context }, abort.signal));
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    if (error instanceof NotRunError) return { type: 'not-run', reason: error.reason, message };
    return { type: 'unknown', message };
  }
}

/**
 * Sends an operation to a target. An operation that was refused without being started is retried until the deadline,
 * since a delay is better than a refusal, except when it is quarantined; any other result is final.
 */
export function createDispatch(forwarder: Forwarder, clock: Clock): Dispatch<OperationPayload> {
  return async (payload, timeout) => {
    const end = clock.elapsed() + timeout;
    for (;;) {
      const result = await attempt(forwarder, payload, end - clock.elapsed());
      const hasTime = clock.elapsed() + retryIntervalMs < end;
      if (result.type !== 'not-run' || result.reason === 'quarantined' || !hasTime) return result;
      await new Promise<void>((resolve) => {
        clock.after(retryIntervalMs, resolve);
      });
    }
  };
}
