import { fileURLToPath } from 'node:url';
import { loadPackageDefinition } from '@grpc/grpc-js';
import { loadSync } from '@grpc/proto-loader';
import type { ProtoGrpcType } from './generated/limpettrack.js';

const protoFile = fileURLToPath(new URL('../../../proto/limpettrack.proto', import.meta.url));

const definition = loadSync(protoFile, {
  longs: Number,
  enums: String,
  defaults: true,
  oneofs: true,
});

/** Client class and service definition of the protocol between daemons. */
export const { Peer } = (loadPackageDefinition(definition) as unknown as ProtoGrpcType).limpettrack;

/** Largest message between daemons: a configuration chunk or an operation of 1 MB, plus headers. */
export const maxMessageBytes = 1_300_000;

/** Options of each channel. Retries are disabled, since a resend by the library could run an operation twice. */
export const channelOptions = {
  'grpc.enable_retries': 0,
  'grpc.max_receive_message_length': maxMessageBytes,
  'grpc.max_send_message_length': maxMessageBytes,
  'grpc.keepalive_time_ms': 5_000,
  'grpc.keepalive_timeout_ms': 2_000,
  'grpc.keepalive_permit_without_calls': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  'grpc.use_local_subchannel_pool': 1,
} as const;
