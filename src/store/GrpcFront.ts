import { fileURLToPath } from 'node:url';
import { Server, ServerCredentials, loadPackageDefinition, status } from '@grpc/grpc-js';
import type { GrpcObject, ServerDuplexStream, ServiceClientConstructor } from '@grpc/grpc-js';
import { loadSync } from '@grpc/proto-loader';
import { FleetError } from '../common/base/index.js';
import { callError, peerOf } from './CallHandler.js';
import type { CallHandler } from './CallHandler.js';
import {
  readCondition,
  readDelete,
  readOperation,
  readPut,
  readQuery,
  writeAnswer,
  writeResult,
} from './messages.js';
import type { TransactionMessage } from './messages.js';
import type { StoreCore } from './StoreCore.js';
import type { Operation, OperationResult } from './Types.js';
import type { WatchStreams } from './WatchStreams.js';

const protocolFile = fileURLToPath(new URL('../../../proto/etcd.proto', import.meta.url));

interface LeaseMessage {
  readonly ID: string;
  readonly TTL: string;
}

type RenewalCall = ServerDuplexStream<LeaseMessage, object>;

function loadServices(): Record<'KV' | 'Lease' | 'Watch', ServiceClientConstructor> {
  const definition = loadSync(protocolFile, {
    keepCase: true,
    longs: String,
    enums: String,
    defaults: true,
    oneofs: true,
  });
  const root = loadPackageDefinition(definition).etcdserverpb as GrpcObject;
  return root as Record<'KV' | 'Lease' | 'Watch', ServiceClientConstructor>;
}

/** Serves the store over gRPC. It can be closed and opened again on its port to imitate an outage. */
export class GrpcFront {
  private server: Server | undefined;

  public constructor(
    private readonly core: StoreCore,
    private readonly handler: CallHandler,
    private readonly watches: WatchStreams,
  ) {}

  /** Listens on `host:port` and returns the bound port; throws `FleetError` if the address is taken. */
  public async open(address: string): Promise<number> {
    const server = new Server();
    this.addServices(server);
    const port = await new Promise<number>((resolve, reject) => {
      server.bindAsync(address, ServerCredentials.createInsecure(), (error, bound) => {
        if (error === null) resolve(bound);
        else
          reject(
            new FleetError('cannot listen', { step: 'store.listen', peer: address, cause: error }),
          );
      });
    });
    this.server = server;
    return port;
  }

  /** Stops listening and cuts all connections. */
  public close(): void {
    this.server?.forceShutdown();
    this.server = undefined;
  }

  private get header(): { readonly revision: number } {
    return { revision: this.core.revision };
  }

  private addServices(server: Server): void {
    const { KV, Lease, Watch } = loadServices();
    server.addService(KV.service, {
      Range: this.handler.unary('read', (request: Parameters<typeof readQuery>[0]) =>
        this.range(request),
      ),
      Put: this.handler.unary('write', (request: Parameters<typeof readPut>[0]) => {
        this.runOne(readPut(request));
        return { header: this.header };
      }),
      DeleteRange: this.handler.unary('write', (request: Parameters<typeof readDelete>[0]) => {
        const result = this.runOne(readDelete(request));
        return {
          header: this.header,
          deleted: result?.type === 'delete' ? result.deleted : 0,
        };
      }),
      Txn: this.handler.unary('write', (request: TransactionMessage) => this.transact(request)),
    });
    server.addService(Lease.service, {
      LeaseGrant: this.handler.unary('lease', (request: LeaseMessage) => this.grant(request)),
      LeaseRevoke: this.handler.unary('lease', (request: LeaseMessage) => this.revoke(request)),
      LeaseKeepAlive: (call: RenewalCall) => this.renew(call),
    });
    server.addService(Watch.service, {
      Watch: (call: Parameters<WatchStreams['accept']>[0]) => this.watches.accept(call),
    });
  }

  private range(request: Parameters<typeof readQuery>[0]): object {
    const result = this.runOne({ type: 'range', query: readQuery(request) });
    const answer = result?.type === 'range' ? result.answer : { entries: [], count: 0 };
    return writeAnswer(this.header, answer);
  }

  private runOne(operation: Operation): OperationResult | undefined {
    return this.core.transact({ conditions: [], success: [operation], failure: [] }).results[0];
  }

  private transact(request: TransactionMessage): object {
    const result = this.core.transact({
      conditions: request.compare.map(readCondition),
      success: request.success.map(readOperation),
      failure: request.failure.map(readOperation),
    });
    const header = { revision: result.revision };
    return {
      header,
      succeeded: result.succeeded,
      responses: result.results.map((step) => writeResult(header, step)),
    };
  }

  private grant(request: LeaseMessage): object {
    const duration = Number(request.TTL);
    if (duration <= 0) throw new FleetError('the lease needs a duration', { step: 'store.lease' });
    return {
      header: this.header,
      ID: this.core.grantLease(duration, request.ID),
      TTL: duration,
    };
  }

  private revoke(request: LeaseMessage): object {
    if (!this.core.revokeLease(request.ID)) {
      throw new FleetError('the requested lease does not exist', { step: 'store.lease' });
    }
    return { header: this.header };
  }

  private renew(call: RenewalCall): void {
    call.on('data', (request: LeaseMessage) => {
      this.handler.process(
        peerOf(call),
        'keepalive',
        () => ({
          header: this.header,
          ID: request.ID,
          TTL: this.core.renewLease(request.ID),
        }),
        (error, answer) => {
          if (error === null) call.write(answer ?? {});
          else call.emit('error', callError(status.UNAVAILABLE, error.details));
        },
      );
    });
    call.on('end', () => call.end());
    call.on('error', () => {});
  }
}
