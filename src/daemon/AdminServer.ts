import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Disposable } from '../api/index.js';
import { listen } from '../node/listen.js';
import { sendText } from './Responses.js';

/** Handles one path of the admin endpoint. */
export type AdminHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  url: URL,
) => Promise<void>;

/** HTTP server for operators and target announcements. Dispatches by method and path prefix. */
export class AdminServer implements Disposable {
  private readonly handlers: {
    readonly method: string;
    readonly prefix: string;
    readonly handler: AdminHandler;
  }[] = [];

  private readonly server: Server = createServer((request, response) => {
    this.handle(request, response).catch((error: Error) => {
      sendText(response, 500, error.message);
    });
  });

  /** Adds a handler; the first one that matches a request is called. */
  public on(method: string, prefix: string, handler: AdminHandler): void {
    this.handlers.push({ method, prefix, handler });
  }

  /** Binds to `host:port` and returns the port. */
  public listen(address: string): Promise<number> {
    return listen(this.server, address);
  }

  public dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    // The server would otherwise read the rest of the body without limit. A request whose body was iterated and left
    // early no longer refers to its socket.
    const { socket } = request;
    response.once('finish', () => {
      if (!request.complete) socket.destroy();
    });
    const url = new URL(request.url ?? '/', 'http://admin');
    const found = this.handlers.find(
      ({ method, prefix }) => method === request.method && url.pathname.startsWith(prefix),
    );
    if (found === undefined) sendText(response, 404, 'no such path');
    else await found.handler(request, response, url);
  }
}
