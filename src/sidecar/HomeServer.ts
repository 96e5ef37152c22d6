import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { buffer } from 'node:stream/consumers';
import { pipeline } from 'node:stream';
import type { Disposable, LogSink } from '../api/index.js';
import { HomeRefusalError, type ConditionReport } from '../common/dispatch/Types.js';
import { findHeader, pairHeaders } from '../daemon/Headers.js';
import { listen } from '../node/listen.js';
import { encodeRecord, recordVersion } from '../common/fleet/daemonRecords.js';
import type { DaemonRecord } from '../common/fleet/Types.js';
import type { Home } from './Home.js';
import {
  conditionHeader,
  decodeRequestMetadata,
  decodeConditions,
  encodeConditions,
  outcomeUnknownHeader,
  conditionsHeader,
  requestMetadataHeader,
  targetReachedHeader,
  recordHeader,
  refusalHeader,
  retryAfterHeader,
  versionHeader,
} from './peerHeaders.js';
import type { HomeRequest } from './Types.js';

/** Milliseconds for which an idle connection is kept; longer than `PeerHttpClient` keeps it. */
const keepAliveTimeout = 60_000;
/** Maximum bytes of the request headers, including the request metadata. */
const maxHeaderSize = 96 * 1024;
const refusalStatus = 503;
const outcomeUnknownStatus = 502;
const badRequestStatus = 400;

/** Headers that are not forwarded to the target. */
const internalHeaders: ReadonlySet<string> = new Set([
  requestMetadataHeader,
  conditionsHeader,
  'expect',
  'connection',
  'transfer-encoding',
  'keep-alive',
]);

/** A request of another daemon and its response. */
interface Exchange {
  readonly homeRequest: HomeRequest;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** The entry waits for `100 Continue` before it sends the body. */
  readonly expectsContinue: boolean;
  /** The entry is in this region. */
  readonly isSameRegion: boolean;
}

/** Dependencies of `HomeServer`. */
export interface HomeServerSettings {
  readonly home: Pick<Home, 'run'>;
  /** Current configuration version. */
  readonly version: () => number;
  /** Current record of this daemon. */
  readonly record: () => DaemonRecord;
  /** Recent target conditions, sent to daemons of this region. */
  readonly conditions: () => readonly ConditionReport[];
  /** Called with the target conditions that an entry sent. */
  readonly onConditions: (reports: readonly ConditionReport[]) => void;
  /** Called with the configuration version by which an entry routed. */
  readonly onVersion: (version: number) => void;
  readonly log: LogSink;
}

/** HTTP/1.1 server for requests that other daemons forward to this home. */
export class HomeServer implements Disposable {
  private readonly server: Server;

  private inFlight = 0;

  public constructor(private readonly settings: HomeServerSettings) {
    const options = { keepAliveTimeout, maxHeaderSize, requestTimeout: 0, headersTimeout: 0 };
    this.server = createServer(options, (request, response) => {
      this.handle(request, response, false);
    });
    // The entry sends the body of a non-idempotent request only after `100 Continue`.
    this.server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
      this.handle(request, response, true);
    });
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

  private handle(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): void {
    const pairs = pairHeaders(request.rawHeaders);
    const metadata = decodeRequestMetadata(findHeader(pairs, requestMetadataHeader));
    response.sendDate = false;
    response.on('error', () => response.destroy());
    this.inFlight += 1;
    response.once('close', () => {
      this.inFlight -= 1;
    });
    if (metadata === undefined) {
      response.writeHead(badRequestStatus, { 'content-length': 0 });
      response.end();
      return;
    }
    // Tells the entry at once that this daemon is alive, even if the response takes seconds.
    response.writeProcessing();
    this.settings.onVersion(metadata.version);
    const encodedConditions = findHeader(pairs, conditionsHeader);
    this.settings.onConditions(decodeConditions(encodedConditions));
    const homeRequest: HomeRequest = {
      ...metadata,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: pairs.filter(([name]) => !internalHeaders.has(name.toLowerCase())),
    };
    // Only daemons of the same region exchange target conditions.
    const exchange = {
      homeRequest,
      request,
      response,
      expectsContinue,
      isSameRegion: encodedConditions !== undefined,
    };
    this.serve(exchange).catch((error: unknown) => this.sendFailure(exchange, error));
  }

  private async serve(exchange: Exchange): Promise<void> {
    const { homeRequest, request, response, expectsContinue } = exchange;
    const abort = new AbortController();
    response.once('close', () => abort.abort());
    const receiveBody = (): Promise<Buffer> => {
      if (expectsContinue) response.writeContinue();
      return buffer(request);
    };
    const answer = await this.settings.home.run(homeRequest, receiveBody, abort.signal);
    const headers = [...answer.headers.flatMap((pair) => [...pair])];
    headers.push(...Object.entries(this.daemonStateHeaders(exchange)).flat());
    if (answer.condition !== undefined) {
      headers.push(conditionHeader, JSON.stringify(answer.condition));
    }
    response.writeHead(answer.status, headers);
    pipeline(answer.body, response, (error) => {
      // A truncated body resets the connection, so that it is never mistaken for a complete one.
      if (error) response.destroy();
    });
  }

  /** Headers with the state of this daemon, sent in every response. */
  private daemonStateHeaders({
    homeRequest,
    isSameRegion,
  }: Exchange): Readonly<Record<string, string>> {
    const { version, record, conditions } = this.settings;
    const headers: Record<string, string> = { [versionHeader]: String(version()) };
    const current = record();
    if (isSameRegion) headers[conditionsHeader] = encodeConditions(conditions());
    if (recordVersion(current) !== homeRequest.recordVersion)
      headers[recordHeader] = encodeRecord(current);
    return headers;
  }

  private sendFailure(exchange: Exchange, error: unknown): void {
    const { homeRequest, request, response } = exchange;
    if (response.headersSent || response.destroyed) {
      response.destroy();
      return;
    }
    request.resume();
    const headers: Record<string, string | number> = {
      'content-length': 0,
      ...this.daemonStateHeaders(exchange),
    };
    if (error instanceof HomeRefusalError) {
      const { condition, retryAfter, hasReachedTarget } = error.details;
      headers[refusalHeader] = error.reason;
      if (condition !== undefined) headers[conditionHeader] = JSON.stringify(condition);
      if (retryAfter !== undefined) headers[retryAfterHeader] = Math.round(retryAfter);
      if (hasReachedTarget === true) headers[targetReachedHeader] = 1;
      response.writeHead(refusalStatus, headers);
    } else {
      this.settings.log.write({
        level: 'info',
        kind: 'route',
        message: String(error),
        fields: { step: 'home.answer', request: homeRequest.id, target: homeRequest.target },
      });
      headers[outcomeUnknownHeader] = 1;
      response.writeHead(outcomeUnknownStatus, headers);
    }
    response.end();
  }
}
