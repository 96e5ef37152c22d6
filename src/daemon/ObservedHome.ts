import { NotRunError, type Clock, type DaemonId } from '../api/index.js';
import type { PathOutcome, PathTracker } from '../common/health/index.js';
import type { ForwardAnswer, ForwardRequest, Home } from './Types.js';

/** Dependencies of an observed home. */
export interface ObservedHomeOptions {
  readonly daemon: DaemonId;
  readonly paths: PathTracker;
  readonly clock: Clock;
}

/** Steps of errors that were sent by the peer, which proves that the path to it works. */
const remoteErrorSteps: ReadonlySet<string> = new Set(['forward.target']);

function classify(error: unknown): PathOutcome {
  if (error instanceof NotRunError && error.reason === 'connect-failed') return 'connect-failed';
  return 'reset';
}

/** Records for each request whether the path to a home at a peer worked, independently of the target's result. */
export class ObservedHome implements Home {
  public constructor(
    private readonly home: Home,
    private readonly observation: ObservedHomeOptions,
  ) {}

  public async forward(request: ForwardRequest, signal: AbortSignal): Promise<ForwardAnswer> {
    const startedAt = this.observation.clock.elapsed();
    try {
      const answer = await this.home.forward(request, signal);
      this.record('reached', startedAt);
      return answer;
    } catch (error) {
      const step = error instanceof Error && 'step' in error ? String(error.step) : '';
      if (remoteErrorSteps.has(step)) this.record('reached', startedAt);
      // A cancelled request is no evidence about the path: the target may have been slow.
      else if (!signal.aborted) this.record(classify(error), startedAt);
      throw error;
    }
  }

  private record(outcome: PathOutcome, startedAt: number): void {
    const { paths, daemon, clock } = this.observation;
    paths.record(daemon, outcome, clock.elapsed(), startedAt);
  }
}
