import { Agent, type ClientRequest } from 'node:http';
import type { Duplex } from 'node:stream';

function closeSocket(this: Duplex): void {
  this.destroy();
}

/** Agent that closes idle connections on which data arrives, since it belongs to no request. */
export class IdleCheckingAgent extends Agent {
  /** Called by Node.js when a connection becomes idle; returning false closes it. */
  public override keepSocketAlive(socket: Duplex): boolean {
    const isKept = (super.keepSocketAlive(socket) as unknown as boolean | undefined) ?? true;
    if (isKept) socket.on('data', closeSocket);
    return isKept;
  }

  /** Called by Node.js before an idle connection is reused. */
  public override reuseSocket(socket: Duplex, request: ClientRequest): void {
    socket.off('data', closeSocket);
    super.reuseSocket(socket, request);
  }
}
