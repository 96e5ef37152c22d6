import type { Clock, TargetOutcome } from '../api/index.js';
import type { TrafficStatus } from './FleetTraffic.js';

/** Baseline ejection rules that the detection scenarios compare with. */
export type BaselineName = 'consecutive failures' | 'error rate';

/** Milliseconds for which a target stays ejected; a common default for outlier ejection. */
const ejectionDurationMs = 30_000;
/** Consecutive errors after which a target is ejected. */
const consecutiveFailureLimit = 5;
/** Error share that ejects a target; `window` is in milliseconds, `minimum` is the fewest outcomes to judge by. */
const errorRateRule = { share: 0.2, window: 10_000, minimum: 20 };

type EjectionRule = (isBad: boolean, now: number) => boolean;

function createConsecutiveRule(): EjectionRule {
  let consecutiveFailures = 0;
  return (isBad) => {
    consecutiveFailures = isBad ? consecutiveFailures + 1 : 0;
    return consecutiveFailures >= consecutiveFailureLimit;
  };
}

function createErrorRateRule(): EjectionRule {
  let recent: { readonly at: number; readonly isBad: boolean }[] = [];
  return (isBad, now) => {
    recent = recent.filter(({ at }) => now - at < errorRateRule.window);
    recent.push({ at: now, isBad });
    const errors = recent.filter((entry) => entry.isBad).length;
    return recent.length >= errorRateRule.minimum && errors >= errorRateRule.share * recent.length;
  };
}

/** Baseline ejection of one target: decides by its outcomes alone, for a fixed time, without floor or trial. */
export class BaselinePolicy {
  /** Ejections so far. */
  public ejections = 0;

  private rule: EjectionRule;

  private ejectedUntil = -Infinity;

  public constructor(
    private readonly name: BaselineName,
    private readonly clock: Clock,
  ) {
    this.rule = this.createRule();
  }

  /** Records an outcome. Wrong and truncated answers count as errors, which favours the baselines. */
  public record({ kind }: TargetOutcome): void {
    if (this.isEjected || kind === 'cancelled' || kind === 'shed') return;
    if (!this.rule(kind !== 'success', this.clock.elapsed())) return;
    this.ejections += 1;
    this.ejectedUntil = this.clock.elapsed() + ejectionDurationMs;
    this.rule = this.createRule();
  }

  public get isEjected(): boolean {
    return this.clock.elapsed() < this.ejectedUntil;
  }

  public trafficStatus(): TrafficStatus {
    return this.isEjected ? { traffic: 'none', share: 0 } : { traffic: 'normal', share: 1 };
  }

  private createRule(): EjectionRule {
    return this.name === 'error rate' ? createErrorRateRule() : createConsecutiveRule();
  }
}
