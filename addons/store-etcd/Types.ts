/** Messages of `proto/etcd.proto` that the adapter sends and receives. */
import type { ClientDuplexStream, Metadata, ServiceError } from '@grpc/grpc-js';

/** Present version of a key. */
export interface KeyValueMessage {
  readonly key: Buffer;
  readonly value: Buffer;
  readonly mod_revision: string;
}

/** Header of an answer. */
export interface HeaderMessage {
  readonly revision: string;
}

/** Answer to a range request. */
export interface RangeAnswer {
  readonly header: HeaderMessage;
  readonly kvs: readonly KeyValueMessage[];
  readonly more: boolean;
}

/** Answer to a transaction. */
export interface TransactionAnswer {
  readonly header: HeaderMessage;
  readonly succeeded: boolean;
  readonly responses: readonly { readonly response_range?: RangeAnswer }[];
}

/** Answer of a lease call. */
export interface LeaseAnswer {
  readonly ID: string;
  readonly TTL: string;
}

/** Message of a watch. */
export interface WatchAnswer {
  readonly created: boolean;
  readonly canceled: boolean;
  readonly cancel_reason: string;
  readonly events: readonly { readonly type: 'PUT' | 'DELETE'; readonly kv: KeyValueMessage }[];
}

/** Options of a call. */
export interface CallOptions {
  /** Time after which the call fails with DEADLINE_EXCEEDED. */
  readonly deadline?: Date;
}

/** Unary call of a generated client. */
export type UnaryCall<Answer> = (
  request: object,
  metadata: Metadata,
  options: CallOptions,
  callback: (error: ServiceError | null, answer?: Answer) => void,
) => void;

/** Streaming call of a generated client. */
export type StreamCall<Answer> = (
  metadata: Metadata,
  options?: CallOptions,
) => ClientDuplexStream<object, Answer>;

interface Connectable {
  waitForReady(deadline: Date, callback: (error?: Error) => void): void;
  close(): void;
}

/** Client of the KV service. */
export interface KvClient extends Connectable {
  readonly Range: UnaryCall<RangeAnswer>;
  readonly Txn: UnaryCall<TransactionAnswer>;
}

/** Client of the Lease service. */
export interface LeaseClient extends Connectable {
  readonly LeaseGrant: UnaryCall<LeaseAnswer>;
  readonly LeaseRevoke: UnaryCall<object>;
  readonly LeaseKeepAlive: StreamCall<LeaseAnswer>;
}

/** Client of the Watch service. */
export interface WatchClient extends Connectable {
  readonly Watch: StreamCall<WatchAnswer>;
}

/** Clients of one member of the store. They share one connection. */
export interface EndpointClients {
  readonly address: string;
  readonly kv: KvClient;
  readonly lease: LeaseClient;
  readonly watch: WatchClient;
}

/** Settings of the adapter. */
export interface EtcdOptions {
  /** Milliseconds for each call, with connecting. */
  readonly callTimeout: number;
}
