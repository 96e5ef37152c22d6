import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import * as E from 'fp-ts/lib/Either.js';
import {
  brandAs,
  FleetError,
  NotRunError,
  type Clock,
  type Disposable,
  type LogSink,
  type RandomSource,
  type RequestId,
} from '../api/index.js';
import type { Dispatcher } from '../common/dispatch/Dispatcher.js';
import {
  DeadlineError,
  HomeRefusalError,
  type IncomingCall,
  type TargetAnswer,
} from '../common/dispatch/Types.js';
import { chooseService, type TrafficRoute } from '../common/routing/TrafficTypes.js';
import { answerConnectionErrors } from '../daemon/connectionErrors.js';
import { dropHopByHop, findHeader, pairHeaders } from '../daemon/Headers.js';
import { PipelinedConnections } from '../daemon/PipelinedConnections.js';
import type { PipelinedRequest } from '../daemon/PipelinedRequest.js';
import { checkRequest, type CheckedRequest } from '../daemon/RequestCheck.js';
import { sendText } from '../daemon/Responses.js';
import { runGuarded } from '../daemon/runGuarded.js';
import { readLimited } from '../daemon/streams.js';
import { listen } from '../node/listen.js';
import type { TrafficState } from './TrafficState.js';
import type { HeaderNames } from './Types.js';

/** Maximum bytes of a request head that the HTTP parser accepts. */
const maxHeaderSize = 64 * 1024;
/** Milliseconds of `Retry-After` if the refusal does not suggest a delay. */
const defaultRetryAfter = 500;
/** Bounds of `Retry-After` in milliseconds. */
const retryAfterBounds = { min: 100, max: 5_000 } as const;
const millisecondsPerSecond = 1_000;

/** A completed request, for metrics. */
export interface CompletedRequest {
  readonly service: string;
  readonly route: string;
  readonly status: number;
  /** Milliseconds. */
  readonly duration: number;
}

/** Dependencies of `CallerServer`. */
export interface CallerServerSettings {
  readonly names: HeaderNames;
  /** Service of this VM, sent to targets as the calling service. */
  readonly service: string;
  readonly traffic: TrafficState;
  readonly dispatcher: Pick<Dispatcher, 'dispatch'>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly onEnd: (end: CompletedRequest) => void;
}

/** A request without a complete response. */
interface OpenRequest {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly pipelined: PipelinedRequest;
  /** Time at which its head arrived. */
  readonly started: number;
  route: TrafficRoute | undefined;
}

/** Part of its handling that an open request has reached. */
function phaseOf(request: IncomingMessage, response: ServerResponse): string {
  if (response.headersSent) return 'response';
  return request.complete ? 'dispatch' : 'body';
}

/** HTTP server for callers on this VM. */
export class CallerServer implements Disposable {
  private readonly server: Server;

  private readonly connections = new PipelinedConnections();

  private isDraining = false;

  private readonly openRequests = new Map<ServerResponse, OpenRequest>();

  public constructor(private readonly settings: CallerServerSettings) {
    // Without a host, checkRequest refuses a request in the order of its connection.
    const options = { maxHeaderSize, requestTimeout: 0, requireHostHeader: false };
    this.server = createServer(options, (request, response) => {
      void runGuarded(response, settings.log, 'entry.handle', () => this.handle(request, response));
    });
    // The parser would silently drop headers above its count limit; checkRequest rejects them instead.
    this.server.maxHeadersCount = 0;
    answerConnectionErrors(this.server);
    settings.traffic.onChange(() => this.applyLimits());
    this.applyLimits();
  }

  /** Requests without a complete response. */
  public get load(): number {
    return this.openRequests.size;
  }

  /** Binds to `host:port` and returns the port. */
  public listen(address: string): Promise<number> {
    return listen(this.server, address);
  }

  /** Closes each connection after the responses to the requests that it has sent. */
  public disableKeepAlive(): void {
    this.connections.announceStop();
  }

  /** Stops accepting connections, closes idle ones, and refuses the requests that still come on others. */
  public drain(): void {
    this.disableKeepAlive();
    this.isDraining = true;
    this.server.close();
  }

  /** Closes all connections and logs the requests that get no complete response. */
  public dispose(): void {
    this.openRequests.forEach((open, response) => this.logUnanswered(open, response));
    this.openRequests.clear();
    this.server.close();
    this.server.closeAllConnections();
  }

  private applyLimits(): void {
    const { idleTimeout, headerTimeout } = this.settings.traffic.limits;
    this.server.keepAliveTimeout = idleTimeout;
    this.server.headersTimeout = headerTimeout;
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const started = this.settings.clock.elapsed();
    const pairs = pairHeaders(request.rawHeaders);
    const id = findHeader(pairs, this.settings.names.requestId) ?? '';
    response.sendDate = false;
    const pipelined = this.connections.open(request, response);
    if (pipelined.isDropped) return;
    const open: OpenRequest = { id, request, pipelined, started, route: undefined };
    this.openRequests.set(response, open);
    pipelined.signal.addEventListener('abort', () => this.openRequests.delete(response));
    let service = '';
    try {
      const checked = checkRequest(request, pairs);
      if (E.isLeft(checked)) {
        pipelined.closeConnection();
        sendText(response, checked.left.status, checked.left.message);
        return;
      }
      const route = this.findRoute(checked.right);
      open.route = route;
      if (!(await pipelined.waitForTurn(route.isIdempotent))) return;
      service = chooseService(route, this.settings.random) ?? '';
      await this.serve(open, response, { pairs, route, service, ...checked.right });
    } catch (error) {
      this.sendFailure(response, open, error);
    } finally {
      this.settings.onEnd({
        service,
        route: open.route?.name ?? '',
        status: response.statusCode,
        duration: this.settings.clock.elapsed() - started,
      });
    }
  }

  private findRoute({ host, path }: CheckedRequest): TrafficRoute {
    const { traffic } = this.settings;
    this.checkAccepting();
    if (!traffic.isKnown) {
      throw new NotRunError('store-away', 'no configuration is known yet', { step: 'entry.route' });
    }
    const route = traffic.find(host.replace(/:\d+$/, ''), path.split('?', 1)[0] ?? '/');
    if (route === undefined) {
      throw new NotRunError('no-route', 'no route for this host and path', { step: 'entry.route' });
    }
    return route;
  }

  /** Throws `NotRunError` once the rest of the grace period is left for the requests that were passed on before. */
  private checkAccepting(): void {
    if (this.isDraining) {
      throw new NotRunError('draining', 'this daemon is stopping', { step: 'entry.drain' });
    }
  }

  private async serve(
    { id, request, started, pipelined }: OpenRequest,
    response: ServerResponse,
    parsed: CheckedRequest & {
      readonly pairs: ReturnType<typeof pairHeaders>;
      readonly route: TrafficRoute;
      readonly service: string;
    },
  ): Promise<void> {
    const { names, dispatcher, clock } = this.settings;
    const requestedTimeout = Number(
      findHeader(parsed.pairs, names.timeout) ?? parsed.route.timeout,
    );
    const timeout =
      requestedTimeout > 0
        ? Math.min(requestedTimeout, parsed.route.timeout)
        : parsed.route.timeout;
    const timeoutAt = started + timeout;
    const body =
      parsed.length === 0 ? Buffer.alloc(0) : await this.receiveBody(request, pipelined, timeoutAt);
    // The body, or the requests before this one on its connection, may have taken until late in the grace period.
    this.checkAccepting();
    const call: IncomingCall = {
      id: brandAs<RequestId>(id),
      route: parsed.route,
      service: brandAs(parsed.service),
      method: request.method ?? 'GET',
      path: parsed.path,
      headers: this.forwardedHeaders(parsed.pairs, parsed.host),
      body,
      timeout: timeoutAt - clock.elapsed(),
    };
    const answer = await dispatcher.dispatch(call, pipelined.signal);
    if (pipelined.isDropped) return;
    await this.sendResponse(response, answer, call.method, timeoutAt);
  }

  /** Receives the body of a request; throws `NotRunError` if it is not complete by `timeoutAt`. */
  private receiveBody(
    request: IncomingMessage,
    pipelined: PipelinedRequest,
    timeoutAt: number,
  ): Promise<Buffer> {
    const { clock, traffic } = this.settings;
    return new Promise((resolve, reject) => {
      const timer = clock.after(timeoutAt - clock.elapsed(), () => {
        // The connection cannot be used again without the rest of the body.
        pipelined.closeConnection();
        const message = 'the body did not arrive within the timeout';
        reject(new NotRunError('deadline', message, { step: 'entry.body' }));
      });
      readLimited(request, traffic.limits.maxBodyBytes)
        .then(resolve, reject)
        .finally(() => timer.dispose());
    });
  }

  private forwardedHeaders(
    pairs: ReturnType<typeof pairHeaders>,
    host: string,
  ): (readonly [string, string])[] {
    const { names, service } = this.settings;
    const replaced = new Set([
      'host',
      'expect',
      'content-length',
      names.timeout,
      names.expectedTarget,
      names.callerService,
    ]);
    const kept = dropHopByHop(pairs).filter(([name]) => !replaced.has(name.toLowerCase()));
    const headers: (readonly [string, string])[] = [['host', host], ...kept];
    headers.push([names.callerService, service]);
    return headers;
  }

  private async sendResponse(
    response: ServerResponse,
    { status, headers, body }: TargetAnswer,
    method: string,
    timeoutAt: number,
  ): Promise<void> {
    const { clock } = this.settings;
    if (!Buffer.isBuffer(body)) {
      response.writeHead(
        status,
        headers.flatMap((pair) => [...pair]),
      );
      // The home of a response that is being streamed may have lost power.
      const timer = clock.after(timeoutAt - clock.elapsed(), () => {
        const origin = { step: 'entry.stream' };
        body.destroy(new DeadlineError('the response did not end within the timeout', origin));
      });
      await pipeline(body, response).finally(() => timer.dispose());
      return;
    }
    const hasNoBody = method === 'HEAD' || status === 204 || status === 304;
    const kept = headers.filter(([name]) => hasNoBody || name.toLowerCase() !== 'content-length');
    const rawHeaders = kept.flatMap((pair) => [...pair]);
    if (!hasNoBody) rawHeaders.push('content-length', String(body.length));
    response.writeHead(status, rawHeaders);
    response.end(body);
  }

  private logUnanswered(open: OpenRequest, response: ServerResponse): void {
    const { log, clock } = this.settings;
    const { id, request, started, route } = open;
    log.write({
      level: 'error',
      kind: 'refusal',
      message: 'closed the connection of a request without a complete response',
      fields: {
        step: 'entry.dispose',
        request: id,
        route: route?.name,
        phase: phaseOf(request, response),
        age: Math.round(clock.elapsed() - started),
      },
    });
  }

  private sendFailure(
    response: ServerResponse,
    { id, route, pipelined }: OpenRequest,
    error: unknown,
  ): void {
    const status = this.statusOf(error);
    const retryAfter =
      error instanceof HomeRefusalError
        ? (error.details.retryAfter ?? defaultRetryAfter)
        : defaultRetryAfter;
    const { min, max } = retryAfterBounds;
    const wait = Math.min(max, Math.max(min, retryAfter)) / millisecondsPerSecond;
    this.settings.log.write({
      level: status === 404 ? 'info' : 'warn',
      kind: 'refusal',
      message: error instanceof Error ? error.message : String(error),
      fields: {
        request: id,
        route: route?.name,
        status,
        version: this.settings.traffic.version,
        retryAfter: status === 503 ? wait : undefined,
        step: error instanceof FleetError ? error.step : undefined,
      },
    });
    if (response.headersSent) {
      response.destroy();
      return;
    }
    if (pipelined.isDropped) return;
    if (status === 413) pipelined.closeConnection();
    const headers: Record<string, string> = {};
    if (status === 503) headers['retry-after'] = wait.toFixed(2);
    const text = error instanceof NotRunError ? error.reason : 'failed';
    sendText(response, status, text, headers);
  }

  private statusOf(error: unknown): number {
    if (error instanceof NotRunError) return error.reason === 'no-route' ? 404 : 503;
    if (error instanceof RangeError) return 413;
    return error instanceof DeadlineError ? 504 : 502;
  }
}
