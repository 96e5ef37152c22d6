import { connect, createServer, type Server, type Socket } from 'node:net';
import type { Disposable } from '../api/index.js';
import { listen } from '../node/listen.js';

/** TCP proxy on loopback whose open connections can go silent or be reset while new ones work. */
export class SilencingProxy implements Disposable {
  /** Number of connections that were accepted. */
  public accepted = 0;

  private readonly pairs = new Set<readonly [Socket, Socket]>();

  private readonly server: Server;

  public constructor(upstreamPort: number) {
    this.server = createServer((client) => {
      this.accepted += 1;
      const upstream = connect(upstreamPort, '127.0.0.1');
      const pair = [client, upstream] as const;
      this.pairs.add(pair);
      client.on('data', (chunk) => upstream.write(chunk));
      upstream.on('data', (chunk) => client.write(chunk));
      const close = (): void => {
        this.pairs.delete(pair);
        pair.forEach((socket) => socket.destroy());
      };
      pair.forEach((socket) => {
        socket.setNoDelay(true);
        socket.on('error', close);
        socket.on('close', close);
      });
    });
  }

  /** Number of open connections. */
  public get size(): number {
    return this.pairs.size;
  }

  /** Listens on a free loopback port and returns it. */
  public listen(): Promise<number> {
    return listen(this.server, '127.0.0.1:0');
  }

  /** Discards what the open connections carry from now on, without closing them. */
  public silence(): void {
    this.pairs.forEach((pair) => {
      pair.forEach((socket) => {
        socket.removeAllListeners('data');
        socket.on('data', () => {});
      });
    });
  }

  /** Resets the open connections. */
  public reset(): void {
    this.pairs.forEach((pair) => pair.forEach((socket) => socket.resetAndDestroy()));
  }

  /** Accepts no further connections and closes the open ones. */
  public dispose(): void {
    this.server.close();
    this.pairs.forEach((pair) => pair.forEach((socket) => socket.destroy()));
  }
}
