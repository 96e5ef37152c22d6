/** Milliseconds after a stop began until two readiness checks, one second apart, have failed. */
const readinessTime = 2_700;
/** Maximum milliseconds reserved for sending the last responses, and again for ending the process. */
const maxReserve = 400;
/** Share of the grace period that such a reserve takes at most; both leave more than five sixths to running requests. */
const reserveShare = 0.07;
/** Share of the grace period in which callers are still accepted at most, so that the rest is left for their requests. */
const acceptShare = 0.45;

/** Milliseconds from the beginning of a graceful shutdown. */
export interface StopSchedule {
  /** End of accepting callers. */
  readonly acceptUntil: number;
  /** Every request has its final response. */
  readonly respondBy: number;
  /** End of waiting for responses to be written; the daemon leaves the fleet and closes its sockets. */
  readonly closeBy: number;
}

/** Divides the grace period, in milliseconds, after which the process is killed. */
export function createStopSchedule(grace: number): StopSchedule {
  const reserve = Math.min(maxReserve, grace * reserveShare);
  const closeBy = grace - reserve;
  return {
    acceptUntil: Math.min(readinessTime, grace * acceptShare),
    respondBy: closeBy - reserve,
    closeBy,
  };
}
