import { status } from '@grpc/grpc-js';
import type { ServiceError } from '@grpc/grpc-js';
import type { WriteOutcome } from '../../src/api/index.js';

/**
 * Codes with which the store rejects a request before it runs. RESOURCE_EXHAUSTED is not among them, because the
 * library also uses it for an answer that is too large.
 */
const rejections: ReadonlySet<status> = new Set([
  status.INVALID_ARGUMENT,
  status.NOT_FOUND,
  status.FAILED_PRECONDITION,
  status.OUT_OF_RANGE,
  status.UNIMPLEMENTED,
  status.UNAUTHENTICATED,
  status.PERMISSION_DENIED,
]);

/** Tells whether a write that failed with `error` after it was sent can have taken effect. */
export function outcomeOf(error: ServiceError): WriteOutcome {
  return rejections.has(error.code) ? 'not-applied' : 'unknown';
}

/** Tells whether another member of the store may answer where this one failed. */
export function isEndpointFailure(error: ServiceError): boolean {
  return error.code === status.UNAVAILABLE || error.code === status.DEADLINE_EXCEEDED;
}
