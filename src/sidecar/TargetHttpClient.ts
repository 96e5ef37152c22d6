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
import { discard } from '../daemon/streams.js';
import { TargetFailure } from '../daemon/TargetFailure.js';
import { failOnReset } from './failOnReset.js';
import { IdleCheckingAgent } from './IdleCheckingAgent.js';
import type { HeaderNames, HomeRequest, StreamedResponse, TargetConnection } from './Types.js';

/** Milliseconds to connect on the own VM. */
const connectTimeout = 400;
/** Milliseconds for which an idle connection is used again. Targets may drop idle connections without notice. */
const repeatableIdle = 2_500;
/** The same for requests that cannot be repeated, which a dropped connection would lose. */
const onceIdle = 300;
/** Connections beyond the slots, for requests whose predecessors are still being closed. */
const spareConnections = 2;
const firstError = 300;
const misdirected = 421;
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Why a request was cut by this daemon. */
type CutReason = 'late' | 'cancelled' | 'unreachable';

/** One request on its way. */
interface Exchange {
  readonly order: HomeRequest;
  readonly request: ClientRequest;
  isConnected: boolean;
  cutBy: CutReason | undefined;
}

/** What a link needs to know of its target. */
export interface TargetHttpClientSettings {
  /** `host:port`. */
  readonly address: string;
  readonly slots: number;
  readonly names: HeaderNames;
}

/** Whether the end of the body is known without the end of the connection. */
function isFramed(method: string, status: number, headers: readonly HeaderPair[]): boolean {
  return (
    method === 'HEAD' ||
    bodilessStatuses.has(status) ||
    findHeader(headers, 'content-length') !== undefined ||
    findHeader(headers, 'transfer-encoding') !== undefined
  );
}

/** Connections to the target of this VM. */
export class TargetHttpClient implements TargetConnection {
  private readonly repeatable: Agent;

  private readonly once: Agent;

  private readonly host: string;

  private readonly port: string;

  public constructor(private readonly settings: TargetHttpClientSettings) {
    [this.host = '', this.port = ''] = settings.address.split(/:(?=\d+$)/);
    this.repeatable = this.createAgent(repeatableIdle);
    this.once = this.createAgent(onceIdle);
  }

  /** Sends a request once. Throws a `TargetFailure`. */
  public send(
    order: HomeRequest,
    body: Buffer,
    timeout: number,
    signal: AbortSignal,
  ): Promise<StreamedResponse> {
    const request = this.open(order, body, timeout);
    const exchange: Exchange = { order, request, isConnected: false, cutBy: undefined };
    const timer = setTimeout(() => TargetHttpClient.cut(exchange, 'late'), timeout);
    const cancel = (): void => TargetHttpClient.cut(exchange, 'cancelled');
    signal.addEventListener('abort', cancel, { once: true });
    request.once('close', () => {
      clearTimeout(timer);
      signal.removeEventListener('abort', cancel);
    });
    this.watchConnection(exchange);
    return new Promise((resolve, reject) => {
      request.once('response', (response) => {
        // A reset ends an answer without a length, which the parser would take for its proper end.
        request.on('error', (error) => {
          if (!response.complete) response.destroy(error);
        });
        try {
          resolve(this.check(order, response));
        } catch (error) {
          reject(error);
        }
      });
      request.on('error', (error) => reject(this.classify(exchange, error)));
      if (signal.aborted) cancel();
      else request.end(body);
    });
  }

  /** Closes idle connections; the others end with their requests. */
  public dispose(): void {
    [this.repeatable, this.once].forEach((agent) => {
      agent.maxFreeSockets = 0;
      Object.values(agent.freeSockets).forEach((sockets) => {
        sockets?.forEach((socket) => socket.destroy());
      });
    });
  }

  private static cut(exchange: Exchange, reason: CutReason): void {
    exchange.cutBy ??= reason;
    exchange.request.destroy(new Error(reason));
  }

  private createAgent(idle: number): Agent {
    const maxSockets = this.settings.slots + spareConnections;
    return new IdleCheckingAgent({ keepAlive: true, maxSockets, timeout: idle });
  }

  private open(order: HomeRequest, body: Buffer, timeout: number): ClientRequest {
    const { names } = this.settings;
    const headers = order.headers.flatMap((pair) => [...pair]);
    headers.push(names.timeout, String(Math.max(1, Math.round(timeout))));
    headers.push(names.expectedTarget, order.target);
    if (body.length > 0 || order.method === 'POST') {
      headers.push('content-length', String(body.length));
    }
    return startRequest({
      agent: order.isIdempotent ? this.repeatable : this.once,
      host: this.host,
      port: this.port,
      method: order.method,
      path: order.path,
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
      const timer = setTimeout(() => TargetHttpClient.cut(exchange, 'unreachable'), connectTimeout);
      socket.once('connect', () => {
        exchange.isConnected = true;
        clearTimeout(timer);
      });
      socket.once('close', () => clearTimeout(timer));
    });
  }

  private check(order: HomeRequest, response: IncomingMessage): StreamedResponse {
    const { names } = this.settings;
    const headers = pairHeaders(response.rawHeaders);
    const status = response.statusCode ?? 0;
    if (findHeader(headers, names.notRun) !== undefined || status === misdirected) {
      response.resume();
      throw this.refusal(status);
    }
    const problem = this.findProblem(order, status, headers);
    if (problem !== undefined) {
      discard(response);
      throw this.createFailure('invalid', problem);
    }
    const body = isFramed(order.method, status, headers)
      ? response
      : failOnReset(response, response.socket);
    return { status, headers: dropHopByHop(headers), body };
  }

  private findProblem(
    order: HomeRequest,
    status: number,
    headers: readonly HeaderPair[],
  ): string | undefined {
    const { names } = this.settings;
    if (findHeader(headers, names.requestId) !== order.id) return 'answer of another request';
    if (findHeader(headers, names.signature) === undefined) return 'answer without a signature';
    if (status < firstError && findHeader(headers, 'content-encoding') !== undefined) {
      return 'answer with a content coding that nobody asked for';
    }
    return undefined;
  }

  private refusal(status: number): TargetFailure {
    const { address } = this.settings;
    const message = `the target did not run it: status ${status}`;
    const origin = { step: 'target.refused', peer: address };
    const error = new HomeRefusalError('queue-full', message, origin, { hasReachedTarget: true });
    return new TargetFailure('shed', error);
  }

  private classify({ isConnected, cutBy }: Exchange, cause: Error): TargetFailure {
    if (cutBy === 'cancelled') return this.createFailure('cancelled', 'cancelled by the entry');
    if (cutBy === 'late') return this.createFailure('timeout', 'no answer within the timeout');
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
