import type { Disposable } from '../../api/index.js';
import { hop, type Fleet, type SimulatedTarget } from './Fleet.js';
import type { SimulatedEntry, SimulatedRequest, SimulatedResult } from './Types.js';

/** Chooses the target of a baseline by its index. */
export type BaselineChoice = (outstanding: readonly number[], avoid: ReadonlySet<number>) => number;

/** Targets in turn. */
export function createRoundRobin(start: number): BaselineChoice {
  let next = start;
  return (outstanding, avoid) => {
    do next = (next + 1) % outstanding.length;
    while (avoid.has(next) && avoid.size < outstanding.length);
    return next;
  };
}

/** Target with the fewest requests of this entry, ties at random. */
export function createLeastOutstanding(random: () => number): BaselineChoice {
  return (outstanding, avoid) => {
    const open = outstanding.map((_, index) => index).filter((index) => !avoid.has(index));
    const pool = open.length > 0 ? open : outstanding.map((_, index) => index);
    const least = Math.min(...pool.map((index) => outstanding[index] ?? 0));
    const best = pool.filter((index) => outstanding[index] === least);
    return best[Math.floor(random() * best.length)] ?? 0;
  };
}

/** Entry that sends straight to a target and repeats failed idempotent requests a fixed number of times. */
export class BaselineEntry implements SimulatedEntry {
  private readonly outstanding: number[];

  public constructor(
    private readonly fleet: Fleet,
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
    tried: ReadonlySet<number>,
    done: (result: SimulatedResult) => void,
  ): void {
    const index = this.choose(this.outstanding, tried);
    const chosen = this.fleet.targets[index];
    if (chosen === undefined) return;
    this.outstanding[index] = (this.outstanding[index] ?? 0) + 1;
    this.run(chosen, request, (type) => {
      this.outstanding[index] = (this.outstanding[index] ?? 0) - 1;
      const latency = this.fleet.clock.elapsed() - request.arrived;
      const mayRetry = type === 'failed' && request.kind.isIdempotent && tried.size < this.retries;
      if (mayRetry) this.attempt(request, new Set([...tried, index]), done);
      else done({ type, latency, retryAfter: 0 });
    });
  }

  private run(
    { target }: SimulatedTarget,
    request: SimulatedRequest,
    done: (type: SimulatedResult['type']) => void,
  ): void {
    const { clock } = this.fleet;
    let isOver = false;
    let job: Disposable | undefined;
    const finish = (type: SimulatedResult['type']): void => {
      if (isOver) return;
      isOver = true;
      done(type);
    };
    this.fleet.attempts += 1;
    this.fleet.starts += 1;
    clock.after(hop, () => {
      job = target.submit(request.work, ({ kind }) => {
        clock.after(hop, () => finish(kind === 'success' ? 'answered' : 'failed'));
      });
    });
    const left = request.arrived + request.kind.timeout - clock.elapsed();
    clock.after(left, () => {
      if (!isOver) job?.dispose();
      finish('timeout');
    });
  }
}
