import type { Clock, TargetOutcome } from '../api/index.js';
import type { Standing } from './FleetTraffic.js';

/** Names of the baselines of the detection scenarios. */
export type BaselineName = 'consecutive failures' | 'error rate';

/** Milliseconds of a hold, as is common for outlier ejection. */
const holdTime = 30_000;
/** Errors in a row that eject. */
const failuresInRow = 5;
/** Share of errors that ejects, over a window in milliseconds with a least number of outcomes. */
const errorRateRule = { share: 0.2, window: 10_000, minimum: 20 };

type Rule = (isBad: boolean, now: number) => boolean;

function createConsecutiveRule(): Rule {
  let inRow = 0;
  return (isBad) => {
    inRow = isBad ? inRow + 1 : 0;
    return inRow >= failuresInRow;
  };
}

function createErrorRateRule(): Rule {
  let recent: { readonly at: number; readonly isBad: boolean }[] = [];
  return (isBad, now) => {
    recent = recent.filter(({ at }) => now - at < errorRateRule.window);
    recent.push({ at: now, isBad });
    const errors = recent.filter((entry) => entry.isBad).length;
    return recent.length >= errorRateRule.minimum && errors >= errorRateRule.share * recent.length;
  };
}

/** Ejection of one target as a baseline does it: by its own answers alone, fixed hold, no floor, no trial. */
export class BaselinePolicy {
  /** Ejections so far. */
  public ejections = 0;

  private rule: Rule;

  private heldUntil = -Infinity;

  public constructor(
    private readonly name: BaselineName,
    private readonly clock: Clock,
  ) {
    this.rule = this.createRule();
  }

  /** Takes an outcome. Wrong and truncated answers count as errors, which favours the baselines. */
  public record({ kind }: TargetOutcome): void {
    if (this.isHeld || kind === 'cancelled' || kind === 'shed') return;
    if (!this.rule(kind !== 'success', this.clock.elapsed())) return;
    this.ejections += 1;
    this.heldUntil = this.clock.elapsed() + holdTime;
    this.rule = this.createRule();
  }

  public get isHeld(): boolean {
    return this.clock.elapsed() < this.heldUntil;
  }

  public standing(): Standing {
    return this.isHeld ? { traffic: 'none', share: 0 } : { traffic: 'normal', share: 1 };
  }

  private createRule(): Rule {
    return this.name === 'error rate' ? createErrorRateRule() : createConsecutiveRule();
  }
}
