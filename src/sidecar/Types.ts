/** Interfaces of the daemon beside one target. */
import type { Readable } from 'node:stream';
import type { Disposable } from '../api/index.js';
import type { HeaderPair, TargetAnswer } from '../common/dispatch/Types.js';

/** Names of the headers that callers and targets understand, in lower case. The platform gives them. */
export interface HeaderNames {
  /** Id of a request, given by the caller and echoed by the target. */
  readonly requestId: string;
  /** Milliseconds for which the sender waits. */
  readonly timeout: string;
  /** Id of the only target that may run the request. */
  readonly expectedTarget: string;
  /** Service of the VM where the request began. */
  readonly callerService: string;
  /** Proof of the target that the answer is its own. */
  readonly signature: string;
  /** Present if the target states that it did not run the request. */
  readonly notRun: string;
}

/** What an entry asks of a home; it travels in one header. */
export interface HomeRequestMetadata {
  readonly id: string;
  readonly target: string;
  readonly incarnation: string;
  /** Milliseconds until the answer is of no use. */
  readonly timeout: number;
  /** Milliseconds for which it may wait for a slot. */
  readonly maxQueueWait: number;
  /** Run it even if the target is suspected. */
  readonly isForced: boolean;
  /** A suspected target may take it to show whether it has recovered. */
  readonly isTrial: boolean;
  /** It was sent to another target before. */
  readonly isRetry: boolean;
  readonly isIdempotent: boolean;
  readonly rank: number;
  readonly route: string;
  /** Latency in milliseconds that the operators ask for. */
  readonly goal: number;
  /** Daemon that took the request from its caller. */
  readonly entry: string;
  /** Configuration version by which the entry routed. */
  readonly version: number;
  /** State of the home's record that the entry knows. */
  readonly recordVersion: string;
}

/** Request as the home of a target got it from another daemon. */
export interface HomeRequest extends HomeRequestMetadata {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderPair[];
}

/** Gives the body of a request when the home asks for it, which is when it has a slot. */
export type BodyProvider = () => Promise<Buffer>;

/** Answer of a target whose body is still on its way. */
export type StreamedResponse = TargetAnswer & { readonly body: Readable };

/** Way to one target. */
export interface TargetConnection extends Disposable {
  /** Sends a request once; `timeout` in milliseconds. Throws a `TargetFailure`. */
  send(
    order: HomeRequest,
    body: Buffer,
    timeout: number,
    signal: AbortSignal,
  ): Promise<StreamedResponse>;
}
