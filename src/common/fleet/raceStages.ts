import { FleetError, type Clock, type Disposable } from '../base/index.js';

/** Contenders that start together, if none has succeeded until then. */
export interface RaceStage<Contender> {
  /** Milliseconds after the start of the race; sooner if all contenders before have failed. */
  readonly delay: number;
  /** Called when the stage starts. */
  readonly contenders: () => readonly Contender[];
}

/** First success of a race. */
export interface RaceWin<Contender, Result> {
  readonly contender: Contender;
  readonly result: Result;
  /** Contenders of earlier stages that were still running. */
  readonly overtaken: readonly Contender[];
}

/** Contender that runs. */
interface Runner {
  readonly stage: number;
  readonly abort: AbortController;
}

/** One race; see `raceStages`. */
class Race<Contender, Result> {
  private readonly running = new Map<Contender, Runner>();

  private hasEnded = false;

  private readonly startedAt: number;

  private next = 0;

  private timer: Disposable | undefined;

  private firstError: unknown;

  private readonly cancel = (): void => {
    this.end();
    this.reject(new FleetError('the read was cancelled', { step: 'fleet.race' }));
  };

  public constructor(
    private readonly stages: readonly RaceStage<Contender>[],
    private readonly run: (contender: Contender, signal: AbortSignal) => Promise<Result>,
    private readonly clock: Clock,
    private readonly signal: AbortSignal,
    private readonly resolve: (win: RaceWin<Contender, Result>) => void,
    private readonly reject: (error: unknown) => void,
  ) {
    this.startedAt = clock.elapsed();
  }

  public begin(): void {
    this.signal.addEventListener('abort', this.cancel, { once: true });
    if (this.signal.aborted) this.cancel();
    else this.startNextStage();
  }

  private startNextStage(): void {
    this.timer?.dispose();
    const stage = this.stages[this.next];
    if (stage === undefined) {
      if (this.running.size === 0) this.fail();
      return;
    }
    const index = this.next;
    this.next += 1;
    stage.contenders().forEach((contender) => {
      void this.start(contender, index);
    });
    if (this.running.size === 0) {
      this.startNextStage();
      return;
    }
    const following = this.stages[this.next];
    if (following === undefined) return;
    const delay = this.startedAt + following.delay - this.clock.elapsed();
    this.timer = this.clock.after(Math.max(0, delay), () => this.startNextStage());
  }

  private async start(contender: Contender, stage: number): Promise<void> {
    const abort = new AbortController();
    this.running.set(contender, { stage, abort });
    try {
      const result = await this.run(contender, abort.signal);
      if (this.hasEnded) return;
      const overtaken = [...this.running].flatMap(([other, runner]) =>
        runner.stage < stage ? [other] : [],
      );
      this.running.delete(contender);
      this.end();
      this.resolve({ contender, result, overtaken });
    } catch (error) {
      if (this.hasEnded) return;
      this.firstError ??= error;
      this.running.delete(contender);
      if (this.running.size === 0) this.startNextStage();
    }
  }

  private fail(): void {
    this.end();
    this.reject(this.firstError ?? new FleetError('nothing to read from', { step: 'fleet.race' }));
  }

  private end(): void {
    this.timer?.dispose();
    this.signal.removeEventListener('abort', this.cancel);
    this.hasEnded = true;
    this.running.forEach(({ abort }) => abort.abort());
  }
}

/**
 * Runs the contenders of one stage after the other until one succeeds, and aborts the others then. Rejects with the first
 * error if all have failed, and at once if `signal` is aborted.
 */
export function raceStages<Contender, Result>(
  stages: readonly RaceStage<Contender>[],
  run: (contender: Contender, signal: AbortSignal) => Promise<Result>,
  clock: Clock,
  signal: AbortSignal,
): Promise<RaceWin<Contender, Result>> {
  return new Promise((resolve, reject) => {
    new Race(stages, run, clock, signal, resolve, reject).begin();
  });
}
