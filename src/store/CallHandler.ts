import { status } from '@grpc/grpc-js';
import type { ServerUnaryCall, sendUnaryData } from '@grpc/grpc-js';
import type { Clock } from '../common/base/index.js';
import type { CallCounters } from './CallCounters.js';
import type { FaultInjector } from './FaultInjector.js';
import type { CallKind, Peer } from './Types.js';

/** Metadata key of the client name. */
export const clientNameKey = 'client-name';

/** What the handler reads of any kind of call. */
export interface IncomingCall {
  getPeer(): string;
  readonly metadata: { get(key: string): readonly (string | Buffer)[] };
}

/** Reads who makes a call. */
export function peerOf(call: IncomingCall): Peer {
  return { client: String(call.metadata.get(clientNameKey)[0] ?? ''), address: call.getPeer() };
}

/** Error of a call as gRPC sends it. */
export function callError(code: status, details: string): { code: status; details: string } {
  return { code, details };
}

/** Counts each call and applies the faults to it. */
export class CallHandler {
  public constructor(
    private readonly clock: Clock,
    private readonly counters: CallCounters,
    private readonly faults: FaultInjector,
  ) {}

  /** Makes a handler of a unary call from a function that computes the answer. */
  public unary<Request>(
    kind: CallKind,
    run: (request: Request) => object,
  ): (call: ServerUnaryCall<Request, object>, callback: sendUnaryData<object>) => void {
    return (call, callback) => {
      this.process(peerOf(call), kind, () => run(call.request), callback);
    };
  }

  /** Runs one call. A call whose request or answer is lost in a cut never calls back. */
  public process(
    peer: Peer,
    kind: CallKind,
    run: () => object,
    callback: (error: { code: status; details: string } | null, answer?: object) => void,
  ): void {
    const fate = this.faults.decide(peer, kind);
    if (fate === 'refuse') {
      callback(callError(status.UNAVAILABLE, 'the store refuses this client'));
      return;
    }
    if (fate === 'lose-request') return;
    this.counters.count(peer, kind);
    const answer = CallHandler.attempt(run);
    if (fate === 'cut-answer') return;
    this.later(() => {
      // A cut that began meanwhile takes the answer with it.
      if (!this.faults.canDeliver(peer)) return;
      if (fate === 'lose-answer') callback(callError(status.UNAVAILABLE, 'the answer was lost'));
      else callback(answer.error, answer.value);
    });
  }

  /** Runs a step after the delay in force. */
  public later(step: () => void): void {
    if (this.faults.current.slow === 0) step();
    else this.clock.after(this.faults.current.slow, step);
  }

  private static attempt(run: () => object): {
    error: { code: status; details: string } | null;
    value?: object;
  } {
    try {
      return { error: null, value: run() };
    } catch (error) {
      const details = error instanceof Error ? error.message : String(error);
      return { error: callError(status.INVALID_ARGUMENT, details) };
    }
  }
}
