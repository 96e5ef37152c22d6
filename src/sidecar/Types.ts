/** Interfaces of the sidecar daemon. */
import type { Readable } from 'node:stream';
import type { Disposable } from '../api/index.js';
import type { HeaderPair, TargetAnswer } from '../common/dispatch/Types.js';

/** Lower-case names of the headers that the platform defines for callers and targets. */
export interface HeaderNames {
  /** Request id, set by the caller and echoed by the target. */
  readonly requestId: string;
  /** Milliseconds until the sender gives up. */
  readonly timeout: string;
  /** Id of the target that must run the request. */
  readonly expectedTarget: string;
  /** Service of the VM that sent the request. */
  readonly callerService: string;
  /** Signature that proves that the response comes from the target. */
  readonly signature: string;
  /** Present if the target did not run the request. */
  readonly notRun: string;
  /** Requests per second that the target takes from all daemons together. */
  readonly rateLimit: string;
  /** `1` if the target leaves and must get no new requests. */
  readonly leaving: string;
}

/** Metadata of a request that an entry forwards to a home, sent in one header. */
export interface HomeRequestMetadata {
  readonly id: string;
  readonly target: string;
  readonly incarnation: string;
  /** Milliseconds until the entry no longer needs the response. */
  readonly timeout: number;
  /** Milliseconds for which the request may wait for a slot. */
  readonly maxQueueWait: number;
  /** Run the request even if the target is suspected of being unhealthy. */
  readonly isForced: boolean;
  /** The request may be sent to a suspected target to check whether it has recovered. */
  readonly isTrial: boolean;
  /** The request was already sent to another target. */
  readonly isRetry: boolean;
  readonly isIdempotent: boolean;
  /** Priority; 0 is served first. */
  readonly rank: number;
  readonly route: string;
  /** Target latency of the route in milliseconds. */
  readonly goal: number;
  /** Id of the daemon that received the request from its caller. */
  readonly entry: string;
  /** Configuration version by which the entry routed. */
  readonly version: number;
  /** Version of the home's record that the entry has. */
  readonly recordVersion: string;
}

/** A request that a home received from an entry. */
export interface HomeRequest extends HomeRequestMetadata {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderPair[];
}

/** Receives the body of a request; called once the request has a slot. Calls `onProgress` for each part that arrives. */
export type BodyProvider = (onProgress: () => void) => Promise<Buffer>;

/** Response of a target with a streamed body. */
export type StreamedResponse = TargetAnswer & { readonly body: Readable };

/** Connection to one target. */
export interface TargetConnection extends Disposable {
  /** Sends a request without retries; `timeout` in milliseconds. Throws `TargetFailure`. */
  send(
    order: HomeRequest,
    body: Buffer,
    timeout: number,
    signal: AbortSignal,
  ): Promise<StreamedResponse>;
}
