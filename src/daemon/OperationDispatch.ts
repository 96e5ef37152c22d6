import { buffer } from 'node:stream/consumers';
import { NotRunError, type Clock } from '../api/index.js';
import type { Dispatch, DispatchResult } from '../common/operations/index.js';
import type { Forwarder } from './Forwarder.js';
import { findHeader, outcomeHeader } from './Headers.js';
import type { OperationPayload } from './OperationMessages.js';
import type { ForwardAnswer } from './Types.js';

/** Milliseconds between two searches for a target that takes the operation. */
const searchPause = 100;

/** A target that sheds load says with this header that it has not started the request. */
function isNotStarted(answer: ForwardAnswer): boolean {
  return answer.status >= 400 && findHeader(answer.headers, outcomeHeader) === 'not-run';
}

async function readAnswer(answer: ForwardAnswer): Promise<DispatchResult> {
  const { status, headers } = answer;
  const body = await buffer(answer.body);
  if (isNotStarted(answer)) {
    return { type: 'not-run', reason: 'queue-full', message: 'the target shed the operation' };
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
 * Sends an operation to a target. An explicit not-started refusal allows another try until the deadline, since an
 * operation that waits is better than one that is refused; anything else is final.
 */
export function createDispatch(forwarder: Forwarder, clock: Clock): Dispatch<OperationPayload> {
  return async (payload, timeout) => {
    const end = clock.elapsed() + timeout;
    for (;;) {
      const result = await attempt(forwarder, payload, end - clock.elapsed());
      const hasTime = clock.elapsed() + searchPause < end;
      if (result.type !== 'not-run' || result.reason === 'quarantined' || !hasTime) return result;
      await new Promise<void>((resolve) => {
        clock.after(searchPause, resolve);
      });
    }
  };
}
