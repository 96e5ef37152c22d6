import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { once } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom, type RandomSource } from '../api/index.js';
import { listen } from '../node/listen.js';
import { noFault, type FaultSettings, type TargetSettings } from './Types.js';

const coldFactor = 2;
const requestIdHeader = 'limpettrack-request-id';
/** A request with this header ends the process while it runs. */
const crashHeader = 'limpettrack-crash';
/** A target sheds load when this many requests wait for each slot. */
const shedFactor = 4;
const maxLoggedStarts = 1_000_000;

/** Start of a non-idempotent request, kept for history checks. */
interface StartRecord {
  readonly key: string;
  readonly id: string;
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** Body of a given size whose content is fixed by the path, so that a caller can check it. */
export function createContent(path: string, size: number): Buffer {
  const line = Buffer.from(`${path}\n`);
  return Buffer.alloc(size, line);
}

/**
 * Fake target. `GET PATH?size=BYTES&work=MS` answers with content that is fixed by the path, `POST`
 * counts a start and echoes the body, `PUT /.fault` sets faults, `GET /.starts` lists the starts,
 * `GET /.count` tells how many requests arrived.
 */
export class TargetServer {
  private running = 0;

  private workCount = 0;

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

  /** Starts to listen and returns the port. */
  public listen(): Promise<number> {
    return listen(this.server, this.settings.listen);
  }

  /** Ends at once and cuts every connection, as a crash of the process does. */
  public kill(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Stops accepting and waits for the running requests. */
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
    else if (url.pathname === '/.count') this.sendJson(response, 200, this.workCount);
    else if (url.pathname === '/.health') this.handleHealth(response);
    else await this.handleWork(request, response, url);
  }

  private async handleFault(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    this.fault = { ...noFault, ...(JSON.parse(body.toString()) as Partial<FaultSettings>) };
    this.sendJson(response, 200, this.fault);
  }

  private handleHealth(response: ServerResponse): void {
    const { isHalfOpen, slowness, errorShare, isHealthLying } = this.activeFault();
    const isWell = !isHalfOpen && slowness === 1 && errorShare === 0;
    const isOk = isWell !== isHealthLying;
    this.sendJson(response, isOk ? 200 : 503, { ok: isOk, running: this.running });
  }

  private activeFault(): FaultSettings {
    const { flapPeriod } = this.fault;
    if (flapPeriod === 0) return this.fault;
    const phase = Math.floor((Date.now() - this.startedAt) / flapPeriod);
    return phase % 2 === 0 ? this.fault : noFault;
  }

  private async handleWork(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    this.workCount += 1;
    const body = await readBody(request);
    const fault = this.activeFault();
    if (fault.isHalfOpen) return;
    if (this.queue.length >= this.settings.slots * shedFactor) {
      // The request was not started, and says so, so that it may be sent elsewhere.
      response.setHeader('limpettrack-outcome', 'not-run');
      this.sendJson(response, 503, { error: 'overloaded' });
      return;
    }
    await this.acquire();
    try {
      this.recordStart(request);
      if (request.headers[crashHeader] !== undefined) this.crash();
      await delay(this.workOf(url, fault));
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
    if (this.starts.length < maxLoggedStarts) this.starts.push({ key, id });
  }

  private workOf(url: URL, fault: FaultSettings): number {
    const work = Number(url.searchParams.get('work') ?? this.settings.serviceTime);
    const isCold = Date.now() - this.startedAt < this.settings.coldStart;
    const isStraggler = this.random() < fault.stragglerShare;
    const factor = (isCold ? coldFactor : 1) * (isStraggler ? fault.stragglerFactor : 1);
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
    const echoed = this.random() < fault.crossedShare ? this.lastRequestId : id;
    this.lastRequestId = id;
    if (this.random() < fault.lostAnswerShare) {
      response.destroy();
      return;
    }
    const isError = this.random() < fault.errorShare;
    const size = Number(url.searchParams.get('size') ?? 0);
    const isRead = request.method === 'GET' || request.method === 'HEAD';
    const content = isRead && size > 0 ? createContent(url.pathname, size) : body;
    const isCut = this.random() < fault.truncateShare;
    TargetServer.send(response, isError ? 500 : 200, echoed, this.settings.id, content, isCut);
  }

  private static send(
    response: ServerResponse,
    status: number,
    echoedId: string,
    target: string,
    content: Buffer,
    isCut: boolean,
  ): void {
    response.writeHead(status, {
      'content-type': 'application/octet-stream',
      'content-length': content.length,
      'accept-ranges': 'none',
      [requestIdHeader]: echoedId,
      'x-target': target,
    });
    if (!isCut) {
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
