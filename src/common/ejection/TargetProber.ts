import type { Clock } from '../base/index.js';
import type { ProbeOutcome } from '../health/index.js';
import type { HomeTarget } from './HomeTarget.js';

/** Fewer requests than this within the last 2 s are too little evidence, so probes fill in. */
const enough = { requests: 4, seconds: 2 };
/** Milliseconds between probes: at 25 ms each they cost a target 5% of one slot while it has little else to do. */
const interval = 500;
/** Milliseconds until the next probe after one that failed, to confirm the failure soon. */
const intervalAfterFailure = 100;

/** Adds probes to the evidence on a target with little traffic or without answers. */
export class TargetProber {
  private isRunning = false;

  private nextAt = 0;

  public constructor(
    private readonly clock: Clock,
    private readonly probe: () => Promise<ProbeOutcome>,
    private readonly onOutcome: (outcome: ProbeOutcome) => void,
  ) {}

  /** Starts a probe if one is due. */
  public probeIfDue(target: HomeTarget, now: number): void {
    if (this.isRunning || now < this.nextAt) return;
    const { state } = target.lifecycle;
    if (state !== 'active' && state !== 'suspect' && state !== 'trial') return;
    const { tracker } = target;
    const hasEvidence = tracker.requests(now, enough.seconds) >= enough.requests;
    if (!hasEvidence || tracker.isSilent(now)) void this.run();
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    const outcome = await this.probe().catch((): ProbeOutcome => ({ kind: 'unreachable' }));
    this.isRunning = false;
    const wait = outcome.kind === 'unreachable' ? intervalAfterFailure : interval;
    this.nextAt = this.clock.elapsed() + wait;
    this.onOutcome(outcome);
  }
}
