import type { Disposable } from '../../api/index.js';
import { hopLatencyMs, type AdmissionFleet, type SimulatedTarget } from './AdmissionFleet.js';
import type { SimulatedEntry, SimulatedRequest, SimulatedResult } from './Types.js';

/** Returns the index of the target that a baseline chooses; `avoid` holds the targets already tried. */
export type BaselineChoice = (outstanding: readonly number[], avoid: ReadonlySet<number>) => number;

/** Round robin that begins after the target at `start`. */
export function createRoundRobin(start: number): BaselineChoice {
  let next = start;
  return (outstanding, avoid) => {
    do next = (next + 1) % outstanding.length;
    while (avoid.has(next) && avoid.size < outstanding.length);
    return next;
  };
}

/** Target with the fewest outstanding requests of this entry; ties are broken at random. */
export function createLeastOutstanding(random: () => number): BaselineChoice {
  return (outstanding, avoid) => {
    const untried = outstanding.map((_, index) => index).filter((index) => !avoid.has(index));
    const eligible = untried.length > 0 ? untried : outstanding.map((_, index) => index);
    const least = Math.min(...eligible.map((index) => outstanding[index] ?? 0));
    const best = eligible.filter((index) => outstanding[index] === least);
    return best[Math.floor(random() * best.length)] ?? 0;
  };
}

/** Entry that sends directly to a target and retries failed idempotent requests up to a fixed number of times. */
export class BaselineEntry implements SimulatedEntry {
  private readonly outstanding: number[];

  public constructor(
    private readonly fleet: AdmissionFleet,
    private readonly choose: BaselineChoice,
    private readonly retries: number,
  ) {
    this.outstanding = fleet.targets.map(() => 0);
  }

  public send(request: SimulatedRequest, done: (result: SimulatedResult) => void): void {
    this.attempt(request, new Set(), done);
  }

  private attempt(
    request: SimulatedRequest,
    triedTargets: ReadonlySet<number>,
    done: (result: SimulatedResult) => void,
  ): void {
    const index = this.choose(this.outstanding, triedTargets);
    const chosen = this.fleet.targets[index];
    if (chosen === undefined) return;
    this.outstanding[index] = (this.outstanding[index] ?? 0) + 1;
    this.run(chosen, request, (type) => {
      this.outstanding[index] = (this.outstanding[index] ?? 0) - 1;
      const latency = this.fleet.clock.elapsed() - request.arrivedAt;
      const mayRetry =
        type === 'failed' && request.kind.isIdempotent && triedTargets.size < this.retries;
      if (mayRetry) this.attempt(request, new Set([...triedTargets, index]), done);
      else done({ type, latency, retryAfter: 0 });
    });
  }

  private run(
    { target }: SimulatedTarget,
    request: SimulatedRequest,
    done: (type: SimulatedResult['type']) => void,
  ): void {
    const { clock } = this.fleet;
    let isFinished = false;
    let job: Disposable | undefined;
    const finish = (type: SimulatedResult['type']): void => {
      if (isFinished) return;
      isFinished = true;
      done(type);
    };
    this.fleet.attempts += 1;
    this.fleet.starts += 1;
    clock.after(hopLatencyMs, () => {
      job = target.submit(request.serviceTime, ({ kind }) => {
        clock.after(hopLatencyMs, () => finish(kind === 'success' ? 'answered' : 'failed'));
      });
    });
    const remaining = request.arrivedAt + request.kind.timeout - clock.elapsed();
    clock.after(remaining, () => {
      if (!isFinished) job?.dispose();
      finish('timeout');
    });
  }
}
