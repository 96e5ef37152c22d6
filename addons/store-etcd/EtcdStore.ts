import { Metadata, status } from '@grpc/grpc-js';
import type { ServiceError } from '@grpc/grpc-js';
import { StoreError } from '../../src/api/index.js';
import type {
  Store,
  StoreCompare,
  StoreEntry,
  StoreRange,
  StoreTransactionResult,
  StoreWatch,
  StoreWrite,
  WriteOutcome,
} from '../../src/api/index.js';
import { closeClients, createClients } from './connection.js';
import { EtcdWatch } from './EtcdWatch.js';
import { endOfPrefix, startOfPrefix, successorOf, toEntry } from './keys.js';
import { isEndpointFailure, outcomeOf } from './outcomes.js';
import type {
  EndpointClients,
  EtcdOptions,
  LeaseResponse,
  RangeResponse,
  TransactionResponse,
  UnaryCall,
} from './Types.js';

/** Entries per range request; a page of values of 256 KB (the size of a chunk) stays under 32 MB. */
const pageSize = 128;

type MethodSelector<Response> = (clients: EndpointClients) => UnaryCall<Response>;

function toRequestOp(write: StoreWrite): object {
  const key = Buffer.from(write.key);
  if (write.type === 'delete') return { request_delete_range: { key } };
  return { request_put: { key, value: write.value, lease: write.lease ?? 0 } };
}

/** Client of a store that implements the etcd v3 API. Never retries a call; after a failure the caller decides. */
export class EtcdStore implements Store {
  private readonly endpoints: readonly EndpointClients[];

  private readonly metadata = new Metadata();

  private readonly watches = new Set<EtcdWatch>();

  private endpointIndex = 0;

  public constructor(
    addresses: readonly string[],
    clientName: string,
    private readonly options: EtcdOptions = { callTimeout: 2_000 },
  ) {
    if (addresses.length === 0) {
      throw new StoreError('no store endpoint is configured', 'not-applied', {
        step: 'store.create',
      });
    }
    this.endpoints = addresses.map(createClients);
    this.metadata.set('client-name', clientName);
  }

  public async get(key: string): Promise<StoreEntry | undefined> {
    const response = await this.read({ key: Buffer.from(key) });
    const [entry] = response.kvs;
    return entry === undefined ? undefined : toEntry(entry);
  }

  public async range({ prefix, limit }: StoreRange): Promise<readonly StoreEntry[]> {
    const wanted = limit === undefined || limit === 0 ? Infinity : limit;
    const entries: StoreEntry[] = [];
    const end = endOfPrefix(Buffer.from(prefix));
    let key = startOfPrefix(prefix);
    let revision = '0';
    for (;;) {
      const page = Math.min(pageSize, wanted - entries.length);
      const response = await this.read({ key, range_end: end, limit: page, revision });
      entries.push(...response.kvs.map(toEntry));
      const last = response.kvs.at(-1);
      if (!response.more || last === undefined || entries.length >= wanted) return entries;
      key = successorOf(last.key);
      // Reads all pages at the same revision.
      revision = response.header.revision;
    }
  }

  public async transact(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): Promise<StoreTransactionResult> {
    const request = {
      compare: compares.map(({ key, modRevision }) => ({
        result: 'EQUAL',
        target: 'MOD',
        key: Buffer.from(key),
        mod_revision: modRevision,
      })),
      success: writes.map(toRequestOp),
      failure: compares.map(({ key }) => ({ request_range: { key: Buffer.from(key) } })),
    };
    const response = await this.call<TransactionResponse>(
      'store.transact',
      ({ kv }) => kv.Txn.bind(kv),
      request,
      outcomeOf,
    );
    if (response.succeeded) return { applied: true, revision: Number(response.header.revision) };
    const present = response.responses.flatMap(
      (item) => item.response_range?.kvs.map(toEntry) ?? [],
    );
    return { applied: false, present };
  }

  public async grantLease(duration: number): Promise<string> {
    const response = await this.call<LeaseResponse>(
      'store.grantLease',
      ({ lease }) => lease.LeaseGrant.bind(lease),
      { TTL: duration },
      outcomeOf,
    );
    return response.ID;
  }

  public async revokeLease(lease: string): Promise<void> {
    await this.call<object>(
      'store.revokeLease',
      (clients) => clients.lease.LeaseRevoke.bind(clients.lease),
      { ID: lease },
      outcomeOf,
    );
  }

  public async keepAlive(lease: string): Promise<void> {
    const response = await this.call<LeaseResponse>(
      'store.keepAlive',
      (clients) => EtcdStore.keepAliveCall(clients),
      { ID: lease },
      outcomeOf,
    );
    if (Number(response.TTL) > 0) return;
    const { address } = this.endpoint;
    throw new StoreError('the lease has expired', 'not-applied', {
      step: 'store.keepAlive',
      peer: address,
    });
  }

  public watch(prefix: string): StoreWatch {
    const { address, watch: client } = this.endpoint;
    const watch = new EtcdWatch(
      client.Watch(this.metadata),
      prefix,
      this.options.callTimeout,
      address,
    );
    this.watches.add(watch);
    watch.onEnd(() => {
      this.watches.delete(watch);
      this.switchFrom(address);
    });
    return {
      onChange: watch.onChange,
      onEnd: watch.onEnd,
      dispose: () => {
        this.watches.delete(watch);
        watch.dispose();
      },
    };
  }

  public dispose(): void {
    this.watches.forEach((watch) => watch.dispose());
    this.watches.clear();
    this.endpoints.forEach(closeClients);
  }

  private get endpoint(): EndpointClients {
    const endpoint = this.endpoints[this.endpointIndex % this.endpoints.length];
    if (endpoint === undefined) throw new RangeError('no store endpoint is configured');
    return endpoint;
  }

  /** Switches to the next store member for later calls, unless another call has already done so. */
  private switchFrom(address: string): void {
    if (this.endpoint.address === address) this.endpointIndex += 1;
  }

  /** Renews a lease on a separate stream, so that each renewal has its own deadline. */
  private static keepAliveCall({ lease }: EndpointClients): UnaryCall<LeaseResponse> {
    return (request, metadata, options, callback) => {
      const stream = lease.LeaseKeepAlive(metadata, options);
      stream.once('data', (response: LeaseResponse) => {
        callback(null, response);
        stream.end();
      });
      stream.on('error', (error: ServiceError) => callback(error));
      stream.write(request);
    };
  }

  private async read(request: object): Promise<RangeResponse> {
    // `Store.watch` guarantees that a later read sees every change that the watch does not deliver.
    await Promise.all([...this.watches].map((watch) => watch.settled));
    return this.call<RangeResponse>(
      'store.range',
      ({ kv }) => kv.Range.bind(kv),
      request,
      () => 'not-applied',
    );
  }

  private async call<Response>(
    step: string,
    selectMethod: MethodSelector<Response>,
    request: object,
    classify: (error: ServiceError) => WriteOutcome,
  ): Promise<Response> {
    const { endpoint } = this;
    const deadline = new Date(Date.now() + this.options.callTimeout);
    await this.connect(endpoint, deadline, step);
    return new Promise((resolve, reject) => {
      selectMethod(endpoint)(request, this.metadata, { deadline }, (error, response) => {
        if (error === null && response !== undefined) {
          resolve(response);
          return;
        }
        const failure = error ?? EtcdStore.createEmptyResponseError();
        if (isEndpointFailure(failure)) this.switchFrom(endpoint.address);
        const origin = { step, peer: endpoint.address, cause: failure };
        reject(new StoreError(this.describe(failure), classify(failure), origin));
      });
    });
  }

  /** Replaces grpc-js's timeout message, which lists connection steps, with a short one. */
  private describe({ code, details }: ServiceError): string {
    const isTimeout = code === status.DEADLINE_EXCEEDED;
    return isTimeout ? `no response within ${this.options.callTimeout} ms` : details;
  }

  private static createEmptyResponseError(): ServiceError {
    const details = 'the response is empty';
    return Object.assign(new Error(details), {
      code: status.INTERNAL,
      details,
      metadata: new Metadata(),
    });
  }

  /** Connects before a call is sent. A failure here means that a write was never sent, so it is not applied. */
  private async connect(endpoint: EndpointClients, deadline: Date, step: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      endpoint.kv.waitForReady(deadline, (error) => {
        if (error === undefined) {
          resolve();
          return;
        }
        this.switchFrom(endpoint.address);
        const origin = { step, peer: endpoint.address, cause: error };
        reject(new StoreError('the store is unreachable', 'not-applied', origin));
      });
    });
  }
}
