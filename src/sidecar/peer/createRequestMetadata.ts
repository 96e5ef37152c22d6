import type { AttemptRequest, Candidate } from '../../common/dispatch/Types.js';
import type { HomeRequestMetadata } from '../Types.js';

/** Creates the metadata of an attempt at a candidate. */
export function createRequestMetadata(
  candidate: Candidate,
  attempt: AttemptRequest,
  entry: string,
): HomeRequestMetadata {
  const { route, id } = attempt.call;
  return {
    id,
    target: candidate.target,
    incarnation: candidate.incarnation,
    timeout: Math.round(attempt.timeout),
    maxQueueWait: Math.round(attempt.maxQueueWait),
    isForced: attempt.isForced,
    isTrial: attempt.isTrial,
    isRetry: attempt.isRetry,
    isIdempotent: route.isIdempotent,
    rank: route.rank,
    route: route.name,
    goal: route.goal,
    entry,
    version: attempt.version,
    recordVersion: candidate.recordVersion,
  };
}
