/** Types shared by the modules of the daemon. */
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
  /** Incarnation of the target; the request is refused if the target has another one. */
  readonly targetIncarnation: Incarnation;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderPair[];
  /** Absent if the request has no body. A stream that ends with an error means that the body is incomplete. */
  readonly body?: Readable | Buffer;
}

/** Answer of a target. An incomplete body ends with an error. */
export interface ForwardAnswer {
  readonly status: number;
  readonly headers: readonly HeaderPair[];
  readonly load: TargetLoad;
  readonly body: Readable;
}

/**
 * Home of targets, in this process or at a peer.
 * `forward` throws `NotRunError` if the request was not sent to a target, otherwise `OutcomeUnknownError`.
 */
export interface Home {
  forward(request: ForwardRequest, signal: AbortSignal): Promise<ForwardAnswer>;
}

/** Targets and homes known to an entry. */
export interface Directory {
  /** Targets of a service that may get new requests. */
  candidates(service: ServiceName): readonly TargetEntry[];
  /** Peer address of a daemon; undefined if the daemon is unknown. */
  addressOf(daemon: DaemonId): string | undefined;
}

/** Identity of this daemon process. */
export interface Identity {
  readonly id: DaemonId;
  readonly incarnation: Incarnation;
  readonly location: Location;
  /** `host:port` of the peer server. */
  readonly address: string;
}
