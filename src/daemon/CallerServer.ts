import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import { pipeline } from 'node:stream/promises';
import { once } from 'node:events';
import * as E from 'fp-ts/lib/Either.js';
import * as O from 'fp-ts/lib/Option.js';
import {
  brandAs,
  FleetError,
  NotRunError,
  type AccountId,
  type Clock,
  type Disposable,
  type LogSink,
  type OperationKey,
  type RequestContext,
  type RequestId,
  type RouteDocument,
} from '../api/index.js';
import { isIdempotent, type RouteTable } from '../common/routing/RouteTable.js';
import { listen } from '../node/listen.js';
import type { Forwarder, RoutedRequest } from './Forwarder.js';
import {
  createAnswerHeaders,
  createRequestHeaders,
  findHeader,
  pairHeaders,
  timeoutHeader,
} from './Headers.js';
import { answerConnectionErrors } from './connectionErrors.js';
import { createFingerprint } from './fingerprint.js';
import { PipelinedConnections } from './PipelinedConnections.js';
import type { PipelinedRequest } from './PipelinedRequest.js';
import { checkRequest, maxBufferedBodyBytes, type CheckedRequest } from './RequestCheck.js';
import { createResumedBody } from './ResumedBody.js';
import { sendFailure, sendText } from './Responses.js';
import { runGuarded } from './runGuarded.js';
import { readLimited } from './streams.js';
import type { ForwardAnswer, HeaderPair } from './Types.js';

const maxHeaderBytes = 16 * 1024;
const headersTimeoutMs = 10_000;
/** Idle time after which a connection is closed. */
const keepAliveTimeoutMs = 15_000;
/** Time for which a stopping daemon keeps idle connections, so that requests already on their way are served. */
const idleCloseDelayMs = 2_000;
/** Interval at which a drain checks for requests in flight. */
const drainPollIntervalMs = 50;
const accountHeader = 'limpettrack-account';
const keyHeader = 'idempotency-key';
const internalPrefix = '/.limpettrack/';
/** Methods of internal requests that change nothing. */
const safeMethods: ReadonlySet<string> = new Set(['GET', 'HEAD']);

/** Runs a non-idempotent request and returns the answer. */
export type OperationRunner = (
  request: RoutedRequest & { readonly body?: Buffer },
  signal: AbortSignal,
) => Promise<ForwardAnswer>;

/** Handles a path below `/.limpettrack/`; false if it does not know the path. */
export type InternalHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  path: string,
) => Promise<boolean>;

/** One finished request, for metrics. */
export interface FinishedRequest {
  readonly context: RequestContext;
  readonly status: number;
  /** Milliseconds from the head of the request to the end of the answer. */
  readonly duration: number;
  readonly error?: unknown;
}

/** Dependencies of the server for callers. */
export interface CallerServerSettings {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly routes: () => RouteTable;
  readonly forwarder: Pick<Forwarder, 'forward'>;
  readonly runOperation: OperationRunner;
  readonly internal: InternalHandler;
  /** Throws `NotRunError` if a limit of the service, the class or the account is reached. */
  readonly checkLimits: (context: RequestContext) => Promise<void>;
  /** Throws `NotRunError` if the request was in flight when two targets crashed. */
  readonly checkQuarantine: (context: RequestContext) => void;
  /** Timeout in milliseconds for a route. */
  readonly timeoutOf: (route: RouteDocument) => number;
  readonly createId: () => RequestId;
  readonly onFinished: (request: FinishedRequest) => void;
}

/** HTTP/1.1 server for callers. */
export class CallerServer implements Disposable {
  private readonly server: Server;

  private readonly connections = new PipelinedConnections();

  /** Requests in flight. */
  private readonly requests = new Set<PipelinedRequest>();

  private isDraining = false;

  public constructor(private readonly settings: CallerServerSettings) {
    this.server = createServer(
      {
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: headersTimeoutMs,
        keepAliveTimeout: keepAliveTimeoutMs,
        requestTimeout: 0,
        insecureHTTPParser: false,
        // RequestCheck refuses a request without a host in the order of its connection.
        requireHostHeader: false,
      },
      (request, response) => {
        const handle = (): Promise<void> => this.handle(request, response);
        void runGuarded(response, settings.log, 'entry.handle', handle);
      },
    );
    // No limit here: node:http silently drops excess headers; RequestCheck refuses the request instead.
    this.server.maxHeadersCount = 0;
    answerConnectionErrors(this.server, { headers: ['limpettrack-outcome: not-run'] });
  }

  /** Binds to `host:port` and returns the port. */
  public listen(address: string): Promise<number> {
    return listen(this.server, address);
  }

  /** Fails readiness and closes each connection after the answers to the requests that it has sent. */
  public announceStop(): void {
    this.isDraining = true;
    this.connections.announceStop();
  }

  /** Stops accepting and resolves when every request in flight has been answered. */
  public async drain(): Promise<void> {
    this.announceStop();
    const closed = once(this.server, 'close');
    // Server.close of node:http would also close the idle connections at once.
    NetServer.prototype.close.call(this.server);
    await Promise.race([closed, this.sleep(idleCloseDelayMs)]);
    while (this.requests.size > 0) await this.sleep(drainPollIntervalMs);
    // What is left has no complete request, and its caller may keep it open without end.
    this.server.closeAllConnections();
  }

  public dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private sleep(delay: number): Promise<void> {
    return new Promise((resolve) => {
      this.settings.clock.after(delay, resolve);
    });
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const pipelined = this.connections.open(request, response);
    if (pipelined.isDropped) return;
    this.requests.add(pipelined);
    pipelined.signal.addEventListener('abort', () => this.requests.delete(pipelined));
    const headers = pairHeaders(request.rawHeaders);
    const checked = checkRequest(request, headers);
    if (E.isLeft(checked)) {
      pipelined.closeConnection();
      sendText(response, checked.left.status, checked.left.message, {
        'limpettrack-outcome': 'not-run',
      });
      return;
    }
    try {
      if (checked.right.path.startsWith(internalPrefix)) {
        await this.handleInternal(pipelined, request, checked.right);
      } else {
        await this.handleProxied(pipelined, request, headers, checked.right);
      }
    } catch (error) {
      if (!pipelined.isDropped) sendFailure(response, error);
    }
  }

  private async handleInternal(
    pipelined: PipelinedRequest,
    request: IncomingMessage,
    { path }: CheckedRequest,
  ): Promise<void> {
    const { response } = pipelined;
    if (path === `${internalPrefix}ready`) {
      sendText(response, this.isDraining ? 503 : 200, this.isDraining ? 'stopping' : 'ready');
      return;
    }
    if (!(await pipelined.waitForTurn(safeMethods.has(request.method ?? '')))) return;
    if (!(await this.settings.internal(request, response, path))) {
      sendText(response, 404, 'no such path');
    }
  }

  private async handleProxied(
    pipelined: PipelinedRequest,
    request: IncomingMessage,
    headers: readonly HeaderPair[],
    checked: CheckedRequest,
  ): Promise<void> {
    const started = this.settings.clock.elapsed();
    const { response } = pipelined;
    const context = this.createContext(request, headers, checked);
    if (!(await pipelined.waitForTurn(context.isIdempotent))) return;
    const waited = this.settings.clock.elapsed() - started;
    let failure: unknown;
    try {
      if (waited >= context.timeout) {
        const message = 'the responses to earlier requests on the connection took too long';
        throw new NotRunError('deadline', message, { step: 'entry.pipeline' });
      }
      const timely = { ...context, timeout: context.timeout - waited };
      await this.settings.checkLimits(timely);
      const routed = await this.createRoutedRequest(request, headers, checked, timely);
      this.settings.checkQuarantine(routed.context);
      await this.answer(pipelined, routed);
    } catch (error) {
      failure = error;
      if (!pipelined.isDropped) this.sendError(pipelined, context, error);
    }
    const duration = this.settings.clock.elapsed() - started;
    this.settings.onFinished({ context, status: response.statusCode, duration, error: failure });
  }

  private createContext(
    request: IncomingMessage,
    headers: readonly HeaderPair[],
    { host, path }: CheckedRequest,
  ): RequestContext {
    const method = request.method ?? 'GET';
    const query = { method, host: host.replace(/:\d+$/, ''), path: path.split('?', 1)[0] ?? '/' };
    const route = O.toUndefined(this.settings.routes().find(query));
    if (route === undefined) {
      throw new NotRunError('no-route', 'no route for this host and path', { step: 'entry.route' });
    }
    const account = findHeader(headers, accountHeader);
    const key = findHeader(headers, keyHeader);
    return {
      id: this.settings.createId(),
      service: route.service,
      route: route.name,
      workClass: route.workClass,
      isIdempotent: isIdempotent(route, method),
      account: account === undefined ? undefined : brandAs<AccountId>(account),
      key: key === undefined ? undefined : brandAs<OperationKey>(key),
      timeout: this.timeoutFor(route, headers),
    };
  }

  private timeoutFor(route: RouteDocument, headers: readonly HeaderPair[]): number {
    const longest = this.settings.timeoutOf(route);
    const wanted = Number(findHeader(headers, timeoutHeader) ?? longest);
    return Number.isFinite(wanted) && wanted > 0 ? Math.min(wanted, longest) : longest;
  }

  private async createRoutedRequest(
    request: IncomingMessage,
    headers: readonly HeaderPair[],
    { host, path, length }: CheckedRequest,
    context: RequestContext,
  ): Promise<RoutedRequest> {
    const remote = request.socket.remoteAddress ?? 'unknown';
    const forwarded = createRequestHeaders(headers, remote, host, context.id);
    const method = request.method ?? 'GET';
    const create = (content?: Buffer): RoutedRequest => {
      const fingerprint = createFingerprint(method, path, content);
      return { context: { ...context, fingerprint }, method, path, headers: forwarded };
    };
    if (length === 0) return create();
    const mustBuffer =
      length === undefined || !context.isIdempotent || length <= maxBufferedBodyBytes;
    if (!mustBuffer) return { ...create(), body: request };
    const body = await this.receiveBody(request, context.timeout);
    const withoutLength = forwarded.filter(([name]) => name.toLowerCase() !== 'content-length');
    return {
      ...create(body),
      headers: [...withoutLength, ['content-length', String(body.length)]],
      body,
    };
  }

  /** Buffers the body; throws `NotRunError` if it is not complete within `timeout` milliseconds. */
  private async receiveBody(request: IncomingMessage, timeout: number): Promise<Buffer> {
    let timer: Disposable | undefined;
    const isLate = new Promise<never>((_resolve, reject) => {
      timer = this.settings.clock.after(timeout, () => {
        const message = 'the body did not arrive within the timeout';
        reject(new NotRunError('deadline', message, { step: 'entry.body' }));
      });
    });
    try {
      return await Promise.race([readLimited(request, maxBufferedBodyBytes), isLate]);
    } finally {
      timer?.dispose();
    }
  }

  private async answer(
    { response, signal }: PipelinedRequest,
    routed: RoutedRequest,
  ): Promise<void> {
    const { forwarder, runOperation } = this.settings;
    const { isIdempotent: canRepeat } = routed.context;
    const answer = canRepeat
      ? await forwarder.forward(routed, signal)
      : await runOperation(routed as Parameters<OperationRunner>[0], signal);
    const resume = (extra: readonly HeaderPair[]): Promise<ForwardAnswer> =>
      forwarder.forward({ ...routed, headers: [...routed.headers, ...extra] }, signal);
    const body = routed.method === 'GET' ? createResumedBody(answer, resume) : answer.body;
    response.writeHead(
      answer.status,
      createAnswerHeaders(answer.headers).flatMap(([name, value]) => [name, value]),
    );
    // An error in the body destroys the caller's connection, so that it is not mistaken for a complete answer.
    await pipeline(body, response);
  }

  private sendError(pipelined: PipelinedRequest, context: RequestContext, error: unknown): void {
    const { response } = pipelined;
    if (error instanceof RangeError) {
      pipelined.closeConnection();
      sendText(response, 413, error.message, { 'limpettrack-outcome': 'not-run' });
      return;
    }
    const outcome = sendFailure(response, error);
    const { id, service, route, workClass } = context;
    const origin = error instanceof FleetError ? { step: error.step, peer: error.peer } : {};
    this.settings.log.write({
      level: 'warn',
      kind: 'refusal',
      message: error instanceof Error ? error.message : String(error),
      fields: { request: id, service, route, class: workClass, outcome, ...origin },
    });
  }
}
