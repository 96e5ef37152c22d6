/** Answers to requests that the HTTP parser rejects. */
import type { Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

const parserErrors: Readonly<Record<string, readonly [number, string]>> = {
  HPE_HEADER_OVERFLOW: [431, 'Request Header Fields Too Large'],
  ERR_HTTP_REQUEST_TIMEOUT: [408, 'Request Timeout'],
};
const badRequest = [400, 'Bad Request'] as const;
const methodNotAllowed = [405, 'Method Not Allowed'] as const;

/** Options of the answers. */
export interface ConnectionErrorOptions {
  /** Header lines that each answer carries, without line ends. */
  readonly headers?: readonly string[];
}

/** Answers malformed requests and `CONNECT` once, and closes their connections. */
export function answerConnectionErrors(
  server: Server,
  { headers = [] }: ConnectionErrorOptions = {},
): void {
  /** Last response of each connection that is not sent yet. */
  const lastResponses = new WeakMap<Duplex, ServerResponse>();
  const refused = new WeakSet<Duplex>();
  const refuse = (socket: Duplex, [status, text]: readonly [number, string]): void => {
    // The last response has closed the connection already.
    if (!socket.writable) return;
    const lines = [`HTTP/1.1 ${status} ${text}`, 'connection: close', 'content-length: 0'];
    socket.end(`${[...lines, ...headers].join('\r\n')}\r\n\r\n`);
  };
  /** Refuses what was sent behind earlier requests once these have their responses, and only once. */
  const refuseInOrder = (socket: Duplex, answer: readonly [number, string]): void => {
    if (refused.has(socket)) return;
    refused.add(socket);
    const last = lastResponses.get(socket);
    if (last === undefined) refuse(socket, answer);
    else last.once('finish', () => refuse(socket, answer));
  };
  server.on('request', ({ socket }, response) => {
    lastResponses.set(socket, response);
    response.once('finish', () => {
      if (lastResponses.get(socket) === response) lastResponses.delete(socket);
    });
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    if (error.code === 'ECONNRESET') socket.destroy();
    else refuseInOrder(socket, parserErrors[error.code ?? ''] ?? badRequest);
  });
  server.on('connect', (_request, socket) => {
    // node:http has removed its own listener; without one, a reset would end the process.
    socket.on('error', () => socket.destroy());
    refuseInOrder(socket, methodNotAllowed);
  });
}
