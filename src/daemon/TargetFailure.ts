import {
  FleetError,
  type NotRunError,
  type OutcomeKind,
  type OutcomeUnknownError,
} from '../api/index.js';

/** A target gave no valid answer; `error` is the error reported to the entry. */
export class TargetFailure extends FleetError {
  public constructor(
    public readonly kind: OutcomeKind,
    public readonly error: NotRunError | OutcomeUnknownError,
  ) {
    super(error.message, error);
  }
}
