/** Messages of `proto/etcd.proto` that the adapter sends and receives. */
import type { ClientDuplexStream, Metadata, ServiceError } from '@grpc/grpc-js';

/** Key with its value at one revision. */
export interface KeyValueMessage {
  readonly key: Buffer;
  readonly value: Buffer;
  readonly mod_revision: string;
}

/** Header of a response. */
export interface HeaderMessage {
  readonly revision: string;
}

/** Response to a range request. */
export interface RangeResponse {
  readonly header: HeaderMessage;
  readonly kvs: readonly KeyValueMessage[];
  readonly more: boolean;
}

/** Response to a transaction. */
export interface TransactionResponse {
  readonly header: HeaderMessage;
  readonly succeeded: boolean;
  readonly responses: readonly { readonly response_range?: RangeResponse }[];
}

/** Response to a lease call. */
export interface LeaseResponse {
  readonly ID: string;
  readonly TTL: string;
}

/** Message that the store sends on a watch stream. */
export interface WatchResponse {
  readonly created: boolean;
  readonly canceled: boolean;
  readonly cancel_reason: string;
  readonly events: readonly { readonly type: 'PUT' | 'DELETE'; readonly kv: KeyValueMessage }[];
}

/** Options of a call. */
export interface CallOptions {
  /** Point in time after which the call fails with DEADLINE_EXCEEDED. */
  readonly deadline?: Date;
}

/** Unary method of a gRPC client. */
export type UnaryCall<Response> = (
  request: object,
  metadata: Metadata,
  options: CallOptions,
  callback: (error: ServiceError | null, response?: Response) => void,
) => void;

/** Bidirectional streaming method of a gRPC client. */
export type StreamCall<Response> = (
  metadata: Metadata,
  options?: CallOptions,
) => ClientDuplexStream<object, Response>;

interface GrpcClient {
  waitForReady(deadline: Date, callback: (error?: Error) => void): void;
  close(): void;
}

/** Client of the KV service. */
export interface KvClient extends GrpcClient {
  readonly Range: UnaryCall<RangeResponse>;
  readonly Txn: UnaryCall<TransactionResponse>;
}

/** Client of the Lease service. */
export interface LeaseClient extends GrpcClient {
  readonly LeaseGrant: UnaryCall<LeaseResponse>;
  readonly LeaseRevoke: UnaryCall<object>;
  readonly LeaseKeepAlive: StreamCall<LeaseResponse>;
}

/** Client of the Watch service. */
export interface WatchClient extends GrpcClient {
  readonly Watch: StreamCall<WatchResponse>;
}

/** Clients of one store member. They share one connection. */
export interface EndpointClients {
  readonly address: string;
  readonly kv: KvClient;
  readonly lease: LeaseClient;
  readonly watch: WatchClient;
}

/** Settings of the adapter. */
export interface EtcdOptions {
  /** Timeout of each call in milliseconds, including the time to connect. */
  readonly callTimeout: number;
}
