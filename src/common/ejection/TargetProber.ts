import type { Clock } from '../base/index.js';
import type { ProbeOutcome } from '../health/index.js';
import type { HomeTarget } from './HomeTarget.js';

/** Requests within the last 2 s that are enough evidence; with fewer, probes are added. */
const sufficientEvidence = { requests: 4, seconds: 2 };
/** Milliseconds between probes. At 25 ms each they use 5% of one slot of a target with little traffic. */
const interval = 500;
/** Milliseconds until the next probe after one that failed, to confirm the failure soon. */
const intervalAfterFailure = 100;

/** Adds probes to the evidence on a target with little traffic or without responses. */
export class TargetProber {
  private isRunning = false;

  private nextProbeAt = 0;

  public constructor(
    private readonly clock: Clock,
    private readonly probe: () => Promise<ProbeOutcome>,
    private readonly onOutcome: (outcome: ProbeOutcome) => void,
  ) {}

  /** Starts a probe if one is due. */
  public probeIfDue(target: HomeTarget, now: number): void {
    if (this.isRunning || now < this.nextProbeAt) return;
    const { state } = target.lifecycle;
    if (state !== 'active' && state !== 'suspect' && state !== 'trial') return;
    const { tracker } = target;
    const hasEvidence =
      tracker.requests(now, sufficientEvidence.seconds) >= sufficientEvidence.requests;
    if (!hasEvidence || tracker.isSilent(now)) void this.run();
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    const outcome = await this.probe().catch((): ProbeOutcome => ({ kind: 'unreachable' }));
    this.isRunning = false;
    const wait = outcome.kind === 'unreachable' ? intervalAfterFailure : interval;
    this.nextProbeAt = this.clock.elapsed() + wait;
    this.onOutcome(outcome);
  }
}
