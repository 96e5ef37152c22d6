/* eslint max-classes-per-file: "off" -- the error classes belong together */
/** Types of dispatching requests from the daemon that took them to the homes of targets. */
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
  /** Id under which the caller, the targets and the log know the request. */
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

/** Load and health of a target as its home sees it. */
export interface TargetCondition {
  /** Requests that run and are not stuck. */
  readonly running: number;
  readonly queued: number;
  /** Slots that are not held by stuck requests. */
  readonly slots: number;
  /** Mean milliseconds in a slot. */
  readonly work: number;
  /** Log-odds that the target hangs or fails most of its requests. */
  readonly sickness: number;
}

/** Condition of a target as one daemon passes it on to another. */
export interface ConditionReport {
  readonly target: TargetId;
  readonly condition: TargetCondition;
  /** Milliseconds since the home of the target reported it. */
  readonly age: number;
}

/** What the home of a target is asked to do. */
export interface AttemptRequest {
  readonly call: IncomingCall;
  readonly target: TargetId;
  readonly incarnation: Incarnation;
  /** Milliseconds until the answer is of no use. */
  readonly timeout: number;
  /** Milliseconds for which the request may wait for a slot. */
  readonly maxQueueWait: number;
  /** Run it even if the target is suspected: no better one is left. */
  readonly isForced: boolean;
  /** A suspected target may take it to show whether it has recovered; another target can still answer. */
  readonly isTrial: boolean;
  /** The request was sent to another target before, so it draws on the retry budget. */
  readonly isRetry: boolean;
  /** Version of the configuration by which the request was routed. */
  readonly version: number;
  /** Called at the moment from which the request may run. */
  readonly onStart: () => void;
}

/** Answer of a target. A buffered body is whole; a streamed one ends with an error if it is cut. */
export interface TargetAnswer {
  readonly status: number;
  readonly headers: readonly HeaderPair[];
  readonly body: Buffer | Readable;
  readonly condition?: TargetCondition;
}

/** A home did not run the request. */
export class HomeRefusalError extends NotRunError {
  public constructor(
    reason: RefusalReason,
    message: string,
    origin: ErrorOrigin,
    public readonly details: {
      readonly condition?: TargetCondition;
      /** Milliseconds after which another try can succeed. */
      readonly retryAfter?: number;
      /** The target itself refused, so the request counts as sent there. */
      readonly hasReachedTarget?: boolean;
      /** The home could not be reached. */
      readonly isUnreachable?: boolean;
    } = {},
  ) {
    super(reason, message, origin);
  }
}

/** A home gave no sign of life after a request was sent to it. */
export class HomeUnresponsiveError extends OutcomeUnknownError {}

/** No answer came before the route's timeout or the caller's deadline. */
export class DeadlineError extends OutcomeUnknownError {}

/** A target that could run a request, with what this daemon knows of it. */
export interface Candidate {
  readonly daemon: DaemonId;
  /** State of the home's record from which this daemon knows the target. */
  readonly recordVersion: string;
  /** `host:port` of the home. */
  readonly address: string;
  readonly region: Region;
  readonly dataCentre: DataCentre;
  readonly target: TargetId;
  readonly incarnation: Incarnation;
  readonly slots: number;
  /** Requests of this daemon that run or wait there. */
  readonly inFlight: number;
  readonly condition?: TargetCondition;
  /** Milliseconds since `condition` was learned. */
  readonly age: number;
}

/** Runs an order at a home; throws `HomeRefusalError` if it was not run, else `OutcomeUnknownError`. */
export type AttemptSender = (
  candidate: Candidate,
  order: AttemptRequest,
  signal: AbortSignal,
) => Promise<TargetAnswer>;
