import { NotRunError, type Clock, type DaemonId } from '../api/index.js';
import type { PathOutcome, PathTracker } from '../common/health/index.js';
import type { ForwardAnswer, ForwardRequest, Home } from './Types.js';

/** What an observed home depends on. */
export interface ObservedHomeOptions {
  readonly daemon: DaemonId;
  readonly paths: PathTracker;
  readonly clock: Clock;
}

/** Steps of errors that the other side has sent; they show that the path works. */
const answeredSteps: ReadonlySet<string> = new Set(['forward.target']);

function classify(error: unknown): PathOutcome {
  if (error instanceof NotRunError && error.reason === 'connect-failed') return 'connect-failed';
  return 'reset';
}

/** Adds path evidence to a home at a peer: whether the hop to it worked, not whether its target did. */
export class ObservedHome implements Home {
  public constructor(
    private readonly home: Home,
    private readonly observation: ObservedHomeOptions,
  ) {}

  public async forward(request: ForwardRequest, signal: AbortSignal): Promise<ForwardAnswer> {
    try {
      const answer = await this.home.forward(request, signal);
      this.record('reached');
      return answer;
    } catch (error) {
      const step = error instanceof Error && 'step' in error ? String(error.step) : '';
      if (answeredSteps.has(step)) this.record('reached');
      // A cancelled hop says nothing: the target may have been slow.
      else if (!signal.aborted) this.record(classify(error));
      throw error;
    }
  }

  private record(outcome: PathOutcome): void {
    const { paths, daemon, clock } = this.observation;
    paths.record(daemon, outcome, clock.elapsed());
  }
}
