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
  LeaseAnswer,
  RangeAnswer,
  TransactionAnswer,
  UnaryCall,
} from './Types.js';

/** Entries in one answer; a page of values of 256 KB (the size of a chunk) stays under 32 MB. */
const pageSize = 128;

type Caller<Answer> = (clients: EndpointClients) => UnaryCall<Answer>;

function toStep(write: StoreWrite): object {
  const key = Buffer.from(write.key);
  if (write.type === 'delete') return { request_delete_range: { key } };
  return { request_put: { key, value: write.value, lease: write.lease ?? 0 } };
}

/** Adapter to a store that speaks the etcd v3 protocol. Nothing is resent: the caller decides after a failure. */
export class EtcdStore implements Store {
  private readonly endpoints: readonly EndpointClients[];

  private readonly metadata = new Metadata();

  private readonly watches = new Set<EtcdWatch>();

  private current = 0;

  public constructor(
    addresses: readonly string[],
    clientName: string,
    private readonly options: EtcdOptions = { callTimeout: 2_000 },
  ) {
    if (addresses.length === 0) {
      throw new StoreError('no endpoint given', 'not-applied', { step: 'store.create' });
    }
    this.endpoints = addresses.map(createClients);
    this.metadata.set('client-name', clientName);
  }

  public async get(key: string): Promise<StoreEntry | undefined> {
    const answer = await this.read({ key: Buffer.from(key) });
    const [entry] = answer.kvs;
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
      const answer = await this.read({ key, range_end: end, limit: page, revision });
      entries.push(...answer.kvs.map(toEntry));
      const last = answer.kvs.at(-1);
      if (!answer.more || last === undefined || entries.length >= wanted) return entries;
      key = successorOf(last.key);
      // All pages show the same state.
      revision = answer.header.revision;
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
      success: writes.map(toStep),
      failure: compares.map(({ key }) => ({ request_range: { key: Buffer.from(key) } })),
    };
    const answer = await this.call<TransactionAnswer>(
      'store.transact',
      ({ kv }) => kv.Txn.bind(kv),
      request,
      outcomeOf,
    );
    if (answer.succeeded) return { applied: true, revision: Number(answer.header.revision) };
    const present = answer.responses.flatMap(
      (response) => response.response_range?.kvs.map(toEntry) ?? [],
    );
    return { applied: false, present };
  }

  public async grantLease(duration: number): Promise<string> {
    const answer = await this.call<LeaseAnswer>(
      'store.grantLease',
      ({ lease }) => lease.LeaseGrant.bind(lease),
      { TTL: duration },
      outcomeOf,
    );
    return answer.ID;
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
    const answer = await this.call<LeaseAnswer>(
      'store.keepAlive',
      (clients) => EtcdStore.renewal(clients),
      { ID: lease },
      outcomeOf,
    );
    if (Number(answer.TTL) > 0) return;
    const { address } = this.endpoint;
    throw new StoreError('the lease has lapsed', 'not-applied', {
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
      this.leave(address);
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
    const endpoint = this.endpoints[this.current % this.endpoints.length];
    if (endpoint === undefined) throw new RangeError('no endpoint');
    return endpoint;
  }

  /** Makes the next call use another member of the store, unless that has happened already. */
  private leave(address: string): void {
    if (this.endpoint.address === address) this.current += 1;
  }

  /** A lease is renewed on a stream of its own, so that each renewal has a deadline. */
  private static renewal({ lease }: EndpointClients): UnaryCall<LeaseAnswer> {
    return (request, metadata, options, callback) => {
      const stream = lease.LeaseKeepAlive(metadata, options);
      stream.once('data', (answer: LeaseAnswer) => {
        callback(null, answer);
        stream.end();
      });
      stream.on('error', (error: ServiceError) => callback(error));
      stream.write(request);
    };
  }

  private async read(request: object): Promise<RangeAnswer> {
    // See the promise of `Store.watch` about later reads.
    await Promise.all([...this.watches].map((watch) => watch.settled));
    return this.call<RangeAnswer>(
      'store.range',
      ({ kv }) => kv.Range.bind(kv),
      request,
      () => 'not-applied',
    );
  }

  private async call<Answer>(
    step: string,
    caller: Caller<Answer>,
    request: object,
    judge: (error: ServiceError) => WriteOutcome,
  ): Promise<Answer> {
    const { endpoint } = this;
    const deadline = new Date(Date.now() + this.options.callTimeout);
    await this.connect(endpoint, deadline, step);
    return new Promise((resolve, reject) => {
      caller(endpoint)(request, this.metadata, { deadline }, (error, answer) => {
        if (error === null && answer !== undefined) {
          resolve(answer);
          return;
        }
        const failure = error ?? EtcdStore.noAnswer();
        if (isEndpointFailure(failure)) this.leave(endpoint.address);
        const origin = { step, peer: endpoint.address, cause: failure };
        reject(new StoreError(this.describe(failure), judge(failure), origin));
      });
    });
  }

  /** The library's text of a timeout lists the steps of its connection. */
  private describe({ code, details }: ServiceError): string {
    const isTimeout = code === status.DEADLINE_EXCEEDED;
    return isTimeout ? `no answer within ${this.options.callTimeout} ms` : details;
  }

  private static noAnswer(): ServiceError {
    const details = 'the answer is empty';
    return Object.assign(new Error(details), {
      code: status.INTERNAL,
      details,
      metadata: new Metadata(),
    });
  }

  /** Connects before a call is sent. A failure here is the one case in which a write is surely not in. */
  private async connect(endpoint: EndpointClients, deadline: Date, step: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      endpoint.kv.waitForReady(deadline, (error) => {
        if (error === undefined) {
          resolve();
          return;
        }
        this.leave(endpoint.address);
        const origin = { step, peer: endpoint.address, cause: error };
        reject(new StoreError('the store cannot be reached', 'not-applied', origin));
      });
    });
  }
}
