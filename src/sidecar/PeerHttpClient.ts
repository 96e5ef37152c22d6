import {
  Agent,
  request as startRequest,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import { OutcomeUnknownError, type Clock, type DaemonId, type Disposable } from '../api/index.js';
import {
  HomeRefusalError,
  HomeUnresponsiveError,
  type Candidate,
  type ConditionReport,
  type AttemptRequest,
  type TargetAnswer,
} from '../common/dispatch/Types.js';
import { decodeRecord } from '../common/fleet/daemonRecords.js';
import type { DaemonRecord } from '../common/fleet/Types.js';
import { dropHopByHop, findHeader, pairHeaders } from '../daemon/Headers.js';
import { bufferSmallBody } from './bufferSmallBody.js';
import {
  conditionHeader,
  createRequestMetadata,
  decodeCondition,
  decodeConditions,
  decodeRefusalReason,
  encodeConditions,
  encodeRequestMetadata,
  outcomeUnknownHeader,
  conditionsHeader,
  requestMetadataHeader,
  targetReachedHeader,
  refusalHeader,
  retryAfterHeader,
  recordHeader,
  versionHeader,
} from './peerHeaders.js';

/** Milliseconds for which an idle connection is kept; less than the other side keeps it. */
const idleTimeout = 20_000;
/** Idle connections to one daemon. */
const maxIdle = 6;
/** Milliseconds until a daemon of this region must show that it has read a request. */
const signTimeout = 450;
/** Milliseconds that a daemon in the other region gets in addition: two round trips. */
const regionAllowance = 250;
const unknownStatus = 502;

/** Headers that the home adds for the entry only. */
const internalHeaders: ReadonlySet<string> = new Set([
  conditionHeader,
  refusalHeader,
  retryAfterHeader,
  targetReachedHeader,
  versionHeader,
  recordHeader,
  conditionsHeader,
  outcomeUnknownHeader,
]);

/** What a link depends on. */
export interface PeerHttpClientSettings {
  readonly id: DaemonId;
  readonly region: string;
  readonly clock: Clock;
  /** Told the configuration version in force at an answering daemon. */
  readonly onVersion: (version: number) => void;
  /** Conditions of targets for daemons of this region. */
  readonly conditions: () => readonly ConditionReport[];
  /** Told the conditions that an answering daemon knows. */
  readonly onConditions: (news: readonly ConditionReport[]) => void;
  /** Told the record of an answering daemon of which this one knew an older record. */
  readonly onRecord: (record: DaemonRecord) => void;
}

/** One order on its way. */
interface Exchange {
  readonly candidate: Candidate;
  readonly order: AttemptRequest;
  readonly request: ClientRequest;
  /** Whether the home may run the request from here on. */
  hasStarted: boolean;
  hasSign: boolean;
}

/** Sends orders to other daemons over HTTP/1.1. */
export class PeerHttpClient implements Disposable {
  private readonly agent = new Agent({
    keepAlive: true,
    maxFreeSockets: maxIdle,
    timeout: idleTimeout,
  });

  public constructor(private readonly settings: PeerHttpClientSettings) {}

  /** Sends an order. Throws `HomeRefusalError` if it was not run, else `OutcomeUnknownError`. */
  public send(
    candidate: Candidate,
    order: AttemptRequest,
    signal: AbortSignal,
  ): Promise<TargetAnswer> {
    return new Promise((resolve, reject) => {
      const exchange = this.open(candidate, order);
      const { request } = exchange;
      const sign = this.awaitSign(exchange);
      const cancel = (): void => {
        request.destroy();
      };
      const finish = (): void => {
        sign.dispose();
        signal.removeEventListener('abort', cancel);
      };
      signal.addEventListener('abort', cancel, { once: true });
      request.on('information', () => this.noteSign(exchange, sign));
      request.on('continue', () => {
        this.noteSign(exchange, sign);
        this.begin(exchange);
      });
      request.on('error', (error) => {
        finish();
        reject(this.classify(exchange, error, signal.aborted));
      });
      request.on('response', (response) => {
        this.noteSign(exchange, sign);
        this.read(exchange, response).then(resolve, reject).finally(finish);
      });
      if (order.call.route.isIdempotent) this.begin(exchange);
      else request.flushHeaders();
      if (signal.aborted) cancel();
    });
  }

  public dispose(): void {
    this.agent.destroy();
  }

  private open(candidate: Candidate, order: AttemptRequest): Exchange {
    const { call } = order;
    const [host = '', port = ''] = candidate.address.split(/:(?=\d+$)/);
    const head = encodeRequestMetadata(createRequestMetadata(candidate, order, this.settings.id));
    const headers = call.headers.flatMap(([name, value]) =>
      name.toLowerCase() === 'content-length' ? [] : [name, value],
    );
    headers.push(requestMetadataHeader, head);
    if (candidate.region === this.settings.region) {
      headers.push(conditionsHeader, encodeConditions(this.settings.conditions()));
    }
    if (!call.route.isIdempotent) headers.push('expect', '100-continue');
    if (!call.route.isIdempotent || call.body.length > 0) {
      // Chunks let a refused request end properly without its body.
      headers.push('transfer-encoding', 'chunked');
    }
    const request = startRequest({
      agent: this.agent,
      host,
      port,
      method: call.method,
      path: call.path,
      headers,
      setHost: false,
    });
    request.setNoDelay(true);
    return { candidate, order, request, hasStarted: false, hasSign: false };
  }

  private begin(exchange: Exchange): void {
    if (exchange.hasStarted) return;
    exchange.hasStarted = true;
    exchange.order.onStart();
    exchange.request.end(exchange.order.call.body);
  }

  private awaitSign(exchange: Exchange): Disposable {
    const isRemote = exchange.candidate.region !== this.settings.region;
    return this.settings.clock.after(signTimeout + (isRemote ? regionAllowance : 0), () => {
      exchange.request.destroy(new Error('the daemon gave no sign of life'));
    });
  }

  private noteSign(exchange: Exchange, sign: Disposable): void {
    exchange.hasSign = true;
    sign.dispose();
  }

  private classify(exchange: Exchange, error: Error, isCancelled: boolean): Error {
    const { candidate, hasSign, hasStarted, order } = exchange;
    const origin = { step: 'peer.send', peer: candidate.daemon, cause: error };
    const isUnsent = !hasStarted || ('code' in error && error.code === 'ECONNREFUSED' && !hasSign);
    if (isUnsent) {
      return new HomeRefusalError(
        isCancelled ? 'cancelled' : 'connect-failed',
        error.message,
        origin,
        {
          isUnreachable: !hasSign && !isCancelled,
        },
      );
    }
    if (hasSign || isCancelled || !order.call.route.isIdempotent) {
      return new OutcomeUnknownError(error.message, origin);
    }
    return new HomeUnresponsiveError(error.message, origin);
  }

  private async read(exchange: Exchange, response: IncomingMessage): Promise<TargetAnswer> {
    const { candidate, request } = exchange;
    const pairs = pairHeaders(response.rawHeaders);
    const version = Number(findHeader(pairs, versionHeader));
    if (version > 0) this.settings.onVersion(version);
    this.settings.onConditions(decodeConditions(findHeader(pairs, conditionsHeader)));
    const record = decodeRecord(findHeader(pairs, recordHeader) ?? '');
    if (record !== undefined) this.settings.onRecord(record);
    const condition = decodeCondition(findHeader(pairs, conditionHeader));
    const refusal = findHeader(pairs, refusalHeader);
    const status = response.statusCode ?? unknownStatus;
    const origin = { step: 'peer.answer', peer: candidate.daemon };
    // Without a version the answer is not that of a daemon.
    if (refusal !== undefined || Number.isNaN(version)) {
      // Ends a reserved request, so that the connection can be used again.
      if (!exchange.hasStarted) request.end();
      response.resume();
      const retryAfter = Number(findHeader(pairs, retryAfterHeader) ?? 0) || undefined;
      const hasReachedTarget = findHeader(pairs, targetReachedHeader) !== undefined;
      const details = { condition, retryAfter, hasReachedTarget };
      const reason = decodeRefusalReason(refusal ?? 'not-home');
      throw new HomeRefusalError(reason, `the home refused: ${reason}`, origin, details);
    }
    const headers = dropHopByHop(pairs).filter(([name]) => !internalHeaders.has(name));
    if (findHeader(pairs, outcomeUnknownHeader) !== undefined) {
      response.resume();
      throw new OutcomeUnknownError('the target gave no usable answer', origin);
    }
    try {
      const body = await bufferSmallBody(response, () => response.complete);
      return { status, headers, body, condition };
    } catch (cause) {
      throw new OutcomeUnknownError('the answer was cut', { ...origin, cause });
    }
  }
}
