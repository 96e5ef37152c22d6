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
import { skipBody } from '../daemon/streams.js';
import { bufferSmallBody } from './bufferSmallBody.js';
import { limitOverhead } from './limitOverhead.js';
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

/** Milliseconds for which an idle connection is kept; shorter than `HomeServer` keeps it. */
const idleTimeout = 20_000;
/** Maximum idle connections to one daemon. */
const maxIdleConnections = 6;
/** Milliseconds within which a daemon of this region must send `102 Processing` or a response. */
const processingTimeout = 450;
/** Additional milliseconds for a daemon of the other region: two round trips. */
const crossRegionAllowance = 250;
const fallbackStatus = 502;

/** Headers for the entry, not forwarded to the caller. */
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

/** Dependencies of `PeerHttpClient`. */
export interface PeerHttpClientSettings {
  readonly id: DaemonId;
  readonly region: string;
  readonly clock: Clock;
  /** Called with the configuration version of a responding daemon. */
  readonly onVersion: (version: number) => void;
  /** Recent target conditions, sent to daemons of this region. */
  readonly conditions: () => readonly ConditionReport[];
  /** Called with the target conditions that a responding daemon sent. */
  readonly onConditions: (reports: readonly ConditionReport[]) => void;
  /** Called with the record of a responding daemon if this one has an older version. */
  readonly onRecord: (record: DaemonRecord) => void;
}

/** An attempt in flight. */
interface Exchange {
  readonly candidate: Candidate;
  readonly attempt: AttemptRequest;
  readonly request: ClientRequest;
  /** Whether the body was sent, so that the home may run the request. */
  hasSentBody: boolean;
  /** Whether the home sent `102 Processing`, `100 Continue` or a response. */
  hasResponded: boolean;
}

/** Forwards attempts to other daemons over HTTP/1.1. */
export class PeerHttpClient implements Disposable {
  private readonly agent = new Agent({
    keepAlive: true,
    maxFreeSockets: maxIdleConnections,
    timeout: idleTimeout,
  });

  public constructor(private readonly settings: PeerHttpClientSettings) {}

  /** Sends an attempt. Throws `HomeRefusalError` if it was not run, otherwise `OutcomeUnknownError`. */
  public send(
    candidate: Candidate,
    attempt: AttemptRequest,
    signal: AbortSignal,
  ): Promise<TargetAnswer> {
    return new Promise((resolve, reject) => {
      const exchange = this.openRequest(candidate, attempt);
      const { request } = exchange;
      const processingTimer = this.startProcessingTimer(exchange);
      const cancel = (): void => {
        request.destroy();
      };
      const cleanUp = (): void => {
        processingTimer.dispose();
        signal.removeEventListener('abort', cancel);
      };
      signal.addEventListener('abort', cancel, { once: true });
      request.on('information', () => this.markResponded(exchange, processingTimer));
      request.on('continue', () => {
        this.markResponded(exchange, processingTimer);
        this.sendBody(exchange);
      });
      const fail = (error: Error): void => {
        cleanUp();
        reject(this.classify(exchange, error, signal.aborted));
      };
      request.on('error', fail);
      // A response that switches protocols closes the request without an error.
      const failOnClose = (): void => {
        fail(new Error('the request was closed without a response'));
      };
      request.once('close', failOnClose);
      request.on('response', (response) => {
        request.off('close', failOnClose);
        this.markResponded(exchange, processingTimer);
        this.readResponse(exchange, response).then(resolve, reject).finally(cleanUp);
      });
      if (attempt.call.route.isIdempotent) this.sendBody(exchange);
      else request.flushHeaders();
      if (signal.aborted) cancel();
    });
  }

  public dispose(): void {
    this.agent.destroy();
  }

  private openRequest(candidate: Candidate, attempt: AttemptRequest): Exchange {
    const { call } = attempt;
    const [host = '', port = ''] = candidate.address.split(/:(?=\d+$)/);
    const head = encodeRequestMetadata(createRequestMetadata(candidate, attempt, this.settings.id));
    const headers = call.headers.flatMap(([name, value]) =>
      name.toLowerCase() === 'content-length' ? [] : [name, value],
    );
    headers.push(requestMetadataHeader, head);
    if (candidate.region === this.settings.region) {
      headers.push(conditionsHeader, encodeConditions(this.settings.conditions()));
    }
    if (!call.route.isIdempotent) headers.push('expect', '100-continue');
    if (!call.route.isIdempotent || call.body.length > 0) {
      // Chunked encoding allows ending a refused request without sending its body.
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
    limitOverhead(request);
    return { candidate, attempt, request, hasSentBody: false, hasResponded: false };
  }

  private sendBody(exchange: Exchange): void {
    if (exchange.hasSentBody) return;
    exchange.hasSentBody = true;
    exchange.attempt.onStart();
    exchange.request.end(exchange.attempt.call.body);
  }

  private startProcessingTimer(exchange: Exchange): Disposable {
    const isRemote = exchange.candidate.region !== this.settings.region;
    return this.settings.clock.after(
      processingTimeout + (isRemote ? crossRegionAllowance : 0),
      () => {
        exchange.request.destroy(new Error('the daemon did not respond in time'));
      },
    );
  }

  private markResponded(exchange: Exchange, processingTimer: Disposable): void {
    exchange.hasResponded = true;
    processingTimer.dispose();
  }

  private classify(exchange: Exchange, error: Error, isCancelled: boolean): Error {
    const { candidate, hasResponded, hasSentBody, attempt } = exchange;
    const origin = { step: 'peer.send', peer: candidate.daemon, cause: error };
    const isUnsent =
      !hasSentBody || ('code' in error && error.code === 'ECONNREFUSED' && !hasResponded);
    if (isUnsent) {
      return new HomeRefusalError(
        isCancelled ? 'cancelled' : 'connect-failed',
        error.message,
        origin,
        {
          isUnreachable: !hasResponded && !isCancelled,
        },
      );
    }
    if (hasResponded || isCancelled || !attempt.call.route.isIdempotent) {
      return new OutcomeUnknownError(error.message, origin);
    }
    return new HomeUnresponsiveError(error.message, origin);
  }

  private async readResponse(exchange: Exchange, response: IncomingMessage): Promise<TargetAnswer> {
    const { candidate, request } = exchange;
    const pairs = pairHeaders(response.rawHeaders);
    const version = Number(findHeader(pairs, versionHeader));
    if (version > 0) this.settings.onVersion(version);
    this.settings.onConditions(decodeConditions(findHeader(pairs, conditionsHeader)));
    const record = decodeRecord(findHeader(pairs, recordHeader) ?? '');
    if (record !== undefined) this.settings.onRecord(record);
    const condition = decodeCondition(findHeader(pairs, conditionHeader));
    const refusal = findHeader(pairs, refusalHeader);
    const status = response.statusCode ?? fallbackStatus;
    const origin = { step: 'peer.answer', peer: candidate.daemon };
    // A response without a version does not come from a daemon.
    if (refusal !== undefined || Number.isNaN(version)) {
      // Ends a request without its body, so that the connection can be reused.
      if (!exchange.hasSentBody) request.end();
      skipBody(response);
      const retryAfter = Number(findHeader(pairs, retryAfterHeader) ?? 0) || undefined;
      const hasReachedTarget = findHeader(pairs, targetReachedHeader) !== undefined;
      const details = { condition, retryAfter, hasReachedTarget };
      const reason = decodeRefusalReason(refusal ?? 'not-home');
      throw new HomeRefusalError(reason, `the home refused: ${reason}`, origin, details);
    }
    const headers = dropHopByHop(pairs).filter(([name]) => !internalHeaders.has(name));
    if (findHeader(pairs, outcomeUnknownHeader) !== undefined) {
      skipBody(response);
      throw new OutcomeUnknownError('the target gave no usable response', origin);
    }
    try {
      const body = await bufferSmallBody(response, () => response.complete);
      return { status, headers, body, condition };
    } catch (cause) {
      throw new OutcomeUnknownError('the response was truncated', { ...origin, cause });
    }
  }
}
