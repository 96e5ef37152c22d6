import { fileURLToPath } from 'node:url';
import { credentials, loadPackageDefinition } from '@grpc/grpc-js';
import type { ChannelOptions, GrpcObject, ServiceClientConstructor } from '@grpc/grpc-js';
import { loadSync } from '@grpc/proto-loader';
import type { EndpointClients } from './Types.js';

const protoFile = fileURLToPath(new URL('../../../proto/etcd.proto', import.meta.url));

const channelOptions: ChannelOptions = {
  // A retried write could be applied twice.
  'grpc.enable_retries': 0,
  // The default backoff grows to 2 min, far longer than a configuration change may take (16 s).
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 2_000,
  // A watch on a dead connection ends within 9 s, so that its owner can read again. Stores reject pings sent more
  // often than every 5 s.
  'grpc.keepalive_time_ms': 6_000,
  'grpc.keepalive_timeout_ms': 3_000,
  // A page of values of 1 MB exceeds the default limit of 4 MB.
  'grpc.max_receive_message_length': -1,
};

let cachedProtocol: GrpcObject | undefined;

function loadProtocol(): GrpcObject {
  cachedProtocol ??= loadPackageDefinition(
    loadSync(protoFile, {
      keepCase: true,
      longs: String,
      enums: String,
      defaults: true,
      oneofs: true,
    }),
  ).etcdserverpb as GrpcObject;
  return cachedProtocol;
}

/** Creates the clients of one store member; the connection is opened on first use. */
export function createClients(address: string): EndpointClients {
  const protocol = loadProtocol();
  const create = (service: 'KV' | 'Lease' | 'Watch'): unknown =>
    new (protocol[service] as ServiceClientConstructor)(
      address,
      credentials.createInsecure(),
      channelOptions,
    );
  return {
    address,
    kv: create('KV') as EndpointClients['kv'],
    lease: create('Lease') as EndpointClients['lease'],
    watch: create('Watch') as EndpointClients['watch'],
  };
}

/** Closes the clients of one store member; running calls fail. */
export function closeClients(clients: EndpointClients): void {
  clients.kv.close();
  clients.lease.close();
  clients.watch.close();
}
