import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { Server, ServerCredentials } from '@grpc/grpc-js';
import { GrpcPeerLink } from '../../daemon/GrpcPeerLink.js';
import { PeerConnections } from '../../daemon/PeerConnections.js';
import { Peer, channelOptions } from '../../daemon/PeerProtocol.js';
import { createUnaryHandler } from '../../daemon/PeerServer.js';

/** Number of calls before and during a measurement. */
const warmUpCalls = 200;
const measuredCalls = 1000;

/** Cost of one unary call between two daemons. */
export interface PeerCallCost {
  /** Bytes on the connection in both directions. */
  readonly bytes: number;
  /** Processor time at one of the two ends. */
  readonly processorSeconds: number;
}

function listen(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, port) => {
      if (error === null) resolve(port);
      else reject(error);
    });
  });
}

/** TCP relay that counts the bytes of all connections. */
class CountingRelay {
  public bytes = 0;

  private readonly sockets: Socket[] = [];

  private readonly server = createServer((socket) => this.relay(socket));

  public constructor(private readonly port: number) {}

  public listen(): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  public close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  private relay(socket: Socket): void {
    const other = connect(this.port, '127.0.0.1');
    [socket, other].forEach((end) => {
      this.sockets.push(end);
      end.setNoDelay(true);
      end.on('data', ({ length }) => {
        this.bytes += length;
      });
    });
    socket.pipe(other).pipe(socket);
  }
}

async function callMany(link: GrpcPeerLink, address: string, count: number): Promise<void> {
  for (let call = 0; call < count; call++) await link.probe(address);
}

async function measureProcessorSeconds(work: () => Promise<void>): Promise<number> {
  const before = process.cpuUsage();
  await work();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1e6;
}

/** Measures unary probe calls over loopback: bytes through a relay, processor time without it. */
export async function measurePeerCall(): Promise<PeerCallCost> {
  const server = new Server(channelOptions);
  server.addService(Peer.service, { Probe: createUnaryHandler(async () => ({ reachable: true })) });
  const port = await listen(server);
  const relay = new CountingRelay(port);
  const relayAddress = `127.0.0.1:${await relay.listen()}`;
  const connections = new PeerConnections();
  const link = new GrpcPeerLink(connections);
  await callMany(link, relayAddress, warmUpCalls);
  relay.bytes = 0;
  await callMany(link, relayAddress, measuredCalls);
  const bytes = relay.bytes / measuredCalls;
  await callMany(link, `127.0.0.1:${port}`, warmUpCalls);
  const work = (): Promise<void> => callMany(link, `127.0.0.1:${port}`, measuredCalls);
  const processorSeconds = (await measureProcessorSeconds(work)) / measuredCalls / 2;
  connections.dispose();
  relay.close();
  server.forceShutdown();
  return { bytes, processorSeconds };
}
