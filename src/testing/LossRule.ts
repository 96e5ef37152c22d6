/** Bounds of the rule in milliseconds, as the platform states them. */
export interface LossBounds {
  /** Time from SIGTERM until the platform kills the process. */
  readonly grace: number;
  /** Time after its last byte in which a request may cross the close of its connection unread. */
  readonly lossSlack: number;
  /** Time after an unplanned fault in which it still excuses a loss. */
  readonly stableWindow: number;
  /** Time after a reload in which requests still count as sent around it. */
  readonly reloadWindow: number;
}

/** Work of a target on a request. */
export interface TargetRun {
  readonly target: string;
  readonly startedAt: number;
  /** Dropped: its connection was closed before the answer. Broken off: the target itself failed to answer. */
  end: { readonly type: 'answered' | 'broken-off' | 'dropped'; readonly time: number } | undefined;
}

/** End of a request as its caller saw it. */
export interface CallerEnd {
  /** Failed: answered with an error that bears no signature of a target. */
  readonly type: 'answered' | 'failed' | 'truncated' | 'closed' | 'gave-up';
  readonly time: number;
}

/** Request with what its caller and the targets saw of it; times are in milliseconds. */
export interface ObservedRequest {
  /** VM of the daemon to which it was sent. */
  readonly vm: string;
  /** Lesser of the timeout of its route and the patience of its caller. */
  readonly timeout: number;
  /** Time at which its last byte was written; undefined if it was not written whole. */
  readonly sentAt: number | undefined;
  readonly end: CallerEnd | undefined;
  readonly runs: readonly TargetRun[];
}

/** Planned work or an unplanned fault at a VM. */
export interface VmEvent {
  readonly type: 'stop' | 'reload' | 'fault';
  readonly vm: string;
  readonly from: number;
  readonly to: number;
}

/** Milliseconds after the end of the grace period in which a loss still belongs to the stop. */
const stopAftermath = 1_000;
/** Milliseconds after SIGTERM until which a request may count on its target having time. */
const lateRequestLimit = 3_000;
/** Fraction of the grace period after which a target that is still at work excuses the end of its request. */
const workLimit = 5 / 6;

/**
 * Describes the loss of a request around planned work, if it is one: the daemon was sent the whole request and ended
 * its connection without a complete answer, or after SIGTERM broke off the work of its target and answered itself.
 */
export function findLoss(
  { vm, timeout, sentAt, end, runs }: ObservedRequest,
  events: readonly VmEvent[],
  { grace, lossSlack, stableWindow, reloadWindow }: LossBounds,
): string | undefined {
  if (sentAt === undefined || end === undefined) return undefined;
  const isCut = end.type === 'closed' || end.type === 'truncated';
  if (!isCut && end.type !== 'failed') return undefined;
  const hasExpired = end.time - sentAt >= timeout;
  const wasBrokenOff = runs.some((run) => run.end?.type === 'broken-off');
  if (hasExpired || wasBrokenOff) return undefined;

  const overlapping = events.filter(
    ({ from, to }) => from <= end.time && to >= sentAt - stableWindow,
  );
  if (overlapping.some(({ type, vm: at }) => type === 'fault' && (at === vm || !isCut))) {
    return undefined;
  }
  const own = events.filter((event) => event.vm === vm && event.from <= end.time);
  const stop = own.findLast(
    ({ type, from }) => type === 'stop' && end.time <= from + grace + stopAftermath,
  );
  const reload = own.findLast(
    ({ type, from }) => type === 'reload' && sentAt <= from + reloadWindow,
  );
  const work = stop ?? (isCut ? reload : undefined);
  if (work === undefined) return undefined;
  const wasPassedOn = runs.length > 0 || end.time - sentAt > lossSlack;
  if (!wasPassedOn) return undefined;

  const limit = work.from + grace * workLimit;
  const isAtWork = runs.some(
    (run) => run.startedAt <= end.time && (run.end === undefined || run.end.time >= limit),
  );
  const isEarly = sentAt <= work.from + lateRequestLimit;
  if (work === stop && isEarly && end.time >= limit && isAtWork) return undefined;
  if (!isCut) {
    // The failure may be that of another VM, whose stop ends the work of its own target.
    if (overlapping.some(({ type, vm: at }) => type === 'stop' && at !== vm)) return undefined;
    const wasBusy = runs.some(
      (run) => run.end === undefined || run.end.type === 'dropped' || run.end.time > end.time,
    );
    if (!wasBusy) return undefined;
  }
  const ending = isCut
    ? `${end.type} without a complete answer`
    : 'answered in place of its target';
  return `sent to ${vm} ${sentAt - work.from} ms after its ${work.type}, ${ending} ${end.time - sentAt} ms later, runs: ${runs.length}`;
}
