import { NotRunError, type Clock, type RandomSource } from '../../api/index.js';
import type { DispatchResult } from '../../common/operations/index.js';
import type { HistoryChecker } from './HistoryChecker.js';

/** Longest service time in milliseconds. */
const longestService = 400;

/** Request as the simulated fleet carries it. */
export interface SimulatedPayload {
  readonly attempt: number;
  readonly key: string;
  readonly content: string;
}

/** Shares of what a target does with an operation. */
export interface TargetFaults {
  /** Refuses before it starts. */
  refusedShare: number;
  /** Crashes after it started. */
  crashShare: number;
  /** Loses the request before it started, without a sign. */
  lostShare: number;
}

/** Targets of one service: each operation starts at one of them or is refused, lost or ended by a crash. */
export class SimulatedTargets {
  public readonly faults: TargetFaults = { refusedShare: 0.05, crashShare: 0.05, lostShare: 0.03 };

  public constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly history: HistoryChecker,
  ) {}

  /** Runs an operation on one target. */
  public run(payload: SimulatedPayload, timeout: number): Promise<DispatchResult> {
    return new Promise((resolve) => {
      const give = (delay: number, result: DispatchResult): void => {
        this.clock.after(delay, () => resolve(result));
      };
      const { refusedShare, crashShare, lostShare } = this.faults;
      this.clock.after(1 + this.random() * 20, () => {
        const draw = this.random();
        if (draw < refusedShare) give(1, { type: 'not-run', reason: 'queue-full', message: '' });
        else if (draw < refusedShare + lostShare) {
          give(timeout, { type: 'unknown', message: 'no answer' });
        } else {
          this.start(payload);
          const isCrash = draw < refusedShare + lostShare + crashShare;
          const body = new TextEncoder().encode(payload.content);
          const answer = { status: 200, headers: [], body };
          give(
            this.random() * longestService,
            isCrash ? { type: 'unknown', message: 'reset' } : { type: 'done', answer },
          );
        }
      });
    });
  }

  private start({ attempt, key }: SimulatedPayload): void {
    const at = this.clock.elapsed();
    const target = `t${Math.floor(this.random() * 8)}`;
    this.history.add({ type: 'started', at, attempt, key, target });
  }
}

/** Error of a connection that was refused: the request was certainly not delivered. */
export function connectionRefused(peer: string): NotRunError {
  return new NotRunError('connect-failed', 'connection refused', { step: 'simulation', peer });
}
