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
  // After a request was refused because of its head, the parser can also reject the bytes that follow it.
  const lastResponses = new WeakMap<Duplex, ServerResponse>();
  const refuse = (socket: Duplex, [status, text]: readonly [number, string]): void => {
    const lines = [`HTTP/1.1 ${status} ${text}`, 'connection: close', 'content-length: 0'];
    socket.end(`${[...lines, ...headers].join('\r\n')}\r\n\r\n`);
  };
  server.on('request', (request, response) => lastResponses.set(request.socket, response));
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    const response = lastResponses.get(socket);
    const isClosing =
      response?.writableEnded === true && response.getHeader('connection') === 'close';
    if (!socket.writable || error.code === 'ECONNRESET') socket.destroy();
    else if (isClosing) socket.end();
    else refuse(socket, parserErrors[error.code ?? ''] ?? badRequest);
  });
  server.on('connect', (_request, socket) => refuse(socket, methodNotAllowed));
}
