import { createServer, type Server, type Socket } from 'node:net';
import type { Disposable } from '../api/index.js';
import { listen } from '../node/listen.js';

/** Request as the target read it. */
export interface RawRequest {
  /** Request line and headers. */
  readonly head: string;
  readonly body: string;
  /** Value of a header in any case; empty if it is missing. */
  header(name: string): string;
}

/** Answers one request by writing to its connection. */
export type RawBehaviour = (socket: Socket, request: RawRequest) => void;

const headEnd = '\r\n\r\n';

function readRequest(text: string): { request: RawRequest; rest: string } | undefined {
  const end = text.indexOf(headEnd);
  if (end < 0) return undefined;
  const head = text.slice(0, end);
  const header = (name: string): string =>
    new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1]?.trim() ?? '';
  const length = Number(header('content-length') || 0);
  const bodyStart = end + headEnd.length;
  if (text.length < bodyStart + length) return undefined;
  const body = text.slice(bodyStart, bodyStart + length);
  return { request: { head, body, header }, rest: text.slice(bodyStart + length) };
}

/** Target over raw sockets, so that tests decide each byte of its answers. */
export class RawTarget implements Disposable {
  /** Requests in the order of their arrival. */
  public readonly requests: RawRequest[] = [];

  /** Connections that were closed while a request was unanswered. */
  public abandoned = 0;

  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  public constructor(public behaviour: RawBehaviour) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Listens on a free port of loopback and returns `host:port`. */
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
      this.abandoned += 1;
    });
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      for (let read = readRequest(text); read !== undefined; read = readRequest(text)) {
        text = read.rest;
        this.requests.push(read.request);
        this.behaviour(socket, read.request);
      }
    });
  }
}
