/** Interfaces inside the daemon. */
import type { Readable } from 'node:stream';
import type {
  DaemonId,
  Incarnation,
  Location,
  RequestContext,
  ServiceName,
  TargetEntry,
  TargetId,
  TargetLoad,
} from '../api/index.js';

/** One header as name and value. */
export type HeaderPair = readonly [name: string, value: string];

/** Request that an entry sends to the home of the chosen target. */
export interface ForwardRequest {
  readonly context: RequestContext;
  readonly target: TargetId;
  /** The request must reach this incarnation of the target or be refused. */
  readonly targetIncarnation: Incarnation;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderPair[];
  /** Absent if the request has no body. An error on a stream means that the body was cut. */
  readonly body?: Readable | Buffer;
}

/** Answer of a target. The body ends only if it is complete; a cut body ends with an error. */
export interface ForwardAnswer {
  readonly status: number;
  readonly headers: readonly HeaderPair[];
  readonly load: TargetLoad;
  readonly body: Readable;
}

/**
 * Home of targets, in this process or at a peer.
 * `forward` throws `NotRunError` if the request never reached a target, else `OutcomeUnknownError`.
 */
export interface Home {
  forward(request: ForwardRequest, signal: AbortSignal): Promise<ForwardAnswer>;
}

/** What an entry knows of targets and their homes. */
export interface Directory {
  /** Targets of a service that may be chosen now. */
  candidates(service: ServiceName): readonly TargetEntry[];
  /** Peer address of a daemon, if it is known and alive. */
  addressOf(daemon: DaemonId): string | undefined;
}

/** Identity of this process. */
export interface Identity {
  readonly id: DaemonId;
  readonly incarnation: Incarnation;
  readonly location: Location;
  /** `host:port` of the peer server. */
  readonly address: string;
}
