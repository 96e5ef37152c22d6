import {
  FleetError,
  type NotRunError,
  type OutcomeKind,
  type OutcomeUnknownError,
} from '../api/index.js';

/** A target gave no usable answer; `error` is what the entry is told. */
export class TargetFailure extends FleetError {
  public constructor(
    public readonly kind: OutcomeKind,
    public readonly error: NotRunError | OutcomeUnknownError,
  ) {
    super(error.message, error);
  }
}
