import { fileURLToPath } from 'node:url';
import { Server, ServerCredentials, loadPackageDefinition, status } from '@grpc/grpc-js';
import type { GrpcObject, ServerDuplexStream, ServiceClientConstructor } from '@grpc/grpc-js';
import { loadSync } from '@grpc/proto-loader';
import { FleetError } from '../common/base/index.js';
import { createCallError, identifyPeer } from './CallHandler.js';
import type { CallHandler } from './CallHandler.js';
import {
  decodeCondition,
  decodeDelete,
  decodeOperation,
  decodePut,
  decodeRangeQuery,
  encodeRangeResponse,
  encodeOperationResult,
} from './messages.js';
import type { TransactionMessage } from './messages.js';
import type { StoreCore } from './StoreCore.js';
import type { Operation, OperationResult } from './Types.js';
import type { WatchService } from './WatchService.js';

const protoFile = fileURLToPath(new URL('../../../proto/etcd.proto', import.meta.url));

interface LeaseMessage {
  readonly ID: string;
  readonly TTL: string;
}

type KeepAliveCall = ServerDuplexStream<LeaseMessage, object>;

function loadServices(): Record<'KV' | 'Lease' | 'Watch', ServiceClientConstructor> {
  const definition = loadSync(protoFile, {
    keepCase: true,
    longs: String,
    enums: String,
    defaults: true,
    oneofs: true,
  });
  const root = loadPackageDefinition(definition).etcdserverpb as GrpcObject;
  return root as Record<'KV' | 'Lease' | 'Watch', ServiceClientConstructor>;
}

/** Serves the store over gRPC. Can be closed and reopened on the same port to simulate an outage. */
export class StoreGrpcServer {
  private server: Server | undefined;

  public constructor(
    private readonly core: StoreCore,
    private readonly handler: CallHandler,
    private readonly watches: WatchService,
  ) {}

  /** Listens on `host:port` and returns the bound port; throws `FleetError` if the address cannot be bound. */
  public async open(address: string): Promise<number> {
    const server = new Server();
    this.addServices(server);
    const port = await new Promise<number>((resolve, reject) => {
      server.bindAsync(address, ServerCredentials.createInsecure(), (error, bound) => {
        if (error === null) resolve(bound);
        else
          reject(
            new FleetError('cannot bind the gRPC address', {
              step: 'store.listen',
              peer: address,
              cause: error,
            }),
          );
      });
    });
    this.server = server;
    return port;
  }

  /** Stops listening and closes all connections. */
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
      Range: this.handler.createUnaryHandler(
        'read',
        (request: Parameters<typeof decodeRangeQuery>[0]) => this.range(request),
      ),
      Put: this.handler.createUnaryHandler('write', (request: Parameters<typeof decodePut>[0]) => {
        this.runOperation(decodePut(request));
        return { header: this.header };
      }),
      DeleteRange: this.handler.createUnaryHandler(
        'write',
        (request: Parameters<typeof decodeDelete>[0]) => {
          const result = this.runOperation(decodeDelete(request));
          return {
            header: this.header,
            deleted: result?.type === 'delete' ? result.deleted : 0,
          };
        },
      ),
      Txn: this.handler.createUnaryHandler('write', (request: TransactionMessage) =>
        this.transact(request),
      ),
    });
    server.addService(Lease.service, {
      LeaseGrant: this.handler.createUnaryHandler('lease', (request: LeaseMessage) =>
        this.grant(request),
      ),
      LeaseRevoke: this.handler.createUnaryHandler('lease', (request: LeaseMessage) =>
        this.revoke(request),
      ),
      LeaseKeepAlive: (call: KeepAliveCall) => this.keepAlive(call),
    });
    server.addService(Watch.service, {
      Watch: (call: Parameters<WatchService['accept']>[0]) => this.watches.accept(call),
    });
  }

  private range(request: Parameters<typeof decodeRangeQuery>[0]): object {
    const result = this.runOperation({ type: 'range', query: decodeRangeQuery(request) });
    const rangeResult = result?.type === 'range' ? result.rangeResult : { entries: [], count: 0 };
    return encodeRangeResponse(this.header, rangeResult);
  }

  private runOperation(operation: Operation): OperationResult | undefined {
    return this.core.transact({ conditions: [], success: [operation], failure: [] }).results[0];
  }

  private transact(request: TransactionMessage): object {
    const result = this.core.transact({
      conditions: request.compare.map(decodeCondition),
      success: request.success.map(decodeOperation),
      failure: request.failure.map(decodeOperation),
    });
    const header = { revision: result.revision };
    return {
      header,
      succeeded: result.succeeded,
      responses: result.results.map((item) => encodeOperationResult(header, item)),
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

  private keepAlive(call: KeepAliveCall): void {
    call.on('data', (request: LeaseMessage) => {
      this.handler.handle(
        identifyPeer(call),
        'keepalive',
        () => ({
          header: this.header,
          ID: request.ID,
          TTL: this.core.renewLease(request.ID),
        }),
        (error, response) => {
          if (error === null) call.write(response ?? {});
          else call.emit('error', createCallError(status.UNAVAILABLE, error.details));
        },
      );
    });
    call.on('end', () => call.end());
    call.on('error', () => {});
  }
}
