import {
  Agent,
  request as startRequest,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import type { Socket } from 'node:net';
import type { Readable } from 'node:stream';
import {
  NotRunError,
  OutcomeUnknownError,
  type Disposable,
  type OutcomeKind,
  type RefusalReason,
} from '../api/index.js';
import {
  dropHopByHop,
  findHeader,
  outcomeHeader,
  pairHeaders,
  requestIdHeader,
  timeoutHeader,
} from './Headers.js';
import { IdleCheckingAgent } from './IdleCheckingAgent.js';
import { limitOverhead } from './limitOverhead.js';
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
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);
/** Methods whose requests have a length even without a body. */
const bodyMethods: ReadonlySet<string> = new Set(['POST', 'PUT', 'PATCH']);

/** Why this daemon aborted a request. */
type AbortReason = 'late' | 'cancelled' | 'unreachable';

/** A request in flight. */
interface Exchange {
  readonly outgoing: ClientRequest;
  isConnected: boolean;
  abortReason: AbortReason | undefined;
}

/** Answer of a target with the body as a stream. */
export interface TargetAnswer {
  readonly status: number;
  readonly headers: readonly HeaderPair[];
  readonly body: Readable;
}

function hasBodyLength(status: number, method: string, headers: readonly HeaderPair[]): boolean {
  if (method === 'HEAD' || bodilessStatuses.has(status)) return true;
  return (
    findHeader(headers, 'content-length') !== undefined ||
    findHeader(headers, 'transfer-encoding') !== undefined
  );
}

/** Fails a body that makes no progress although its reader waits for more. */
function limitSilence(outgoing: ClientRequest, response: IncomingMessage): void {
  const timer = setTimeout(() => {
    if (response.readableLength > 0) timer.refresh();
    else outgoing.destroy(new Error(`no part of the body for ${bodyTimeoutMs} ms`));
  }, bodyTimeoutMs);
  response.on('data', () => timer.refresh());
  outgoing.once('close', () => clearTimeout(timer));
}

/** Connections to one target. */
export class TargetClient implements Disposable {
  private readonly agent: Agent;

  private readonly host: string;

  private readonly port: string;

  public constructor(
    private readonly address: string,
    connections: number,
  ) {
    [this.host = '', this.port = ''] = address.split(/:(?=\d+$)/);
    this.agent = new IdleCheckingAgent({
      keepAlive: true,
      maxSockets: connections,
      timeout: keepAliveTimeoutMs,
    });
  }

  /** Sends a request once; `timeout` in milliseconds, until the head of the response. Throws `TargetFailure`. */
  public async send(
    request: ForwardRequest,
    timeout: number,
    signal: AbortSignal,
  ): Promise<TargetAnswer> {
    const outgoing = this.tryOpenRequest(request, timeout);
    const exchange: Exchange = { outgoing, isConnected: false, abortReason: undefined };
    const timer = setTimeout(() => TargetClient.abort(exchange, 'late'), timeout);
    const cancel = (): void => TargetClient.abort(exchange, 'cancelled');
    signal.addEventListener('abort', cancel, { once: true });
    outgoing.once('close', () => signal.removeEventListener('abort', cancel));
    TargetClient.watchConnection(exchange);
    limitOverhead(outgoing);
    try {
      return await new Promise<TargetAnswer>((resolve, reject) => {
        outgoing.once('response', (response) => {
          // The parser would take a reset for the end of a response in chunks or without a length.
          outgoing.on('error', (error) => {
            if (!response.complete) response.destroy(error);
          });
          limitSilence(outgoing, response);
          try {
            resolve(this.checkResponse(request, response));
          } catch (error) {
            reject(error);
          }
        });
        outgoing.on('error', (error) => reject(this.classify(exchange, error)));
        // A response that switches protocols closes the request without an error.
        outgoing.once('close', () => {
          reject(this.classify(exchange, new Error('the request was closed without a response')));
        });
        if (signal.aborted) cancel();
        else TargetClient.sendBody(exchange, request.body);
      });
    } finally {
      clearTimeout(timer);
    }
  }

  /** Closes idle connections at once and the others when their requests end. */
  public dispose(): void {
    this.agent.maxFreeSockets = 0;
    Object.values(this.agent.freeSockets).forEach((sockets) => {
      sockets?.forEach((socket) => socket.destroy());
    });
  }

  private static abort(exchange: Exchange, reason: AbortReason): void {
    exchange.abortReason ??= reason;
    exchange.outgoing.destroy(new Error(reason));
  }

  private static sendBody({ outgoing }: Exchange, body: ForwardRequest['body']): void {
    if (body === undefined || Buffer.isBuffer(body)) {
      outgoing.end(body);
      return;
    }
    body.on('error', (error) => outgoing.destroy(error));
    body.pipe(outgoing);
  }

  private static watchConnection(exchange: Exchange): void {
    exchange.outgoing.once('socket', (socket: Socket) => {
      if (!socket.connecting) {
        exchange.isConnected = true;
        return;
      }
      const timer = setTimeout(() => TargetClient.abort(exchange, 'unreachable'), connectTimeoutMs);
      socket.once('connect', () => {
        exchange.isConnected = true;
        clearTimeout(timer);
      });
      socket.once('close', () => clearTimeout(timer));
    });
  }

  /** Throws `TargetFailure` if the request cannot be sent with its path and headers. */
  private tryOpenRequest(request: ForwardRequest, timeout: number): ClientRequest {
    const { method, path, headers: pairs, body } = request;
    const headers = pairs.flatMap((pair) => [...pair]);
    headers.push(timeoutHeader, String(Math.round(timeout)));
    // A header list is sent as it is, and without a length a request with one of these methods would be chunked.
    const needsLength = body === undefined && bodyMethods.has(method);
    if (needsLength && findHeader(pairs, 'content-length') === undefined) {
      headers.push('content-length', '0');
    }
    try {
      return startRequest({
        agent: this.agent,
        host: this.host,
        port: this.port,
        method,
        path,
        headers,
        setHost: false,
      });
    } catch (cause) {
      throw this.createRefusal('bad-request', 'the request cannot be sent', cause);
    }
  }

  private checkResponse(request: ForwardRequest, response: IncomingMessage): TargetAnswer {
    const raw = pairHeaders(response.rawHeaders);
    const status = response.statusCode ?? 0;
    const echo = findHeader(raw, requestIdHeader);
    // Only an echoed id proves that a refusal is not the repetition of an earlier one.
    const needsEcho = findHeader(raw, outcomeHeader) === notRunOutcome;
    const isMismatched = echo === undefined ? needsEcho : echo !== request.context.id;
    if (isMismatched || !hasBodyLength(status, request.method, raw)) {
      discard(response);
      const message = isMismatched ? 'answer belongs to another request' : 'answer has no length';
      throw this.createFailure('invalid', message);
    }
    return { status, headers: dropHopByHop(raw), body: response };
  }

  private classify({ isConnected, abortReason }: Exchange, cause: Error): TargetFailure {
    if (abortReason === 'late')
      return this.createFailure('timeout', 'no answer within the timeout', cause);
    if (abortReason === 'cancelled')
      return this.createFailure('cancelled', 'cancelled by the caller', cause);
    // Without a connection, the request was not sent.
    if (!isConnected) return this.createRefusal('connect-failed', cause.message, cause);
    return this.createFailure('reset', cause.message, cause);
  }

  private createRefusal(reason: RefusalReason, message: string, cause: unknown): TargetFailure {
    const origin = { step: 'target.connect', peer: this.address, cause };
    const kind = reason === 'connect-failed' ? 'connect-failed' : 'cancelled';
    return new TargetFailure(kind, new NotRunError(reason, message, origin));
  }

  private createFailure(kind: OutcomeKind, message: string, cause?: unknown): TargetFailure {
    const origin = { step: 'target.answer', peer: this.address, cause };
    return new TargetFailure(kind, new OutcomeUnknownError(message, origin));
  }
}
