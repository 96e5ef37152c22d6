import {
  Agent,
  request as startRequest,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import type { Socket } from 'node:net';
import { OutcomeUnknownError, type OutcomeKind } from '../api/index.js';
import { HomeRefusalError, type HeaderPair } from '../common/dispatch/Types.js';
import { dropHopByHop, findHeader, pairHeaders } from '../daemon/Headers.js';
import { discard, skipBody } from '../daemon/streams.js';
import { TargetFailure } from '../daemon/TargetFailure.js';
import { failOnReset } from './failOnReset.js';
import { IdleCheckingAgent } from '../daemon/IdleCheckingAgent.js';
import { limitOverhead } from '../daemon/limitOverhead.js';
import { readTargetNotice, type TargetNotice } from './targetNotice.js';
import type { HeaderNames, HomeRequest, StreamedResponse, TargetConnection } from './Types.js';

/** Connect timeout in milliseconds on the same VM. */
const connectTimeout = 400;
/** Milliseconds for which an idle connection is reused. Targets may drop idle connections without notice. */
const idempotentIdleTimeout = 2_500;
/** Shorter for non-idempotent requests, which cannot be retried if the connection was dropped. */
const nonIdempotentIdleTimeout = 300;
/** Connections beyond the slots, since the connections of earlier requests may still be closing. */
const spareConnections = 2;
const firstErrorStatus = 300;
const misdirectedStatus = 421;
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Why this daemon aborted a request. */
type AbortReason = 'late' | 'cancelled' | 'unreachable';

/** A request in flight. */
interface Exchange {
  readonly homeRequest: HomeRequest;
  readonly request: ClientRequest;
  isConnected: boolean;
  abortReason: AbortReason | undefined;
}

/** Options of `TargetHttpClient`. */
export interface TargetHttpClientSettings {
  /** `host:port`. */
  readonly address: string;
  readonly slots: number;
  readonly names: HeaderNames;
  /** Called with what the target says of itself in each of its responses. */
  readonly onNotice: (notice: TargetNotice) => void;
}

/** Whether the body ends by length or framing rather than by closing the connection. */
function hasDelimitedBody(method: string, status: number, headers: readonly HeaderPair[]): boolean {
  return (
    method === 'HEAD' ||
    bodilessStatuses.has(status) ||
    findHeader(headers, 'content-length') !== undefined ||
    findHeader(headers, 'transfer-encoding') !== undefined
  );
}

/** HTTP/1.1 client with pooled connections to the target of this VM. */
export class TargetHttpClient implements TargetConnection {
  private readonly idempotentAgent: Agent;

  private readonly nonIdempotentAgent: Agent;

  private readonly host: string;

  private readonly port: string;

  public constructor(private readonly settings: TargetHttpClientSettings) {
    [this.host = '', this.port = ''] = settings.address.split(/:(?=\d+$)/);
    this.idempotentAgent = this.createAgent(idempotentIdleTimeout);
    this.nonIdempotentAgent = this.createAgent(nonIdempotentIdleTimeout);
  }

  /** Sends a request without retries. Throws `TargetFailure`. */
  public async send(
    homeRequest: HomeRequest,
    body: Buffer,
    timeout: number,
    signal: AbortSignal,
  ): Promise<StreamedResponse> {
    const request = this.tryOpenRequest(homeRequest, body, timeout);
    const exchange: Exchange = { homeRequest, request, isConnected: false, abortReason: undefined };
    const timer = setTimeout(() => TargetHttpClient.abort(exchange, 'late'), timeout);
    const cancel = (): void => TargetHttpClient.abort(exchange, 'cancelled');
    signal.addEventListener('abort', cancel, { once: true });
    request.once('close', () => {
      clearTimeout(timer);
      signal.removeEventListener('abort', cancel);
    });
    this.watchConnection(exchange);
    limitOverhead(request);
    return new Promise((resolve, reject) => {
      request.once('response', (response) => {
        // The parser would take a reset for the end of a response without a length.
        request.on('error', (error) => {
          if (!response.complete) response.destroy(error);
        });
        try {
          resolve(this.checkResponse(homeRequest, response));
        } catch (error) {
          reject(error);
        }
      });
      request.on('error', (error) => reject(this.classify(exchange, error)));
      // A response that switches protocols closes the request without an error.
      request.once('close', () => {
        reject(this.classify(exchange, new Error('the request was closed without a response')));
      });
      if (signal.aborted) cancel();
      else request.end(body);
    });
  }

  /** Closes idle connections; the others close when their requests end. */
  public dispose(): void {
    [this.idempotentAgent, this.nonIdempotentAgent].forEach((agent) => {
      agent.maxFreeSockets = 0;
      Object.values(agent.freeSockets).forEach((sockets) => {
        sockets?.forEach((socket) => socket.destroy());
      });
    });
  }

  private static abort(exchange: Exchange, reason: AbortReason): void {
    exchange.abortReason ??= reason;
    exchange.request.destroy(new Error(reason));
  }

  private createAgent(idleTimeout: number): Agent {
    const maxSockets = this.settings.slots + spareConnections;
    return new IdleCheckingAgent({ keepAlive: true, maxSockets, timeout: idleTimeout });
  }

  /** Throws `TargetFailure` if the request cannot be sent with its path and headers. */
  private tryOpenRequest(homeRequest: HomeRequest, body: Buffer, timeout: number): ClientRequest {
    try {
      return this.openRequest(homeRequest, body, timeout);
    } catch (cause) {
      const origin = { step: 'target.send', peer: this.settings.address, cause };
      const error = new HomeRefusalError('bad-request', 'the request cannot be sent', origin);
      throw new TargetFailure('cancelled', error);
    }
  }

  private openRequest(homeRequest: HomeRequest, body: Buffer, timeout: number): ClientRequest {
    const { names } = this.settings;
    const headers = homeRequest.headers.flatMap((pair) => [...pair]);
    headers.push(names.timeout, String(Math.max(1, Math.round(timeout))));
    headers.push(names.expectedTarget, homeRequest.target);
    if (body.length > 0 || homeRequest.method === 'POST') {
      headers.push('content-length', String(body.length));
    }
    return startRequest({
      agent: homeRequest.isIdempotent ? this.idempotentAgent : this.nonIdempotentAgent,
      host: this.host,
      port: this.port,
      method: homeRequest.method,
      path: homeRequest.path,
      headers,
      setHost: false,
    });
  }

  private watchConnection(exchange: Exchange): void {
    exchange.request.once('socket', (socket: Socket) => {
      if (!socket.connecting) {
        exchange.isConnected = true;
        return;
      }
      const timer = setTimeout(
        () => TargetHttpClient.abort(exchange, 'unreachable'),
        connectTimeout,
      );
      socket.once('connect', () => {
        exchange.isConnected = true;
        clearTimeout(timer);
      });
      socket.once('close', () => clearTimeout(timer));
    });
  }

  private checkResponse(homeRequest: HomeRequest, response: IncomingMessage): StreamedResponse {
    const { names } = this.settings;
    const headers = pairHeaders(response.rawHeaders);
    const status = response.statusCode ?? 0;
    if (findHeader(headers, names.requestId) !== homeRequest.id) {
      // An extra response to an earlier request; this request may run, whatever that response says.
      discard(response);
      throw this.createFailure('invalid', 'response does not have the id of the request');
    }
    this.settings.onNotice(readTargetNotice(headers, names));
    if (findHeader(headers, names.notRun) !== undefined || status === misdirectedStatus) {
      skipBody(response);
      throw this.createRefusal(status);
    }
    const problem = this.findProblem(status, headers);
    if (problem !== undefined) {
      discard(response);
      throw this.createFailure('invalid', problem);
    }
    const body = hasDelimitedBody(homeRequest.method, status, headers)
      ? response
      : failOnReset(response, response.socket);
    return { status, headers: dropHopByHop(headers), body };
  }

  private findProblem(status: number, headers: readonly HeaderPair[]): string | undefined {
    if (findHeader(headers, this.settings.names.signature) === undefined)
      return 'response without a signature';
    if (status < firstErrorStatus && findHeader(headers, 'content-encoding') !== undefined) {
      return 'response with a content coding that was not requested';
    }
    return undefined;
  }

  private createRefusal(status: number): TargetFailure {
    const { address } = this.settings;
    const message = `the target refused the request: status ${status}`;
    const origin = { step: 'target.refused', peer: address };
    const error = new HomeRefusalError('queue-full', message, origin, { hasReachedTarget: true });
    return new TargetFailure('shed', error);
  }

  private classify({ isConnected, abortReason }: Exchange, cause: Error): TargetFailure {
    if (abortReason === 'cancelled')
      return this.createFailure('cancelled', 'cancelled by the entry');
    if (abortReason === 'late')
      return this.createFailure('timeout', 'no response within the timeout');
    if (!isConnected) {
      const origin = { step: 'target.connect', peer: this.settings.address, cause };
      const error = new HomeRefusalError('connect-failed', cause.message, origin);
      return new TargetFailure('connect-failed', error);
    }
    return this.createFailure('reset', cause.message, cause);
  }

  private createFailure(kind: OutcomeKind, message: string, cause?: unknown): TargetFailure {
    const origin = { step: 'target.answer', peer: this.settings.address, cause };
    return new TargetFailure(kind, new OutcomeUnknownError(message, origin));
  }
}
