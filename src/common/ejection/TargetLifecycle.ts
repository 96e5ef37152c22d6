import { Emitter } from '../base/index.js';
import type { ServiceName, TargetId } from '../base/index.js';
import type { Verdict, VerdictReason } from '../health/index.js';
import type { TargetAnnouncement, TargetState } from '../services/Types.js';
import { HoldTime } from './HoldTime.js';
import type { OperatorHold, TargetStatus, Transition, TransitionCause } from './Types.js';

/** Shares of normal traffic in the steps of a trial. */
export const trialShares: readonly number[] = [1 / 16, 1 / 8, 1 / 4, 1 / 2];
/** Shares of normal traffic in the steps of a start. */
export const startShares: readonly number[] = [1 / 4, 1 / 2];
/** Milliseconds of one step of a trial or a start. */
export const stepDuration = 5_000;
/** Requests in the window required to pass a trial step; after `maxStepDuration` milliseconds probes suffice. */
const minTrialSamples = 3;
const maxStepDuration = 15_000;
/** Minimum milliseconds in `suspect`, so that the state does not change with every request. */
const minSuspectDuration = 5_000;
/** Minimum milliseconds between suspicion and ejection, so that a service-wide slowdown can be seen at the peers. */
const minConfirmationTime = 2_000;
/** A suspicion that recurs within this many milliseconds is confirmed: a suspect gets too little work for a verdict. */
const recurrenceInterval = 60_000;

/** Action that the lifecycle requests from its owner. */
export type LifecycleRequest = 'none' | 'eject';

/** State machine of one target at its home. Each call gets the monotonic time in milliseconds. */
export class TargetLifecycle {
  private readonly transitions = new Emitter<Transition>();

  /** Fires after each change of state or share. */
  public readonly onTransition = this.transitions.event;

  private readonly holdTime = new HoldTime();

  private current: TargetState = 'gone';

  private step = 0;

  private since = 0;

  private holdEnds = 0;

  private operatorHold: OperatorHold | undefined;

  private announced: TargetAnnouncement['state'] = 'starting';

  private suspectedAt: number[] = [];

  /** Whether the target was ejected and has not been released since. */
  private needsTrial = false;

  public constructor(
    private readonly target: TargetId,
    private readonly service: ServiceName,
  ) {}

  public get state(): TargetState {
    return this.current;
  }

  /** Milliseconds since the state was entered. */
  public timeInState(now: number): number {
    return now - this.since;
  }

  /** Share of normal traffic, 0 to 1. */
  public get share(): number {
    switch (this.current) {
      case 'active':
      case 'suspect':
        return 1;
      case 'trial':
        return trialShares[this.step] ?? 1;
      case 'starting':
        return startShares[this.step] ?? 1;
      default:
        return 0;
    }
  }

  /** State and share for the member record. */
  public get status(): TargetStatus {
    return {
      target: this.target,
      service: this.service,
      state: this.current,
      share: this.share,
    };
  }

  /** Handles an announcement. `isNew` marks a new incarnation. */
  public announce(state: TargetAnnouncement['state'], isNew: boolean, now: number): void {
    const isReturning = this.current === 'gone';
    const isChange = isNew || isReturning || state !== this.announced;
    this.announced = state;
    if (!isChange) return;
    if (this.operatorHold !== undefined) this.enterHold(now);
    else if (state === 'draining') this.enter('draining', 'draining-announced', now);
    else if (isReturning && this.needsTrial) this.resumeEjection(now);
    else if (this.current === 'ejected') this.suspectedAt = [];
    // A new incarnation has just started, whatever state it announces.
    else if (isNew || state === 'starting') this.enter('starting', 'announced', now);
    else if (isReturning || this.current === 'draining') this.enter('active', 'announced', now);
  }

  /** Handles an expired announcement or a move to another home. */
  public markGone(now: number): void {
    this.suspectedAt = [];
    this.enter('gone', 'announcement-expired', now);
  }

  /** Handles an entry in the record of the service that this home did not write. */
  public markListed(now: number): void {
    const isServing = ['starting', 'active', 'suspect'].includes(this.current);
    if (isServing) this.enter('trial', 'listed-in-record', now);
  }

  /** Advances the state by evidence and time. `eject` requests the ejection of the target if the floor permits it. */
  public advance(verdict: Verdict, now: number): LifecycleRequest {
    switch (this.current) {
      case 'starting':
        return this.advanceStart(verdict, now);
      case 'active':
        return this.advanceActive(verdict, now);
      case 'suspect':
        return this.advanceSuspect(verdict, now);
      case 'trial':
        return this.advanceTrial(verdict, now);
      case 'ejected':
        if (now >= this.holdEnds) this.enter('trial', 'hold-expired', now);
        return 'none';
      default:
        return 'none';
    }
  }

  /** Whether the state still allows the requested ejection. */
  public get isEjectable(): boolean {
    return this.current === 'suspect' || this.current === 'trial';
  }

  /** Enters `ejected` after the store recorded the ejection. Returns the hold time in milliseconds. */
  public eject(now: number, reason?: VerdictReason): number {
    const hold = this.holdTime.take(now);
    this.holdEnds = now + hold;
    this.suspectedAt = [];
    this.needsTrial = true;
    this.enter('ejected', 'ejection-recorded', now, reason);
    return hold;
  }

  /** Handles a refused ejection: a target that failed its trial becomes a suspect, which removes no capacity. */
  public keepInService(now: number, reason?: VerdictReason): void {
    if (this.current === 'trial') this.enter('suspect', 'trial-failed', now, reason);
  }

  /** Returns an ejected target to service as a suspect, because the capacity is below the floor. */
  public releaseForFloor(now: number): void {
    if (this.current === 'ejected' || this.current === 'trial') {
      this.enter('suspect', 'floor-release', now);
    }
  }

  /** Applies or clears the decision of an operator. */
  public setOperatorHold(hold: OperatorHold | undefined, now: number): void {
    if (hold === this.operatorHold) return;
    this.operatorHold = hold;
    if (this.current === 'gone') return;
    if (hold !== undefined) this.enterHold(now);
    else if (this.announced === 'draining') this.enter('draining', 'draining-announced', now);
    else this.enter('trial', 'operator-restore', now);
  }

  /** Declares the target healthy for an operator: an ejected one enters its trial, a suspect becomes active. */
  public restore(now: number): void {
    this.holdTime.reset();
    this.suspectedAt = [];
    if (this.current === 'ejected') this.enter('trial', 'operator-restore', now);
    if (this.current === 'suspect') this.enter('active', 'operator-restore', now);
  }

  /** A target cannot shorten its ejection by leaving and returning. */
  private resumeEjection(now: number): void {
    this.enter(now < this.holdEnds ? 'ejected' : 'trial', 'listed-in-record', now);
  }

  private enterHold(now: number): void {
    if (this.operatorHold === 'eject') this.enter('held', 'operator-eject', now);
    else this.enter('draining', 'operator-drain', now);
  }

  private advanceStart(verdict: Verdict, now: number): LifecycleRequest {
    // Slowness is expected from a cold target, errors are not.
    const isFailing = verdict.health === 'suspect' || verdict.health === 'sick';
    if (isFailing && verdict.reason.cause === 'errors') return this.advanceActive(verdict, now);
    const isReady = this.announced === 'active';
    if (!isReady || this.timeInState(now) < stepDuration) return 'none';
    if (this.step + 1 < startShares.length) this.nextStep('warmed-up', now);
    else this.enter('active', 'warmed-up', now);
    return 'none';
  }

  private advanceActive(verdict: Verdict, now: number): LifecycleRequest {
    if (verdict.health !== 'suspect' && verdict.health !== 'sick') return 'none';
    this.suspectedAt = this.suspectedAt.filter((time) => now - time < recurrenceInterval);
    this.suspectedAt.push(now);
    this.enter('suspect', 'evidence', now, verdict.reason);
    return 'none';
  }

  private advanceSuspect(verdict: Verdict, now: number): LifecycleRequest {
    const isSick = verdict.health === 'sick' || this.isRecurring(verdict);
    if (isSick) return this.timeInState(now) < minConfirmationTime ? 'none' : 'eject';
    if (verdict.health !== 'healthy' || this.timeInState(now) < minSuspectDuration) return 'none';
    this.enter('active', 'evidence-cleared', now, verdict.reason);
    return 'none';
  }

  private isRecurring(verdict: Verdict): boolean {
    return verdict.health === 'suspect' && this.suspectedAt.length > 1;
  }

  private advanceTrial(verdict: Verdict, now: number): LifecycleRequest {
    if (verdict.health === 'suspect' || verdict.health === 'sick') return 'eject';
    // An uncertain verdict neither passes nor fails the step; later evidence decides.
    const hasWork =
      verdict.reason.samples >= minTrialSamples || this.timeInState(now) >= maxStepDuration;
    if (verdict.health !== 'healthy' || this.timeInState(now) < stepDuration || !hasWork)
      return 'none';
    if (this.step + 1 < trialShares.length) this.nextStep('trial-passed', now);
    else this.enter('active', 'trial-passed', now, verdict.reason);
    return 'none';
  }

  private nextStep(cause: TransitionCause, now: number): void {
    this.step += 1;
    this.since = now;
    this.publish(this.current, cause);
  }

  private enter(
    state: TargetState,
    cause: TransitionCause,
    now: number,
    reason?: VerdictReason,
  ): void {
    const from = this.current;
    if (from === state) return;
    if (state !== 'ejected' && state !== 'gone') this.needsTrial = false;
    this.current = state;
    this.step = 0;
    this.since = now;
    if (state === 'active') this.holdTime.markRecovered(now);
    this.publish(from, cause, reason);
  }

  private publish(from: TargetState, cause: TransitionCause, reason?: VerdictReason): void {
    const { target, service, current: to, share } = this;
    this.transitions.fire({ target, service, from, to, cause, share, reason });
  }
}
