import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { once } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom, type RandomSource } from '../api/index.js';
import { listen } from '../node/listen.js';
import { noFault, type FaultSettings, type TargetSettings } from './Types.js';

/** Factor on the service time during the cold start. */
const coldStartSlowdown = 2;
const requestIdHeader = 'limpettrack-request-id';
/** A request with this header crashes the process that runs it. */
const crashHeader = 'limpettrack-crash';
/** Requests per slot that may be queued; further ones are rejected with 503. */
const maxQueuedPerSlot = 4;
const maxRecordedStarts = 1_000_000;

/** Start of a POST or PATCH request, recorded so that tests can find requests that ran twice. */
interface StartRecord {
  readonly key: string;
  readonly id: string;
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** Creates a body of `size` bytes that depends only on the path, so that a caller can verify it. */
export function createContent(path: string, size: number): Buffer {
  const line = Buffer.from(`${path}\n`);
  return Buffer.alloc(size, line);
}

/**
 * Fake target. `GET PATH?size=BYTES&work=MS` responds with content derived from the path, `POST` records a start
 * and echoes the body, `PUT /.fault` sets faults, `GET /.starts` lists the recorded starts, `GET /.count` returns
 * the number of requests received.
 */
export class TargetServer {
  private running = 0;

  private requestCount = 0;

  private readonly queue: (() => void)[] = [];

  private readonly starts: StartRecord[] = [];

  private readonly startedAt = Date.now();

  private readonly random: RandomSource;

  private lastRequestId = '';

  private readonly server: Server;

  public constructor(
    private readonly settings: TargetSettings,
    private readonly crash: () => void,
    private fault: FaultSettings = noFault,
  ) {
    this.random = createRandom(settings.seed);
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
  }

  /** Starts listening and returns the port. */
  public listen(): Promise<number> {
    return listen(this.server, this.settings.listen);
  }

  /** Closes the server and all connections at once, like a process crash. */
  public kill(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Stops accepting connections and waits for the running requests. */
  public async close(): Promise<void> {
    if (!this.server.listening) return;
    const closed = once(this.server, 'close');
    this.server.close();
    this.server.closeIdleConnections();
    await closed;
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://target');
    if (url.pathname === '/.fault') await this.handleFault(request, response);
    else if (url.pathname === '/.starts') this.sendJson(response, 200, this.starts);
    else if (url.pathname === '/.count') this.sendJson(response, 200, this.requestCount);
    else if (url.pathname === '/.health') this.handleHealth(response);
    else await this.serveRequest(request, response, url);
  }

  private async handleFault(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    this.fault = { ...noFault, ...(JSON.parse(body.toString()) as Partial<FaultSettings>) };
    this.sendJson(response, 200, this.fault);
  }

  private handleHealth(response: ServerResponse): void {
    const { isHalfOpen, slowness, errorShare, isHealthLying } = this.activeFault();
    const isHealthy = !isHalfOpen && slowness === 1 && errorShare === 0;
    const isOk = isHealthy !== isHealthLying;
    this.sendJson(response, isOk ? 200 : 503, { ok: isOk, running: this.running });
  }

  private activeFault(): FaultSettings {
    const { flapPeriod } = this.fault;
    if (flapPeriod === 0) return this.fault;
    const phase = Math.floor((Date.now() - this.startedAt) / flapPeriod);
    return phase % 2 === 0 ? this.fault : noFault;
  }

  private async serveRequest(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    this.requestCount += 1;
    const body = await readBody(request);
    const fault = this.activeFault();
    if (fault.isHalfOpen) return;
    if (this.queue.length >= this.settings.slots * maxQueuedPerSlot) {
      // Tells the daemon that the request did not run, so that it may be retried on another target.
      response.setHeader('limpettrack-outcome', 'not-run');
      response.setHeader(requestIdHeader, String(request.headers[requestIdHeader] ?? ''));
      this.sendJson(response, 503, { error: 'overloaded' });
      return;
    }
    await this.acquire();
    try {
      this.recordStart(request);
      if (request.headers[crashHeader] !== undefined) this.crash();
      await delay(this.sampleServiceTime(url, fault));
      if (!response.destroyed) this.respond(request, response, url, body, fault);
    } finally {
      this.release();
    }
  }

  private async acquire(): Promise<void> {
    if (this.running >= this.settings.slots) {
      await new Promise<void>((resolve) => {
        this.queue.push(resolve);
      });
    }
    this.running += 1;
  }

  private release(): void {
    this.running -= 1;
    this.queue.shift()?.();
  }

  private recordStart(request: IncomingMessage): void {
    if (request.method !== 'POST' && request.method !== 'PATCH') return;
    const key = String(request.headers['idempotency-key'] ?? '');
    const id = String(request.headers[requestIdHeader] ?? '');
    if (this.starts.length < maxRecordedStarts) this.starts.push({ key, id });
  }

  private sampleServiceTime(url: URL, fault: FaultSettings): number {
    const work = Number(url.searchParams.get('work') ?? this.settings.serviceTime);
    const isCold = Date.now() - this.startedAt < this.settings.coldStart;
    const isStraggler = this.random() < fault.stragglerShare;
    const factor = (isCold ? coldStartSlowdown : 1) * (isStraggler ? fault.stragglerFactor : 1);
    return work * factor * fault.slowness * (0.5 + this.random());
  }

  private respond(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    body: Buffer,
    fault: FaultSettings,
  ): void {
    const id = String(request.headers[requestIdHeader] ?? '');
    const echoedId = this.random() < fault.crossedShare ? this.lastRequestId : id;
    this.lastRequestId = id;
    if (this.random() < fault.lostAnswerShare) {
      response.destroy();
      return;
    }
    const isError = this.random() < fault.errorShare;
    const size = Number(url.searchParams.get('size') ?? 0);
    const isRead = request.method === 'GET' || request.method === 'HEAD';
    const content = isRead && size > 0 ? createContent(url.pathname, size) : body;
    const isTruncated = this.random() < fault.truncateShare;
    TargetServer.send(response, isError ? 500 : 200, echoedId, this.settings.id, content, isTruncated);
  }

  private static send(
    response: ServerResponse,
    status: number,
    echoedId: string,
    target: string,
    content: Buffer,
    isTruncated: boolean,
  ): void {
    response.writeHead(status, {
      'content-type': 'application/octet-stream',
      'content-length': content.length,
      'accept-ranges': 'none',
      [requestIdHeader]: echoedId,
      'x-target': target,
    });
    if (!isTruncated) {
      response.end(content);
      return;
    }
    response.write(content.subarray(0, Math.floor(content.length / 2)), () => response.destroy());
  }

  private sendJson(response: ServerResponse, status: number, value: unknown): void {
    const content = JSON.stringify(value);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(content),
    });
    response.end(content);
  }
}
