import { FleetError, type Clock, type Disposable } from '../base/index.js';

/** Contenders that start together, if none has succeeded until then. */
export interface RaceStage<Contender> {
  /** Milliseconds after the start of the race; sooner if all contenders before have failed. */
  readonly delay: number;
  /** Milliseconds by which the stage starts later at most while a contender receives its response. */
  readonly maxPostponement: number;
  /** Called when the stage starts. */
  readonly contenders: () => readonly Contender[];
}

/** Runs one contender; `onProgress` tells that parts of its response arrive. */
export type ContenderRun<Contender, Result> = (
  contender: Contender,
  signal: AbortSignal,
  onProgress: () => void,
) => Promise<Result>;

/** Milliseconds after a part of a response in which the next part should arrive. */
export const progressInterval = 300;

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

  private progressedAt = -Infinity;

  private readonly recordProgress = (): void => {
    this.progressedAt = this.clock.elapsed();
  };

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
    private readonly run: ContenderRun<Contender, Result>,
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
    if (following !== undefined) this.schedule(following, this.startedAt + following.delay);
  }

  /** Starts a stage at a time, or later while a contender receives its response: more transfers would slow that one down. */
  private schedule(stage: RaceStage<Contender>, time: number): void {
    this.timer = this.clock.after(Math.max(0, time - this.clock.elapsed()), () => {
      const latest = this.startedAt + stage.delay + stage.maxPostponement;
      const postponed = Math.min(latest, this.progressedAt + progressInterval);
      if (postponed > this.clock.elapsed()) this.schedule(stage, postponed);
      else this.startNextStage();
    });
  }

  private async start(contender: Contender, stage: number): Promise<void> {
    const abort = new AbortController();
    this.running.set(contender, { stage, abort });
    try {
      const result = await this.run(contender, abort.signal, this.recordProgress);
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
 * Runs the contenders of one stage after the other until one succeeds, and aborts the others then. A stage is postponed
 * while a contender receives its response. Rejects with the first error if all have failed, and at once if `signal` is
 * aborted.
 */
export function raceStages<Contender, Result>(
  stages: readonly RaceStage<Contender>[],
  run: ContenderRun<Contender, Result>,
  clock: Clock,
  signal: AbortSignal,
): Promise<RaceWin<Contender, Result>> {
  return new Promise((resolve, reject) => {
    new Race(stages, run, clock, signal, resolve, reject).begin();
  });
}
