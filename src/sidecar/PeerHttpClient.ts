import { request as startRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import {
  FleetError,
  OutcomeUnknownError,
  type Clock,
  type DaemonId,
  type Disposable,
  type LogSink,
} from '../api/index.js';
import {
  HomeRefusalError,
  type Candidate,
  type ConditionReport,
  type AttemptRequest,
  type HeaderPair,
  type TargetAnswer,
  type TargetCondition,
} from '../common/dispatch/Types.js';
import { decodeRecord } from '../common/fleet/daemonRecords.js';
import type { ReachabilityMonitor } from '../common/fleet/ReachabilityMonitor.js';
import { responseTimeout, ResponseWatch } from '../common/fleet/ResponseWatch.js';
import type { DaemonRecord } from '../common/fleet/Types.js';
import { dropHopByHop, pairHeaders } from '../daemon/Headers.js';
import { skipBody } from '../daemon/streams.js';
import { bufferSmallBody } from './bufferSmallBody.js';
import { limitOverhead } from '../daemon/limitOverhead.js';
import { createRequestMetadata } from './peer/createRequestMetadata.js';
import { PeerAgent } from './peer/PeerAgent.js';
import { SilenceError } from './peer/SilenceError.js';
import { dropAddedHeaders, type PeerCodecs } from './peer/peerCodecs.js';
import type { PeerCodec, PeerFailure } from './peer/Types.js';

/** Milliseconds for which an idle connection is kept; shorter than `HomeServer` keeps it. */
const idleTimeout = 20_000;
/** Maximum idle connections to one daemon. */
const maxIdleConnections = 6;
const fallbackStatus = 502;
/** Times that a request whose body was not asked for is sent, each on another connection. */
const maxSends = 2;
/** Errors of a connection that the other VM does not accept; others, such as a lack of sockets, are of this VM. */
const connectErrors: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'ECONNRESET',
  'EHOSTDOWN',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ERR_SOCKET_BAD_PORT',
  'ETIMEDOUT',
]);

/** Failure of an exchange whose response comes from no daemon. */
const notHome = {
  failure: { type: 'refused', reason: 'not-home', retryAfter: undefined, hasReachedTarget: false },
  condition: undefined,
} as const;

/** Failure of an exchange whose outcome no response tells. */
const noState = { failure: { type: 'unknown' }, condition: undefined } as const;

/** Code of an error that kept a connection from being opened by the other VM; undefined for other errors. */
function connectErrorOf(error: Error): string | undefined {
  const { code = '', syscall } = error as NodeJS.ErrnoException;
  const isConnecting = syscall === 'connect' || code === 'ERR_SOCKET_BAD_PORT';
  return isConnecting && connectErrors.has(code) ? code : undefined;
}

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
  readonly log: LogSink;
  readonly monitor: Pick<
    ReachabilityMonitor,
    'check' | 'recordConnectFailure' | 'recordLostConnection' | 'recordResponse' | 'recordSilence'
  >;
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
  readonly host: string;
  readonly port: number;
  readonly startedAt: number;
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
  private readonly agent: PeerAgent;

  private lostCount = 0;

  public constructor(private readonly settings: PeerHttpClientSettings) {
    this.agent = new PeerAgent(settings.clock, {
      maxFreeSockets: maxIdleConnections,
      timeout: idleTimeout,
    });
  }

  /** Exchanges that ended because their connection was lost while the daemon was reachable. */
  public get lostConnections(): number {
    return this.lostCount;
  }

  /** Sends an attempt. Throws `HomeRefusalError` if it was not run, otherwise `OutcomeUnknownError`. */
  public async send(
    candidate: Candidate,
    attempt: AttemptRequest,
    signal: AbortSignal,
  ): Promise<TargetAnswer> {
    for (let sends = 1; ; sends += 1) {
      const exchange = this.tryOpenRequest(candidate, attempt);
      try {
        return await this.run(exchange, signal);
      } catch (cause) {
        const error = cause instanceof Error ? cause : new Error(String(cause));
        if (error instanceof FleetError) throw error;
        this.recordFailure(exchange, error, signal.aborted);
        const mayResend = sends < maxSends && this.isConnectionFault(exchange, error);
        if (signal.aborted || !mayResend) throw this.classify(exchange, error, signal.aborted);
      }
    }
  }

  public dispose(): void {
    this.agent.destroy();
  }

  /** Sends a request once. Rejects with a `FleetError` if the daemon says so, otherwise with the error of the connection. */
  private run(exchange: Exchange, signal: AbortSignal): Promise<TargetAnswer> {
    const { request, candidate, attempt } = exchange;
    return new Promise((resolve, reject) => {
      const watch = this.createWatch(exchange);
      const cancel = (): void => {
        request.destroy();
      };
      const cleanUp = (): void => {
        watch.dispose();
        signal.removeEventListener('abort', cancel);
      };
      const markResponded = (): void => {
        // A response may be recorded after the watch was disposed.
        if (!exchange.hasResponded) {
          this.settings.monitor.recordResponse(candidate.daemon, exchange.startedAt);
        }
        exchange.hasResponded = true;
        watch.dispose();
      };
      signal.addEventListener('abort', cancel, { once: true });
      request.on('information', markResponded);
      request.on('continue', () => {
        markResponded();
        this.sendBody(exchange);
      });
      const fail = (error: Error): void => {
        cleanUp();
        reject(error);
      };
      request.on('error', fail);
      // A response that switches protocols closes the request without an error.
      const failOnClose = (): void => {
        fail(new Error('the request was closed without a response'));
      };
      request.once('close', failOnClose);
      request.on('response', (response) => {
        request.off('close', failOnClose);
        markResponded();
        this.readResponse(exchange, response).then(resolve, reject).finally(cleanUp);
      });
      if (attempt.call.route.isIdempotent) this.sendBody(exchange);
      else request.flushHeaders();
      if (signal.aborted) cancel();
    });
  }

  private createWatch({ candidate, request }: Exchange): ResponseWatch {
    const { clock, monitor, region } = this.settings;
    return new ResponseWatch({
      clock,
      monitor,
      daemon: candidate.daemon,
      timeout: responseTimeout(candidate.region === region),
      isNewConnection: () => !request.reusedSocket,
      onSilence: (reason) => request.destroy(new SilenceError(reason)),
    });
  }

  /** Throws `HomeRefusalError` if nothing can be sent to the address or with the request's path and headers. */
  private tryOpenRequest(candidate: Candidate, attempt: AttemptRequest): Exchange {
    try {
      return this.openRequest(candidate, attempt);
    } catch (cause) {
      const origin = { step: 'peer.send', peer: candidate.daemon, cause };
      const code = connectErrorOf(cause as Error);
      if (code !== undefined) this.settings.monitor.recordConnectFailure(candidate.daemon, code);
      throw new HomeRefusalError('connect-failed', 'the request could not be sent', origin);
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
      host,
      port: Number(port),
      startedAt: this.settings.clock.elapsed(),
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

  /** Whether the body was not asked for and only the connection failed, so that another one may do. */
  private isConnectionFault({ hasSentBody, hasResponded }: Exchange, error: Error): boolean {
    if (hasSentBody || hasResponded || connectErrorOf(error) !== undefined) return false;
    return !(error instanceof SilenceError) || error.reason === 'connection-lost';
  }

  /** Reports an exchange without a response, and closes the idle connections that may be lost as well. */
  private recordFailure(exchange: Exchange, error: Error, isCancelled: boolean): void {
    const { candidate, attempt, request, host, port, startedAt } = exchange;
    const { monitor, log, clock } = this.settings;
    const { daemon } = candidate;
    if (exchange.hasResponded || isCancelled) return;
    const isNewConnection = !request.reusedSocket;
    const silence = error instanceof SilenceError ? error.reason : undefined;
    const code = connectErrorOf(error);
    if (code !== undefined) monitor.recordConnectFailure(daemon, code);
    else if (silence === 'connection-lost') {
      this.lostCount += 1;
      monitor.recordLostConnection({ daemon, startedAt, isNewConnection });
    } else if (silence === undefined) void monitor.check(daemon);
    const closed = code === undefined ? this.agent.closeIdle(host, port, startedAt) : 0;
    const idle = this.agent.idleTimeOf(request, startedAt);
    log.write({
      level: 'info',
      kind: 'route',
      message: error.message,
      fields: {
        step: 'peer.failed',
        request: attempt.call.id,
        home: daemon,
        took: Math.round(clock.elapsed() - startedAt),
        code: code ?? (error as NodeJS.ErrnoException).code,
        idle: idle === undefined ? undefined : Math.round(idle),
        newConnection: isNewConnection,
        bodySent: exchange.hasSentBody,
        closed,
      },
    });
  }

  private classify(exchange: Exchange, error: Error, isCancelled: boolean): Error {
    const { candidate, hasResponded, hasSentBody } = exchange;
    const origin = { step: 'peer.send', peer: candidate.daemon, cause: error };
    if (!hasSentBody || (connectErrorOf(error) !== undefined && !hasResponded)) {
      const reason = isCancelled ? 'cancelled' : 'connect-failed';
      return new HomeRefusalError(reason, error.message, origin);
    }
    return new OutcomeUnknownError(error.message, origin);
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
