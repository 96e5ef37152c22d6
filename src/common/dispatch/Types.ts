/* eslint max-classes-per-file: "off" -- the error classes belong together */
/** Types for dispatching requests from the entry to the homes of targets. */
import type { Readable } from 'node:stream';
import {
  NotRunError,
  OutcomeUnknownError,
  type DaemonId,
  type DataCentre,
  type ErrorOrigin,
  type Incarnation,
  type RefusalReason,
  type Region,
  type RequestId,
  type ServiceName,
  type TargetId,
} from '../base/index.js';
import type { TrafficRoute } from '../routing/TrafficTypes.js';

/** One header as name and value. */
export type HeaderPair = readonly [name: string, value: string];

/** Request of a caller after routing, with its whole body. */
export interface IncomingCall {
  /** Id of the request for the caller, the targets and the log. */
  readonly id: RequestId;
  readonly route: TrafficRoute;
  readonly service: ServiceName;
  readonly method: string;
  /** Path with query, as the caller sent it. */
  readonly path: string;
  readonly headers: readonly HeaderPair[];
  readonly body: Buffer;
  /** Milliseconds until the caller or the route gives up. */
  readonly timeout: number;
}

/** Load and health of a target as reported by its home. */
export interface TargetCondition {
  /** Running requests that are not stuck. */
  readonly running: number;
  readonly queued: number;
  /** Slots that are not held by stuck requests. */
  readonly slots: number;
  /** Mean service time in milliseconds. */
  readonly work: number;
  /** Log-odds that the target hangs or fails most of its requests. */
  readonly sickness: number;
  /** Milliseconds since the target last got a request; undefined if its home does not report it. */
  readonly idle?: number;
  /** Limit of the rate at which it takes requests; undefined without one. */
  readonly limit?: RateCondition;
}

/** State of a rate limit. */
export interface RateCondition {
  /** Milliseconds between requests. */
  readonly interval: number;
  /** Milliseconds until another request could start. */
  readonly wait: number;
}

/** Condition of a target that one daemon passes on to another. */
export interface ConditionReport {
  readonly target: TargetId;
  readonly condition: TargetCondition;
  /** Milliseconds since the home of the target reported it. */
  readonly age: number;
}

/** Request for one attempt, sent to the home of a target. */
export interface AttemptRequest {
  readonly call: IncomingCall;
  readonly target: TargetId;
  readonly incarnation: Incarnation;
  /** Milliseconds until the caller gives up. */
  readonly timeout: number;
  /** Maximum wait for a slot in milliseconds. */
  readonly maxQueueWait: number;
  /** Run the request even if the target is suspected, since no better one is left. */
  readonly isForced: boolean;
  /** May run at a suspected target, to detect whether it has recovered; another target can still answer. */
  readonly isTrial: boolean;
  /** The request was sent to another target before, so it counts against the retry budget. */
  readonly isRetry: boolean;
  /** Version of the configuration by which the request was routed. */
  readonly version: number;
  /** Called when the request may start to run. */
  readonly onStart: () => void;
}

/** Answer of a target. A buffered body is complete; a streamed one ends with an error if it is truncated. */
export interface TargetAnswer {
  readonly status: number;
  readonly headers: readonly HeaderPair[];
  readonly body: Buffer | Readable;
  readonly condition?: TargetCondition;
  /** Bytes of the exchange with another daemon, both ways and with all headers. */
  readonly transferred?: number;
}

/** A home refused the request, which was not run. */
export class HomeRefusalError extends NotRunError {
  public constructor(
    reason: RefusalReason,
    message: string,
    origin: ErrorOrigin,
    public readonly details: {
      readonly condition?: TargetCondition;
      /** Milliseconds after which a retry may succeed. */
      readonly retryAfter?: number;
      /** The target itself refused, so the request counts as sent there. */
      readonly hasReachedTarget?: boolean;
    } = {},
  ) {
    super(reason, message, origin);
  }
}

/** No answer came before the route's timeout or the caller's deadline. */
export class DeadlineError extends OutcomeUnknownError {}

/** A target that can run a request, with its state as known to this daemon. */
export interface Candidate {
  readonly daemon: DaemonId;
  /** Version of the home's record that lists the target. */
  readonly recordVersion: string;
  /** `host:port` of the home. */
  readonly address: string;
  /** Newest encoding of forwarded requests that the home reads. */
  readonly encoding: number;
  readonly region: Region;
  readonly dataCentre: DataCentre;
  readonly target: TargetId;
  readonly incarnation: Incarnation;
  readonly slots: number;
  /** Number of requests of this daemon that run or wait there. */
  readonly inFlight: number;
  readonly condition?: TargetCondition;
  /** Milliseconds since `condition` was learned. */
  readonly age: number;
  /** Milliseconds since the target last got a request, as far as is known; undefined if nothing is known of it. */
  readonly idle?: number;
}

/** Sends an attempt to a home; throws `HomeRefusalError` if it was not run, otherwise `OutcomeUnknownError`. */
export type AttemptSender = (
  candidate: Candidate,
  request: AttemptRequest,
  signal: AbortSignal,
) => Promise<TargetAnswer>;
