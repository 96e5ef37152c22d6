import { Agent, type AgentOptions, type ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { Clock } from '../../api/index.js';

/** Connections to other daemons. It knows since when they are idle, so that those of a lost route can be closed. */
export class PeerAgent extends Agent {
  private readonly idleSince = new WeakMap<Duplex, number>();

  public constructor(
    private readonly clock: Clock,
    options: AgentOptions,
  ) {
    super({ ...options, keepAlive: true });
  }

  /** Called by Node.js when a connection becomes idle; returning false closes it. */
  public override keepSocketAlive(socket: Duplex): boolean {
    this.idleSince.set(socket, this.clock.elapsed());
    return (super.keepSocketAlive(socket) as unknown as boolean | undefined) ?? true;
  }

  /** Milliseconds for which the connection of a request was idle before it; undefined if it was opened for it. */
  public idleTimeOf(request: ClientRequest, sentAt: number): number | undefined {
    const { socket, reusedSocket } = request;
    const since = socket === null ? undefined : this.idleSince.get(socket);
    return reusedSocket && since !== undefined ? Math.max(0, sentAt - since) : undefined;
  }

  /** Closes the connections to a daemon that are idle since before a time; returns their number. */
  public closeIdle(host: string, port: number, before: number): number {
    const idle: readonly Socket[] = this.freeSockets[this.getName({ host, port })] ?? [];
    const closed = idle.filter((socket) => (this.idleSince.get(socket) ?? -Infinity) < before);
    closed.forEach((socket) => socket.destroy());
    return closed.length;
  }
}
