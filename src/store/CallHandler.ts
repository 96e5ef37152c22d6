import { status } from '@grpc/grpc-js';
import type { ServerUnaryCall, sendUnaryData } from '@grpc/grpc-js';
import type { Clock } from '../common/base/index.js';
import type { CallCounters } from './CallCounters.js';
import type { FaultInjector } from './FaultInjector.js';
import type { CallKind, Peer } from './Types.js';

/** Metadata key of the client name. */
export const clientNameKey = 'client-name';

/** The part of a gRPC call, unary or streaming, that identifies the client. */
export interface GrpcCall {
  getPeer(): string;
  readonly metadata: { get(key: string): readonly (string | Buffer)[] };
}

/** Reads the client name and address of a call. */
export function identifyPeer(call: GrpcCall): Peer {
  return { client: String(call.metadata.get(clientNameKey)[0] ?? ''), address: call.getPeer() };
}

/** Creates a gRPC status for a failed call. */
export function createCallError(code: status, details: string): { code: status; details: string } {
  return { code, details };
}

/** Counts each call and applies the active faults to it. */
export class CallHandler {
  public constructor(
    private readonly clock: Clock,
    private readonly counters: CallCounters,
    private readonly faults: FaultInjector,
  ) {}

  /** Creates the handler of a unary method from a function that computes the response. */
  public createUnaryHandler<Request>(
    kind: CallKind,
    run: (request: Request) => object,
  ): (call: ServerUnaryCall<Request, object>, callback: sendUnaryData<object>) => void {
    return (call, callback) => {
      this.handle(identifyPeer(call), kind, () => run(call.request), callback);
    };
  }

  /** Runs one call. Never calls back if a partition drops the request or the response. */
  public handle(
    peer: Peer,
    kind: CallKind,
    run: () => object,
    callback: (error: { code: status; details: string } | null, response?: object) => void,
  ): void {
    const disposition = this.faults.decide(peer, kind);
    if (disposition === 'refuse') {
      callback(createCallError(status.UNAVAILABLE, 'the store refuses this client'));
      return;
    }
    if (disposition === 'lose-request') return;
    this.counters.count(peer, kind);
    const result = CallHandler.execute(run);
    if (disposition === 'cut-answer') return;
    this.runDelayed(() => {
      // A partition that began during the delay also drops the response.
      if (!this.faults.canDeliver(peer)) return;
      if (disposition === 'lose-answer')
        callback(createCallError(status.UNAVAILABLE, 'the answer was lost'));
      else callback(result.error, result.value);
    });
  }

  /** Runs a step after the injected delay. */
  public runDelayed(step: () => void): void {
    if (this.faults.current.slow === 0) step();
    else this.clock.after(this.faults.current.slow, step);
  }

  private static execute(run: () => object): {
    error: { code: status; details: string } | null;
    value?: object;
  } {
    try {
      return { error: null, value: run() };
    } catch (error) {
      const details = error instanceof Error ? error.message : String(error);
      return { error: createCallError(status.INVALID_ARGUMENT, details) };
    }
  }
}
