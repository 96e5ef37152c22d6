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

/** Milliseconds for which an idle connection of another daemon is kept; entries drop theirs sooner. */
const keepAliveTimeout = 60_000;
/** Bytes of the headers of one request, the order included. */
const maxHeaderSize = 96 * 1024;
const refusedStatus = 503;
const unknownStatus = 502;
const badStatus = 400;

/** Headers between two daemons only. */
const internalHeaders: ReadonlySet<string> = new Set([
  requestMetadataHeader,
  conditionsHeader,
  'expect',
  'connection',
  'transfer-encoding',
  'keep-alive',
]);

/** One order with its answer. */
interface Exchange {
  readonly order: HomeRequest;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** The entry waits for `100 Continue`. */
  readonly isReserved: boolean;
  /** The entry is in this region. */
  readonly isNear: boolean;
}

/** What the server depends on. */
export interface HomeServerSettings {
  readonly home: Pick<Home, 'run'>;
  /** Configuration version in force here. */
  readonly version: () => number;
  /** Own record as it stands now. */
  readonly record: () => DaemonRecord;
  /** Conditions of targets for daemons of this region. */
  readonly conditions: () => readonly ConditionReport[];
  /** Told the conditions that an entry knows. */
  readonly onConditions: (news: readonly ConditionReport[]) => void;
  /** Told the version by which an entry routed. */
  readonly onVersion: (version: number) => void;
  readonly log: LogSink;
}

/** Takes the orders of other daemons over HTTP/1.1. */
export class HomeServer implements Disposable {
  private readonly server: Server;

  public constructor(private readonly settings: HomeServerSettings) {
    const options = { keepAliveTimeout, maxHeaderSize, requestTimeout: 0, headersTimeout: 0 };
    this.server = createServer(options, (request, response) => {
      this.handle(request, response, false);
    });
    // The entry waits for `100 Continue` before it sends what cannot be repeated.
    this.server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
      this.handle(request, response, true);
    });
    this.server.on('clientError', (_error, socket) => socket.destroy());
  }

  /** Binds to `host:port` and returns the port. */
  public listen(address: string): Promise<number> {
    return listen(this.server, address);
  }

  public dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private handle(request: IncomingMessage, response: ServerResponse, isReserved: boolean): void {
    const pairs = pairHeaders(request.rawHeaders);
    const head = decodeRequestMetadata(findHeader(pairs, requestMetadataHeader));
    response.sendDate = false;
    response.on('error', () => response.destroy());
    if (head === undefined) {
      response.writeHead(badStatus, { 'content-length': 0 });
      response.end();
      return;
    }
    // The entry learns at once that this daemon lives, even if the answer takes seconds.
    response.writeProcessing();
    this.settings.onVersion(head.version);
    const news = findHeader(pairs, conditionsHeader);
    this.settings.onConditions(decodeConditions(news));
    const order: HomeRequest = {
      ...head,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: pairs.filter(([name]) => !internalHeaders.has(name.toLowerCase())),
    };
    // An entry of this region tells news and gets some.
    const exchange = { order, request, response, isReserved, isNear: news !== undefined };
    this.serve(exchange).catch((error: unknown) => this.fail(exchange, error));
  }

  private async serve(exchange: Exchange): Promise<void> {
    const { order, request, response, isReserved } = exchange;
    const abort = new AbortController();
    response.once('close', () => abort.abort());
    const takeBody = (): Promise<Buffer> => {
      if (isReserved) response.writeContinue();
      return buffer(request);
    };
    const answer = await this.settings.home.run(order, takeBody, abort.signal);
    const headers = [...answer.headers.flatMap((pair) => [...pair])];
    headers.push(...Object.entries(this.ownHeaders(exchange)).flat());
    if (answer.condition !== undefined) {
      headers.push(conditionHeader, JSON.stringify(answer.condition));
    }
    response.writeHead(answer.status, headers);
    pipeline(answer.body, response, (error) => {
      // A cut body breaks the connection, so that it is never taken for a whole one.
      if (error) response.destroy();
    });
  }

  /** What every answer tells of this daemon. */
  private ownHeaders({ order, isNear }: Exchange): Readonly<Record<string, string>> {
    const { version, record, conditions: news } = this.settings;
    const headers: Record<string, string> = { [versionHeader]: String(version()) };
    const own = record();
    if (isNear) headers[conditionsHeader] = encodeConditions(news());
    if (recordVersion(own) !== order.recordVersion) headers[recordHeader] = encodeRecord(own);
    return headers;
  }

  private fail(exchange: Exchange, error: unknown): void {
    const { order, request, response } = exchange;
    if (response.headersSent || response.destroyed) {
      response.destroy();
      return;
    }
    request.resume();
    const headers: Record<string, string | number> = {
      'content-length': 0,
      ...this.ownHeaders(exchange),
    };
    if (error instanceof HomeRefusalError) {
      const { condition, retryAfter, hasReachedTarget } = error.details;
      headers[refusalHeader] = error.reason;
      if (condition !== undefined) headers[conditionHeader] = JSON.stringify(condition);
      if (retryAfter !== undefined) headers[retryAfterHeader] = Math.round(retryAfter);
      if (hasReachedTarget === true) headers[targetReachedHeader] = 1;
      response.writeHead(refusedStatus, headers);
    } else {
      this.settings.log.write({
        level: 'info',
        kind: 'route',
        message: String(error),
        fields: { step: 'home.answer', request: order.id, target: order.target },
      });
      headers[outcomeUnknownHeader] = 1;
      response.writeHead(unknownStatus, headers);
    }
    response.end();
  }
}
