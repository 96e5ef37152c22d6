import type { IncomingMessage, ServerResponse } from 'node:http';
import { Readable } from 'node:stream';
import {
  brandAs,
  NotRunError,
  type AccountId,
  type Clock,
  type OperationKey,
} from '../api/index.js';
import { parseIssuedKey, type OperationResult } from '../common/operations/index.js';
import type { RoutedRequest } from './Forwarder.js';
import { findHeader, outcomeHeader, reasonHeader } from './Headers.js';
import { createFingerprint } from './fingerprint.js';
import type { Operations } from './Operations.js';
import { sendJson } from './Responses.js';
import type { ForwardAnswer, HeaderPair } from './Types.js';

const keysPath = '/.limpettrack/keys';
const outcomePath = '/.limpettrack/operations/';
/** Set to `yes` by a caller on the first attempt with a key; a refusal then needs no lookup in the store. */
const firstAttemptHeader = 'limpettrack-first-attempt';
const accountHeader = 'limpettrack-account';
const maxKeyLength = 200;
const noLoad = { queued: 0, running: 0, slots: 0, serviceTime: 0 };

/**
 * Prefixes a caller's key with its account, since two accounts may choose the same key and neither may get the answer
 * of the other. An issued key is unique in the fleet, names its issuer, and is returned unchanged.
 */
export function scopeKey(key: OperationKey, account: AccountId | undefined): OperationKey {
  if (account === undefined || parseIssuedKey(key) !== undefined) return key;
  return brandAs<OperationKey>(`${account}/${key}`);
}

function createAnswer(
  status: number,
  headers: readonly HeaderPair[],
  body: Uint8Array,
): ForwardAnswer {
  return { status, headers, load: noLoad, body: Readable.from([Buffer.from(body)]) };
}

function createText(status: number, headers: readonly HeaderPair[], text: string): ForwardAnswer {
  const body = Buffer.from(`${text}\n`);
  const length: HeaderPair = ['content-length', String(body.length)];
  return createAnswer(status, [['content-type', 'text/plain'], length, ...headers], body);
}

/** Converts the result of an operation to an answer for the caller. Throws `NotRunError` for a refusal. */
export function answerOf(result: OperationResult): ForwardAnswer {
  switch (result.outcome) {
    case 'done': {
      const { answer, isReplayed } = result;
      const outcome: HeaderPair[] = [[outcomeHeader, 'done']];
      if (isReplayed) outcome.push(['limpettrack-replayed', 'yes']);
      if (answer === undefined) {
        return createText(409, outcome, 'the operation was run; its answer was too large to keep');
      }
      return createAnswer(answer.status, [...answer.headers, ...outcome], answer.body);
    }
    case 'not-run':
      throw new NotRunError(result.reason, result.message, { step: 'operation.run' });
    case 'mismatch':
      return createText(422, [[reasonHeader, 'mismatch']], 'the key was used for another request');
    case 'pending':
      return createText(
        409,
        [
          [outcomeHeader, 'pending'],
          ['retry-after', '1'],
        ],
        result.message,
      );
    case 'moved':
      return createText(409, [[outcomeHeader, 'unknown']], 'the authority of the key has moved');
    default:
      return createText(409, [[outcomeHeader, 'unknown']], result.message);
  }
}

/** HTTP interface of keyed operations. */
export class OperationHttpHandler {
  public constructor(
    private readonly operations: Operations,
    private readonly clock: Clock,
    /** Sends a request without a key at most once, since a resend could not be recognized. */
    private readonly sendOnce: (
      request: RoutedRequest,
      signal: AbortSignal,
    ) => Promise<ForwardAnswer>,
  ) {}

  /** Runs a non-idempotent request. An operation with a key continues when the caller disconnects. */
  public async run(
    request: RoutedRequest & { readonly body?: Buffer },
    signal: AbortSignal,
  ): Promise<ForwardAnswer> {
    const { context, method, path, headers, body } = request;
    const { key } = context;
    if (key === undefined) return this.sendOnce(request, signal);
    if (key.length > maxKeyLength) {
      const message = `the key is longer than ${maxKeyLength} characters`;
      throw new NotRunError('bad-request', message, { step: 'operation.check' });
    }
    const result = await this.operations.run({
      key: scopeKey(key, context.account),
      fingerprint: createFingerprint(method, path, body),
      deadline: this.clock.elapsed() + context.timeout,
      isFirstAttempt: findHeader(headers, firstAttemptHeader) === 'yes',
      payload: { context, method, path, headers, body },
    });
    return answerOf(result);
  }

  /** Serves `POST /.limpettrack/keys` and `GET /.limpettrack/operations/KEY`. */
  public async handle(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
  ): Promise<boolean> {
    if (request.method === 'POST' && path === keysPath) {
      sendJson(response, 201, { key: this.operations.issueKey() });
      return true;
    }
    if (request.method !== 'GET' || !path.startsWith(outcomePath)) return false;
    const key = decodeURIComponent(path.slice(outcomePath.length));
    const account = request.headers[accountHeader];
    const scope = typeof account === 'string' ? brandAs<AccountId>(account) : undefined;
    const result = await this.operations.outcome(scopeKey(brandAs<OperationKey>(key), scope));
    sendJson(response, 200, OperationHttpHandler.describe(result));
    return true;
  }

  private static describe(result: OperationResult): object {
    if (result.outcome !== 'done') return result;
    const { answer } = result;
    if (answer === undefined) return { outcome: 'done' };
    const { status, headers, body } = answer;
    return { outcome: 'done', status, headers, body: Buffer.from(body).toString('base64') };
  }
}
