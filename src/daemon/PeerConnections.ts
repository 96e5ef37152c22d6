import { connectivityState, credentials, type ChannelCredentials } from '@grpc/grpc-js';
import { NotRunError, type Disposable } from '../api/index.js';
import type { PeerClient } from './generated/limpettrack/Peer.js';
import { channelOptions, Peer } from './PeerProtocol.js';

/** One gRPC channel to each peer, opened on first use. */
export class PeerConnections implements Disposable {
  private readonly clients = new Map<string, PeerClient>();

  public constructor(
    private readonly channelCredentials: ChannelCredentials = credentials.createInsecure(),
  ) {}

  /** Client for the peer at `host:port`. */
  public get(address: string): PeerClient {
    const known = this.clients.get(address);
    if (known !== undefined) return known;
    const client = new Peer(address, this.channelCredentials, channelOptions);
    this.clients.set(address, client);
    return client;
  }

  /**
   * Client with an established connection. Throws `NotRunError` if there is none within `timeout` milliseconds;
   * no call has been sent by then, so the request has certainly not been run.
   */
  public async getReady(address: string, timeout: number): Promise<PeerClient> {
    const client = this.get(address);
    if (client.getChannel().getConnectivityState(true) === connectivityState.READY) return client;
    const deadline = new Date(Date.now() + timeout);
    await new Promise<void>((resolve, reject) => {
      client.waitForReady(deadline, (error) => {
        if (error === undefined) resolve();
        else {
          const origin = { step: 'peer.connect', peer: address, cause: error };
          reject(new NotRunError('connect-failed', 'no connection to the peer', origin));
        }
      });
    });
    return client;
  }

  /** Closes the channel to a peer that has left. */
  public close(address: string): void {
    this.clients.get(address)?.close();
    this.clients.delete(address);
  }

  public dispose(): void {
    this.clients.forEach((client) => client.close());
    this.clients.clear();
  }
}
