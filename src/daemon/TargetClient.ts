import type { Readable } from 'node:stream';
import { Pool, type Dispatcher } from 'undici';
import {
  NotRunError,
  OutcomeUnknownError,
  type Disposable,
  type OutcomeKind,
} from '../api/index.js';
import {
  dropHopByHop,
  findHeader,
  outcomeHeader,
  pairHeaders,
  requestIdHeader,
  timeoutHeader,
} from './Headers.js';
import { discard } from './streams.js';
import { TargetFailure } from './TargetFailure.js';
import type { ForwardRequest, HeaderPair } from './Types.js';

/** Value of the outcome header in a response of a target that did not run the request. */
const notRunOutcome = 'not-run';
const connectTimeoutMs = 1_000;
/** Longest pause within a body; after it the connection is considered half-open. */
const bodyTimeoutMs = 10_000;
/** Shorter than the 5 s after which Node.js servers close idle connections, so that no request hits the close. */
const keepAliveTimeoutMs = 3_000;

/** Errors that occur before a connection is established, so that the request was not sent. */
const connectErrors: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Answer of a target with the body as a stream. */
export interface TargetAnswer {
  readonly status: number;
  readonly headers: readonly HeaderPair[];
  readonly body: Readable;
}

function codeOf(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : '';
}

function hasBodyLength(status: number, method: string, headers: readonly HeaderPair[]): boolean {
  if (method === 'HEAD' || status === 204 || status === 304) return true;
  return (
    findHeader(headers, 'content-length') !== undefined ||
    findHeader(headers, 'transfer-encoding') !== undefined
  );
}

/** Connections to one target. */
export class TargetClient implements Disposable {
  private readonly pool: Pool;

  public constructor(
    private readonly address: string,
    connections: number,
  ) {
    this.pool = new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: bodyTimeoutMs,
      keepAliveTimeout: keepAliveTimeoutMs,
      keepAliveMaxTimeout: keepAliveTimeoutMs,
      connect: { timeout: connectTimeoutMs },
    });
  }

  /** Sends a request once; `timeout` in milliseconds. Throws `TargetFailure`. */
  public async send(
    request: ForwardRequest,
    timeout: number,
    signal: AbortSignal,
  ): Promise<TargetAnswer> {
    const abort = new AbortController();
    let isLate = false;
    const timer = setTimeout(() => {
      isLate = true;
      abort.abort();
    }, timeout);
    const cancel = (): void => abort.abort();
    signal.addEventListener('abort', cancel, { once: true });
    if (signal.aborted) abort.abort();
    try {
      const response = await this.dispatch(request, timeout, abort.signal);
      return this.checkResponse(request, response);
    } catch (error) {
      throw this.classify(error, isLate, signal.aborted);
    } finally {
      clearTimeout(timer);
    }
  }

  /** Closes idle connections at once and the others when their requests end. */
  public dispose(): void {
    void this.pool.close();
  }

  private dispatch(
    request: ForwardRequest,
    timeout: number,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    return this.pool.request({
      method: request.method,
      path: request.path,
      headers: [
        ...request.headers.flatMap((pair) => [...pair]),
        timeoutHeader,
        String(Math.round(timeout)),
      ],
      body: request.body ?? null,
      idempotent: request.context.isIdempotent,
      responseHeaders: 'raw',
      signal,
    });
  }

  private checkResponse(request: ForwardRequest, response: Dispatcher.ResponseData): TargetAnswer {
    const raw = pairHeaders(response.headers as unknown as string[]);
    const { statusCode: status, body } = response;
    const echo = findHeader(raw, requestIdHeader);
    // Only an echoed id proves that a refusal is not the repetition of an earlier one.
    const needsEcho = findHeader(raw, outcomeHeader) === notRunOutcome;
    const isMismatched = echo === undefined ? needsEcho : echo !== request.context.id;
    if (isMismatched || !hasBodyLength(status, request.method, raw)) {
      discard(body);
      const message = isMismatched ? 'answer belongs to another request' : 'answer has no length';
      throw this.createFailure('invalid', message);
    }
    return { status, headers: dropHopByHop(raw), body };
  }

  private classify(error: unknown, isLate: boolean, isCancelled: boolean): TargetFailure {
    if (error instanceof TargetFailure) return error;
    const message = error instanceof Error ? error.message : String(error);
    if (connectErrors.has(codeOf(error))) {
      const origin = { step: 'target.connect', peer: this.address, cause: error };
      return new TargetFailure(
        'connect-failed',
        new NotRunError('connect-failed', message, origin),
      );
    }
    if (isLate) return this.createFailure('timeout', 'no answer within the timeout', error);
    if (isCancelled) return this.createFailure('cancelled', 'cancelled by the caller', error);
    return this.createFailure('reset', message, error);
  }

  private createFailure(kind: OutcomeKind, message: string, cause?: unknown): TargetFailure {
    const origin = { step: 'target.answer', peer: this.address, cause };
    return new TargetFailure(kind, new OutcomeUnknownError(message, origin));
  }
}
