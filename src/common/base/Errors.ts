/* eslint max-classes-per-file: "off" -- the error classes belong together */
/** Error classes. Each carries the step and the peer at which it occurred. */

/** Where an error occurred. */
export interface ErrorOrigin {
  /** Operation that failed, such as `store.transact` or `forward.connect`. */
  readonly step: string;
  /** Address or id of the remote side, if there is one. */
  readonly peer?: string;
  readonly cause?: unknown;
}

/** Base of all errors of the project. */
export class FleetError extends Error {
  public readonly step: string;

  public readonly peer: string | undefined;

  public constructor(message: string, origin: ErrorOrigin) {
    super(
      `${message} (step ${origin.step}${origin.peer === undefined ? '' : `, peer ${origin.peer}`})`,
      { cause: origin.cause },
    );
    this.name = new.target.name;
    this.step = origin.step;
    this.peer = origin.peer;
  }
}

/** Whether a failed write may have been applied. */
export type WriteOutcome = 'not-applied' | 'unknown';

/** A call to the store failed. */
export class StoreError extends FleetError {
  public constructor(
    message: string,
    public readonly outcome: WriteOutcome,
    origin: ErrorOrigin,
  ) {
    super(message, origin);
  }
}

/** Reason why a request was refused. */
export type RefusalReason =
  | 'no-route'
  | 'no-target'
  | 'queue-full'
  | 'deadline'
  | 'limit'
  | 'draining'
  | 'not-home'
  | 'suspect'
  | 'quarantined'
  | 'store-away'
  | 'connect-failed'
  | 'bad-request'
  | 'authority-away'
  | 'cancelled';

/** The request was refused and has not been run. */
export class NotRunError extends FleetError {
  public constructor(
    public readonly reason: RefusalReason,
    message: string,
    origin: ErrorOrigin,
  ) {
    super(message, origin);
  }
}

/** The request may or may not have been run. */
export class OutcomeUnknownError extends FleetError {}

/** Input of an operator or the content of a file is invalid. */
export class InvalidInputError extends FleetError {
  public constructor(
    public readonly problems: readonly string[],
    origin: ErrorOrigin,
  ) {
    super(problems.join('\n'), origin);
  }
}
