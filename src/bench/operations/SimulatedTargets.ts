import { NotRunError, type Clock, type RandomSource } from '../../api/index.js';
import type { DispatchResult } from '../../common/operations/index.js';
import type { HistoryChecker } from './HistoryChecker.js';

/** Maximum service time. */
const maxServiceTimeMs = 400;

/** Payload of a request in the simulated fleet. */
export interface SimulatedPayload {
  readonly attempt: number;
  readonly key: string;
  readonly content: string;
}

/** Shares of operations that fail at a target, by kind of failure. */
export interface TargetFaults {
  /** The target refuses the operation before it starts. */
  refusedShare: number;
  /** The target crashes after the operation has started. */
  crashShare: number;
  /** The request is lost before the operation starts, without an error. */
  lostShare: number;
}

/** Targets of one service: each operation runs to its end, is refused or lost, or is interrupted by a crash. */
export class SimulatedTargets {
  public readonly faults: TargetFaults = { refusedShare: 0.05, crashShare: 0.05, lostShare: 0.03 };

  public constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly history: HistoryChecker,
  ) {}

  /** Runs an operation on a random target. */
  public run(payload: SimulatedPayload, timeout: number): Promise<DispatchResult> {
    return new Promise((resolve) => {
      const resolveAfter = (delay: number, result: DispatchResult): void => {
        this.clock.after(delay, () => resolve(result));
      };
      const { refusedShare, crashShare, lostShare } = this.faults;
      this.clock.after(1 + this.random() * 20, () => {
        const draw = this.random();
        if (draw < refusedShare)
          resolveAfter(1, { type: 'not-run', reason: 'queue-full', message: '' });
        else if (draw < refusedShare + lostShare) {
          resolveAfter(timeout, { type: 'unknown', message: 'no answer' });
        } else {
          this.start(payload);
          const hasCrashed = draw < refusedShare + lostShare + crashShare;
          const body = new TextEncoder().encode(payload.content);
          const answer = { status: 200, headers: [], body };
          resolveAfter(
            this.random() * maxServiceTimeMs,
            hasCrashed ? { type: 'unknown', message: 'reset' } : { type: 'done', answer },
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

/** Error of a refused connection, which means that the request was not delivered. */
export function connectionRefused(peer: string): NotRunError {
  return new NotRunError('connect-failed', 'connection refused', { step: 'simulation', peer });
}
