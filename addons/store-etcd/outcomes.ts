import { status } from '@grpc/grpc-js';
import type { ServiceError } from '@grpc/grpc-js';
import type { WriteOutcome } from '../../src/api/index.js';

/**
 * Status codes with which the store rejects a request before running it. RESOURCE_EXHAUSTED is not among them,
 * because grpc-js also reports it for a response that is too large.
 */
const rejectionCodes: ReadonlySet<status> = new Set([
  status.INVALID_ARGUMENT,
  status.NOT_FOUND,
  status.FAILED_PRECONDITION,
  status.OUT_OF_RANGE,
  status.UNIMPLEMENTED,
  status.UNAUTHENTICATED,
  status.PERMISSION_DENIED,
]);

/** Outcome of a write that failed with `error` after it was sent. */
export function outcomeOf(error: ServiceError): WriteOutcome {
  return rejectionCodes.has(error.code) ? 'not-applied' : 'unknown';
}

/** Tells whether the call failed at this store member, so that another member may succeed. */
export function isEndpointFailure(error: ServiceError): boolean {
  return error.code === status.UNAVAILABLE || error.code === status.DEADLINE_EXCEEDED;
}
