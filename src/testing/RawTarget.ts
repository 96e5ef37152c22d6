import { createServer, type Server, type Socket } from 'node:net';
import type { Disposable } from '../api/index.js';
import { listen } from '../node/listen.js';

/** Request as received by the target. */
export interface RawRequest {
  /** Request line and headers. */
  readonly head: string;
  readonly body: string;
  /** Value of a header, matched case-insensitively; empty if it is missing. */
  header(name: string): string;
}

/** Handles one request by writing to its connection. */
export type RawRequestHandler = (socket: Socket, request: RawRequest) => void;

const headerTerminator = '\r\n\r\n';

function parseRequest(text: string): { request: RawRequest; rest: string } | undefined {
  const end = text.indexOf(headerTerminator);
  if (end < 0) return undefined;
  const head = text.slice(0, end);
  const header = (name: string): string =>
    new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1]?.trim() ?? '';
  const length = Number(header('content-length') || 0);
  const bodyStart = end + headerTerminator.length;
  if (text.length < bodyStart + length) return undefined;
  const body = text.slice(bodyStart, bodyStart + length);
  return { request: { head, body, header }, rest: text.slice(bodyStart + length) };
}

/** Target on raw sockets, so that tests control every byte of its responses. */
export class RawTarget implements Disposable {
  /** Requests in order of arrival. */
  public readonly requests: RawRequest[] = [];

  /** Number of connections that were closed. */
  public closedConnections = 0;

  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  public constructor(public handler: RawRequestHandler) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Listens on a free loopback port and returns `host:port`. */
  public async listen(): Promise<string> {
    return `127.0.0.1:${await listen(this.server, '127.0.0.1:0')}`;
  }

  public dispose(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private accept(socket: Socket): void {
    let text = '';
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => {});
    socket.on('close', () => {
      this.sockets.delete(socket);
      this.closedConnections += 1;
    });
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      for (let parsed = parseRequest(text); parsed !== undefined; parsed = parseRequest(text)) {
        text = parsed.rest;
        this.requests.push(parsed.request);
        this.handler(socket, parsed.request);
      }
    });
  }
}
