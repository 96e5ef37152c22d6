import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { pipeline } from 'node:stream';
import { brandAs, type Clock, type DaemonId, type Disposable, type LogSink } from '../api/index.js';
import {
  HomeRefusalError,
  type ConditionReport,
  type HeaderPair,
  type TargetCondition,
} from '../common/dispatch/Types.js';
import { pairHeaders } from '../daemon/Headers.js';
import { runGuarded } from '../daemon/runGuarded.js';
import { readLimited } from '../daemon/streams.js';
import { listen } from '../node/listen.js';
import { encodeRecord, recordVersion } from '../common/fleet/daemonRecords.js';
import type { DaemonRecord } from '../common/fleet/Types.js';
import type { Home } from './Home.js';
import { dropAddedHeaders, type PeerCodecs } from './peer/peerCodecs.js';
import { checkHeader } from './peer/probeDaemon.js';
import { relayHeader } from './peer/relayMessages.js';
import type { PeerCodec, PeerFailure, PeerRequest } from './peer/Types.js';
import type { HomeRequest } from './Types.js';

/** Milliseconds for which an idle connection is kept; longer than `PeerHttpClient` keeps it. */
const keepAliveTimeout = 60_000;
/** Maximum bytes of the request headers, including the request metadata. */
const maxHeaderSize = 96 * 1024;
/** Milliseconds from the first byte of a request head to its end; both daemons are on VMs of one fleet. */
const headersTimeout = 10_000;
/** Milliseconds beyond the timeout of a request until its connection is closed, so that a last response can leave. */
const exchangeSlack = 300;
const refusalStatus = 503;
const outcomeUnknownStatus = 502;
const badRequestStatus = 400;
/** Status of a check of reachability. */
const checkedStatus = 204;

/** Headers of the connection between the daemons, which are not forwarded to the target. */
const connectionHeaders: ReadonlySet<string> = new Set([
  'expect',
  'connection',
  'transfer-encoding',
  'keep-alive',
]);

/**
 * Keeps the connection after a response that comes without `100 Continue`. node:http would close it, although the entry
 * ends such a request without a body; the next request would need a new connection, and the close can overtake the
 * response.
 */
function keepConnection(response: ServerResponse): void {
  Object.defineProperty(response, 'shouldKeepAlive', { get: () => true, set: () => {} });
}

/** A request of another daemon and its response. */
interface Exchange {
  readonly homeRequest: HomeRequest;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** The entry waits for `100 Continue` before it sends the body. */
  readonly expectsContinue: boolean;
  /** Encoding of the entry. */
  readonly codec: PeerCodec;
  readonly peerRequest: PeerRequest;
}

/** Dependencies of `HomeServer`. */
export interface HomeServerSettings {
  readonly clock: Clock;
  readonly home: Pick<Home, 'run'>;
  readonly codecs: PeerCodecs;
  /** Handles a request of a daemon that follows the store through this one; without it such requests are rejected. */
  readonly relay?: (request: IncomingMessage, response: ServerResponse) => void;
  /** Current configuration version. */
  readonly version: () => number;
  /** Current record of this daemon. */
  readonly record: () => DaemonRecord;
  /** Recent target conditions, sent to daemons of this region. */
  readonly conditions: () => readonly ConditionReport[];
  /** Called with the target conditions that an entry sent. */
  readonly onConditions: (reports: readonly ConditionReport[]) => void;
  /** Called with the configuration version by which an entry routed, and the entry if it is known. */
  readonly onVersion: (version: number, entry: DaemonId | undefined) => void;
  readonly log: LogSink;
}

/** HTTP/1.1 server for requests that other daemons forward to this home. */
export class HomeServer implements Disposable {
  private readonly server: Server;

  private inFlight = 0;

  public constructor(private readonly settings: HomeServerSettings) {
    const options = { keepAliveTimeout, maxHeaderSize, requestTimeout: 0, headersTimeout };
    const accept =
      (expectsContinue: boolean) =>
      (request: IncomingMessage, response: ServerResponse): void => {
        void runGuarded(response, settings.log, 'home.handle', () =>
          this.handle(request, response, expectsContinue),
        );
      };
    this.server = createServer(options, accept(false));
    // The entry sends the body of a non-idempotent request only after `100 Continue`.
    this.server.on('checkContinue', accept(true));
    this.server.on('clientError', (_error, socket) => socket.destroy());
  }

  /** Requests without a complete response. */
  public get load(): number {
    return this.inFlight;
  }

  /** Binds to `host:port` and returns the port. */
  public listen(address: string): Promise<number> {
    return listen(this.server, address);
  }

  public dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): Promise<void> {
    const { relay, codecs } = this.settings;
    const pairs = pairHeaders(request.rawHeaders);
    const decoded = codecs.decodeRequest(pairs);
    // A forwarded request may bear a header of this name from its caller.
    const isFollower = decoded === undefined && request.headers[relayHeader] !== undefined;
    if (relay !== undefined && isFollower) {
      relay(request, response);
      return;
    }
    response.sendDate = false;
    if (decoded === undefined && request.headers[checkHeader] !== undefined) {
      response.writeHead(checkedStatus);
      response.end();
      return;
    }
    response.on('error', () => response.destroy());
    this.inFlight += 1;
    response.once('close', () => {
      this.inFlight -= 1;
    });
    if (decoded === undefined) {
      response.writeHead(badRequestStatus, { 'content-length': 0 });
      response.end();
      return;
    }
    if (expectsContinue) keepConnection(response);
    // Tells the entry at once that this daemon is alive, even if the response takes seconds.
    response.writeProcessing();
    const { codec, request: peerRequest } = decoded;
    const { metadata, conditions } = peerRequest;
    const entry = metadata.entry === '' ? undefined : brandAs<DaemonId>(metadata.entry);
    this.settings.onVersion(metadata.version, entry);
    this.settings.onConditions(conditions ?? []);
    const homeRequest: HomeRequest = {
      ...metadata,
      entry: metadata.entry === '' ? (request.socket.remoteAddress ?? '') : metadata.entry,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: dropAddedHeaders(pairs, codec.headerNames).filter(
        ([name]) => !connectionHeaders.has(name.toLowerCase()),
      ),
    };
    const exchange = { homeRequest, request, response, expectsContinue, codec, peerRequest };
    this.limitDuration(exchange);
    try {
      await this.serve(exchange);
    } catch (error) {
      this.sendFailure(exchange, error);
    }
  }

  /** Closes the connection of an exchange that does not end: once the entry no longer waits, it is silent or cut off. */
  private limitDuration({ homeRequest, request, response }: Exchange): void {
    const { clock, log } = this.settings;
    const timer = clock.after(homeRequest.timeout + exchangeSlack, () => {
      if (request.socket.destroyed || (response.writableFinished && request.complete)) return;
      log.write({
        level: 'info',
        kind: 'route',
        message: 'closed the connection of an exchange that did not end within its timeout',
        fields: {
          step: 'home.timeout',
          request: homeRequest.id,
          entry: homeRequest.entry,
          timeout: homeRequest.timeout,
          hasBody: request.complete,
          hasResponse: response.headersSent,
        },
      });
      request.socket.destroy();
    });
    response.once('close', () => {
      if (request.complete || request.socket.destroyed) timer.dispose();
    });
  }

  private async serve(exchange: Exchange): Promise<void> {
    const { homeRequest, request, response, expectsContinue } = exchange;
    const abort = new AbortController();
    response.once('close', () => abort.abort());
    const receiveBody = (onProgress: () => void): Promise<Buffer> => {
      if (expectsContinue) response.writeContinue();
      return readLimited(request, Infinity, onProgress);
    };
    const answer = await this.settings.home.run(homeRequest, receiveBody, abort.signal);
    this.writeHead(exchange, answer.status, answer.headers, { condition: answer.condition });
    pipeline(answer.body, response, (error) => {
      // A truncated body resets the connection, so that it is never mistaken for a complete one.
      if (error) response.destroy();
    });
  }

  /** Writes the head of a response with the state of this daemon, which comes before the headers of the target. */
  private writeHead(
    { codec, peerRequest, response }: Exchange,
    status: number,
    headers: readonly HeaderPair[],
    { condition, failure }: { condition?: TargetCondition; failure?: PeerFailure },
  ): void {
    const { version, record } = this.settings;
    const current = record();
    const sentVersion = peerRequest.metadata.recordVersion;
    const isKnown = codec.encodeRecordVersion(recordVersion(current)) === sentVersion;
    const added = codec.encodeResponse({
      version: version(),
      condition,
      conditions: this.conditionsFor(codec, peerRequest),
      record: isKnown ? undefined : encodeRecord(current),
      failure,
    });
    // Connections persist without the header.
    response.removeHeader('connection');
    response.writeHead(
      status,
      [...added, ...headers].flatMap((pair) => [...pair]),
    );
  }

  /** Target conditions for the entry of a request; daemons of different regions do not exchange them. */
  private conditionsFor(
    { maxDistantConditions }: PeerCodec,
    { conditions, isSameDataCentre }: PeerRequest,
  ): readonly ConditionReport[] | undefined {
    if (conditions === undefined) return undefined;
    const known = this.settings.conditions();
    return isSameDataCentre ? known : known.slice(0, maxDistantConditions);
  }

  private sendFailure(exchange: Exchange, error: unknown): void {
    const { homeRequest, request, response } = exchange;
    if (response.headersSent || response.destroyed) {
      response.destroy();
      return;
    }
    request.resume();
    const headers: HeaderPair[] = [['content-length', '0']];
    if (error instanceof HomeRefusalError) {
      const { condition, retryAfter, hasReachedTarget = false } = error.details;
      // Without the rest of the body, the connection cannot be used again.
      if (error.reason === 'deadline' && !request.complete) headers.push(['connection', 'close']);
      const failure = {
        type: 'refused',
        reason: error.reason,
        retryAfter,
        hasReachedTarget,
      } as const;
      this.writeHead(exchange, refusalStatus, headers, { condition, failure });
    } else {
      this.settings.log.write({
        level: 'info',
        kind: 'route',
        message: String(error),
        fields: { step: 'home.answer', request: homeRequest.id, target: homeRequest.target },
      });
      this.writeHead(exchange, outcomeUnknownStatus, headers, { failure: { type: 'unknown' } });
    }
    response.end();
  }
}
