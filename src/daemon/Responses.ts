import type { ServerResponse } from 'node:http';
import { NotRunError, type OperationOutcome, type RefusalReason } from '../api/index.js';
import { outcomeHeader, reasonHeader } from './Headers.js';

const refusalStatuses: Readonly<Partial<Record<RefusalReason, number>>> = {
  'no-route': 404,
  'bad-request': 400,
  limit: 429,
  quarantined: 403,
};
const defaultRefusalStatus = 503;
const unknownOutcomeStatus = 502;
const retryAfterSeconds = '1';

/** Sends a text answer; destroys the connection if an answer has already been started. */
export function sendText(
  response: ServerResponse,
  status: number,
  text: string,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const body = `${text}\n`;
  response.writeHead(status, {
    'content-type': 'text/plain; charset=utf-8',
    'content-length': Buffer.byteLength(body),
    ...headers,
  });
  response.end(body);
}

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}

/** Sends an error answer whose outcome header is `not-run` for a `NotRunError` and `unknown` otherwise. */
export function sendFailure(response: ServerResponse, error: unknown): OperationOutcome {
  if (error instanceof NotRunError) {
    const status = refusalStatuses[error.reason] ?? defaultRefusalStatus;
    const headers: Record<string, string> = {
      [outcomeHeader]: 'not-run',
      [reasonHeader]: error.reason,
    };
    if (status === defaultRefusalStatus) headers['retry-after'] = retryAfterSeconds;
    sendText(response, status, error.message, headers);
    return 'not-run';
  }
  const message = error instanceof Error ? error.message : String(error);
  sendText(response, unknownOutcomeStatus, message, { [outcomeHeader]: 'unknown' });
  return 'unknown';
}
