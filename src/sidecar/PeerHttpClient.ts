import {
  Agent,
  request as startRequest,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import type { Socket } from 'node:net';
import { OutcomeUnknownError, type Clock, type DaemonId, type Disposable } from '../api/index.js';
import {
  HomeRefusalError,
  HomeUnresponsiveError,
  type Candidate,
  type ConditionReport,
  type AttemptRequest,
  type HeaderPair,
  type TargetAnswer,
  type TargetCondition,
} from '../common/dispatch/Types.js';
import { decodeRecord } from '../common/fleet/daemonRecords.js';
import type { DaemonRecord } from '../common/fleet/Types.js';
import { dropHopByHop, pairHeaders } from '../daemon/Headers.js';
import { skipBody } from '../daemon/streams.js';
import { bufferSmallBody } from './bufferSmallBody.js';
import { limitOverhead } from '../daemon/limitOverhead.js';
import { createRequestMetadata } from './peer/createRequestMetadata.js';
import { dropAddedHeaders, type PeerCodecs } from './peer/peerCodecs.js';
import type { PeerCodec, PeerFailure } from './peer/Types.js';

/** Milliseconds for which an idle connection is kept; shorter than `HomeServer` keeps it. */
const idleTimeout = 20_000;
/** Maximum idle connections to one daemon. */
const maxIdleConnections = 6;
/** Milliseconds within which a daemon of this region must send `102 Processing` or a response. */
const processingTimeout = 450;
/** Additional milliseconds for a daemon of the other region: two round trips. */
const crossRegionAllowance = 250;
const fallbackStatus = 502;

/** Failure of an exchange whose response comes from no daemon. */
const notHome = {
  failure: { type: 'refused', reason: 'not-home', retryAfter: undefined, hasReachedTarget: false },
  condition: undefined,
} as const;

/** Failure of an exchange whose outcome no response tells. */
const noState = { failure: { type: 'unknown' }, condition: undefined } as const;

/** Bytes that a connection has sent and received. */
function transferredBytes({ bytesRead, bytesWritten }: Socket): number {
  return bytesRead + bytesWritten;
}

/** What is known of a target with a rate limit, for its home, which may have restarted. */
function limitReport({ target, condition, age }: Candidate): readonly ConditionReport[] {
  return condition?.limit === undefined ? [] : [{ target, condition, age }];
}

/** Dependencies of `PeerHttpClient`. */
export interface PeerHttpClientSettings {
  readonly id: DaemonId;
  readonly region: string;
  readonly dataCentre: string;
  readonly codecs: PeerCodecs;
  readonly clock: Clock;
  /** Called with the configuration version of a responding daemon. */
  readonly onVersion: (version: number, daemon: DaemonId) => void;
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
  /** Encoding that the home reads. */
  readonly codec: PeerCodec;
  /** Connection of the exchange and the bytes that it had transferred before. */
  connection: { readonly socket: Socket; readonly bytesBefore: number } | undefined;
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
      const exchange = this.tryOpenRequest(candidate, attempt);
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

  /** Throws `HomeRefusalError` if nothing can be sent to the address or with the request's path and headers. */
  private tryOpenRequest(candidate: Candidate, attempt: AttemptRequest): Exchange {
    try {
      return this.openRequest(candidate, attempt);
    } catch (cause) {
      const origin = { step: 'peer.send', peer: candidate.daemon, cause };
      const hasBadPort = (cause as NodeJS.ErrnoException).code === 'ERR_SOCKET_BAD_PORT';
      throw new HomeRefusalError('connect-failed', 'the request could not be sent', origin, {
        isUnreachable: hasBadPort,
      });
    }
  }

  private openRequest(candidate: Candidate, attempt: AttemptRequest): Exchange {
    const { call } = attempt;
    const [host = '', port = ''] = candidate.address.split(/:(?=\d+$)/);
    const codec = this.settings.codecs.select(candidate.encoding);
    const added = this.encodeRequest(candidate, attempt, codec);
    const headers = added.flatMap((pair) => [...pair]);
    call.headers.forEach(([name, value]) => {
      if (name.toLowerCase() !== 'content-length') headers.push(name, value);
    });
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
    const exchange: Exchange = {
      candidate,
      attempt,
      request,
      codec,
      connection: undefined,
      hasSentBody: false,
      hasResponded: false,
    };
    request.once('socket', (socket) => {
      exchange.connection = { socket, bytesBefore: transferredBytes(socket) };
    });
    return exchange;
  }

  private encodeRequest(
    candidate: Candidate,
    attempt: AttemptRequest,
    codec: PeerCodec,
  ): HeaderPair[] {
    const { id, region, dataCentre } = this.settings;
    const metadata = createRequestMetadata(candidate, attempt, id);
    const recordVersion = codec.encodeRecordVersion(candidate.recordVersion);
    const isSameDataCentre = candidate.dataCentre === dataCentre;
    const known =
      candidate.region === region
        ? [...limitReport(candidate), ...this.settings.conditions()]
        : undefined;
    return codec.encodeRequest({
      metadata: { ...metadata, recordVersion },
      isSameDataCentre,
      conditions: isSameDataCentre ? known : known?.slice(0, codec.maxDistantConditions),
    });
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
    const { candidate, codec } = exchange;
    const pairs = pairHeaders(response.rawHeaders);
    const state = codec.decodeResponse(pairs);
    const status = response.statusCode ?? fallbackStatus;
    // A response without the state of a home does not come from a daemon, unless one asked for the body before.
    if (state === undefined) {
      const mayHaveRun = exchange.hasSentBody && !exchange.attempt.call.route.isIdempotent;
      throw this.endFailed(exchange, response, mayHaveRun ? noState : notHome);
    }
    const { version, conditions, condition, failure } = state;
    this.settings.onVersion(version, candidate.daemon);
    this.settings.onConditions(conditions ?? []);
    const record = decodeRecord(state.record ?? '', candidate.daemon);
    if (record !== undefined) this.settings.onRecord(record);
    if (failure !== undefined) throw this.endFailed(exchange, response, { failure, condition });
    let transferred: number | undefined;
    response.once('end', () => {
      const { connection } = exchange;
      if (connection === undefined) return;
      transferred = transferredBytes(connection.socket) - connection.bytesBefore;
    });
    try {
      const body = await bufferSmallBody(response, () => response.complete);
      const headers = dropHopByHop(dropAddedHeaders(pairs, codec.headerNames));
      return { status, headers, body, condition, transferred };
    } catch (cause) {
      const origin = { step: 'peer.answer', peer: candidate.daemon, cause };
      throw new OutcomeUnknownError('the response was truncated', origin);
    }
  }

  /** Ends an exchange without a response of the target, and returns its error. */
  private endFailed(
    { candidate, request, hasSentBody }: Exchange,
    response: IncomingMessage,
    { failure, condition }: { failure: PeerFailure; condition: TargetCondition | undefined },
  ): Error {
    const origin = { step: 'peer.answer', peer: candidate.daemon };
    // Ends a request without its body, so that the connection can be reused.
    if (!hasSentBody) request.end();
    skipBody(response);
    if (failure.type === 'unknown') {
      return new OutcomeUnknownError('the target gave no usable response', origin);
    }
    const { reason, retryAfter, hasReachedTarget } = failure;
    const details = { condition, retryAfter, hasReachedTarget };
    return new HomeRefusalError(reason, `the home refused: ${reason}`, origin, details);
  }
}
