import { PassThrough, pipeline } from 'node:stream';
import { isLeft } from 'fp-ts/lib/Either.js';
import {
  Emitter,
  NotRunError,
  ProgressTimer,
  type Clock,
  type Disposable,
  type LogSink,
  type OutcomeKind,
  type RefusalReason,
  type TargetId,
} from '../api/index.js';
import type { SlotPermit, SlotRefusal, SlotRequest } from '../common/admission/SlotQueue.js';
import { RouteStatistics } from '../common/dispatch/RouteStatistics.js';
import {
  HomeRefusalError,
  type ConditionReport,
  type TargetCondition,
} from '../common/dispatch/Types.js';
import { TargetRegistry, targetIncarnation } from '../common/fleet/TargetRegistry.js';
import type { Departure } from '../common/fleet/DepartureRecorder.js';
import type { PublishedTarget, TargetReport } from '../common/fleet/Types.js';
import { logit, type RunningRequest } from '../common/health/HealthEstimator.js';
import { HomeRetryBudget, type FleetRetryLimits } from '../common/retry/HomeRetryBudget.js';
import type { LatencyDistribution } from '../common/health/LatencyDistribution.js';
import type { GuardedOutcome, GuardedRequest } from '../daemon/CrashGuard.js';
import { createFingerprint } from '../daemon/fingerprint.js';
import { TargetFailure } from '../daemon/TargetFailure.js';
import { HostedTarget, type TargetConnector } from './HostedTarget.js';
import { TargetHttpClient } from './TargetHttpClient.js';
import type { BodyProvider, HeaderNames, HomeRequest, StreamedResponse } from './Types.js';

/** Above this log-odds of being unhealthy, a target gets only trial requests and requests without a better target. */
const suspectLogOdds = logit(0.5);
/** Above this even requests without a better target are refused, so that callers can retry once a target recovers. */
const maxForcedLogOdds = logit(0.85);
/** Milliseconds between checks of the queued requests. */
const reviewInterval = 150;
/** Milliseconds between checks for idle targets. */
const usageCheckInterval = 500;
/**
 * Milliseconds without a byte of a body after which its connection counts as silent. TCP has retransmitted a lost segment
 * three times by then.
 */
const bodyIdleTimeout = 2_000;
/** Milliseconds for which a request keeps its slot while its body arrives; some round trips between regions. */
const bodySlotTime = 200;
/** Milliseconds beyond the timeout of a request until its response is cut if the entry has not read it. */
const unreadTimeout = 100;
const firstServerError = 500;

const refusalReasons: Readonly<Record<SlotRefusal['reason'], RefusalReason>> = {
  busy: 'queue-full',
  suspect: 'suspect',
  draining: 'draining',
  cancelled: 'cancelled',
};

/** A request that was sent to a target. */
interface SentRequest {
  readonly running: RunningRequest;
  readonly guarded: GuardedRequest;
  /** Time at which the entry no longer needs the response. */
  readonly timeoutAt: number;
}

/** Dependencies of `Home`. */
export interface HomeSettings {
  /** `host:port` of the target on this VM; announcements from other addresses are rejected. */
  readonly address: string;
  readonly service: string;
  readonly names: HeaderNames;
  readonly clock: Clock;
  readonly log: LogSink;
  /** Limits of the fleet's retry budget, read on each use since operators can change them. */
  readonly retryLimits: () => FleetRetryLimits;
  /** Number of targets of the service of this VM. */
  readonly countTargets: () => number;
  /** Whether a target with these log-odds of being unhealthy may be excluded, which must leave enough targets. */
  readonly mayExclude: (unhealthyLogOdds: number) => boolean;
  /** Creates the connection to a target; HTTP/1.1 by default. */
  readonly connect?: TargetConnector;
  /** Throws `NotRunError` if a request must not be sent to its target. */
  readonly checkStart: (request: GuardedRequest) => void;
}

/** Admits and runs all requests of the target on this VM, so that admission and draining are decided in one place. */
export class Home implements Disposable {
  private readonly registry = new TargetRegistry();

  private readonly hosted = new Map<TargetId, HostedTarget>();

  private readonly routeStatistics = new RouteStatistics();

  private readonly changeEmitter = new Emitter<void>();

  private readonly startEmitter = new Emitter<GuardedRequest>();

  private readonly outcomeEmitter = new Emitter<GuardedOutcome>();

  private readonly departureEmitter = new Emitter<Departure>();

  /** Fires when a target announces that it leaves, before it gets the acknowledgement. */
  public readonly onDeparture = this.departureEmitter.event;

  /** Fires before a request is sent to a target. */
  public readonly onStart = this.startEmitter.event;

  /** Fires when a request at a target ends. */
  public readonly onOutcome = this.outcomeEmitter.event;

  private readonly budget: HomeRetryBudget;

  private isDraining = false;

  private reviewTimer: Disposable | undefined;

  private usageTimer: Disposable | undefined;

  private inFlight = 0;

  /** Fires when `publishedTargets` changes. */
  public readonly onChange = this.changeEmitter.event;

  public constructor(private readonly settings: HomeSettings) {
    const { retryLimits, countTargets, clock } = settings;
    this.budget = new HomeRetryBudget(retryLimits, countTargets, clock);
    this.scheduleUsageCheck();
  }

  /** Requests that are running or queued here. */
  public get load(): number {
    return this.inFlight;
  }

  /** Current load and health of each target. */
  public get conditions(): readonly (readonly [TargetId, TargetCondition])[] {
    return [...this.hosted].map(([id, hosted]) => [id, hosted.condition()]);
  }

  /** Milliseconds since the target of this VM got a request; undefined without one. */
  public get idleTime(): number | undefined {
    const times = [...this.hosted.values()].map(({ usage }) => usage.idleTime);
    return times.length === 0 ? undefined : Math.min(...times);
  }

  /** Requests per second that the target of this VM takes; undefined without a limit. */
  public get rateLimit(): number | undefined {
    return [...this.hosted.values()].find(({ rateLimit }) => rateLimit !== undefined)?.rateLimit;
  }

  /** Targets as published to the fleet. */
  public get publishedTargets(): readonly PublishedTarget[] {
    return this.registry.targets.map((report) => ({
      id: report.id,
      incarnation: targetIncarnation(report),
      service: report.service,
      slots: report.slots,
      state: report.state,
    }));
  }

  /** Processes an announcement of a target; returns false if the target is not on this VM. */
  public acceptAnnouncement(report: TargetReport): boolean {
    if (report.address !== this.settings.address || report.service !== this.settings.service) {
      this.write('warn', 'ignored an announcement of a target that is not on this VM', {
        target: report.id,
        address: report.address,
        service: report.service,
      });
      return false;
    }
    const effect = this.registry.record(report);
    if (effect.type === 'stale') {
      this.write('info', 'ignored an announcement that is out of order or by a leaving target', {
        target: report.id,
        sequence: report.sequence,
        startedAt: report.startedAt,
      });
      return true;
    }
    this.updateTarget(report, effect.type);
    return true;
  }

  /**
   * Removes a target that deregistered; `startedAt` identifies its incarnation, if it says. Of an unknown target, every
   * incarnation that has started by now is taken to have ended.
   */
  public removeTarget(id: TargetId, startedAt?: number): void {
    const newest =
      startedAt ?? this.registry.newestStart(id) ?? this.settings.clock.now().getTime();
    const report = this.registry.remove(id, newest);
    this.departureEmitter.fire({ id, startedAt: newest });
    this.write('info', 'target deregistered', {
      target: id,
      startedAt,
      known: report !== undefined,
    });
    if (report === undefined) return;
    const hosted = this.hosted.get(id);
    this.hosted.delete(id);
    hosted?.dispose();
    this.changeEmitter.fire();
  }

  /** Applies departures that an earlier process of this daemon acknowledged. */
  public restoreDepartures(departures: readonly Departure[]): void {
    departures.forEach(({ id, startedAt }) => {
      const report = this.registry.restoreDeparture(id, startedAt);
      const hosted = this.hosted.get(id);
      if (report === undefined || hosted === undefined) return;
      this.write('warn', 'target leaves, as an earlier process of this daemon acknowledged', {
        target: id,
        startedAt,
      });
      this.applyDrain(hosted, report);
    });
  }

  /**
   * Takes over the rate limits that other daemons report of targets which have not yet responded to this daemon since it
   * started.
   */
  public adoptLimits(reports: readonly ConditionReport[]): void {
    reports.forEach((report) => this.hosted.get(report.target)?.adoptLimit(report));
  }

  /** Refuses new and queued requests; running requests are completed. */
  public drain(): void {
    this.isDraining = true;
    this.hosted.forEach((hosted) => hosted.evictQueue());
  }

  /**
   * Runs a request at its target. Throws `HomeRefusalError` if it was not run, otherwise `OutcomeUnknownError`.
   * `receiveBody` is called once the request has a slot.
   */
  public async run(
    request: HomeRequest,
    receiveBody: BodyProvider,
    signal: AbortSignal,
  ): Promise<StreamedResponse> {
    this.inFlight += 1;
    try {
      const answer = await this.admit(request, receiveBody, signal);
      this.inFlight += 1;
      answer.body.once('close', () => {
        this.inFlight -= 1;
      });
      return answer;
    } finally {
      this.inFlight -= 1;
    }
  }

  public dispose(): void {
    this.reviewTimer?.dispose();
    this.usageTimer?.dispose();
    this.hosted.forEach((hosted) => hosted.dispose());
    this.hosted.clear();
    this.changeEmitter.dispose();
    this.startEmitter.dispose();
    this.outcomeEmitter.dispose();
    this.departureEmitter.dispose();
  }

  private updateTarget(report: TargetReport, type: string): void {
    const known = this.hosted.get(report.id);
    if (type === 'repeated' && known !== undefined) {
      known.report = report;
      return;
    }
    this.write('info', `target ${type}`, {
      target: report.id,
      state: report.state,
      slots: report.slots,
      startedAt: report.startedAt,
      sequence: report.sequence,
    });
    if (known === undefined || type === 'replaced' || known.report.address !== report.address) {
      known?.dispose();
      this.hosted.set(report.id, this.createHostedTarget(report));
    } else {
      known.report = report;
      known.queue.resize(report.slots);
    }
    if (report.state === 'draining') {
      this.hosted.get(report.id)?.evictQueue();
      this.departureEmitter.fire({ id: report.id, startedAt: report.startedAt });
    }
    this.changeEmitter.fire();
  }

  private createHostedTarget(report: TargetReport): HostedTarget {
    const { names, clock, log } = this.settings;
    const connect: TargetConnector =
      this.settings.connect ??
      (({ address, slots }, onNotice) => new TargetHttpClient({ address, slots, names, onNotice }));
    const hosted = new HostedTarget(report, connect, clock, log);
    hosted.onLeave(() => this.drainLeaving(hosted));
    return hosted;
  }

  /** A target may leave without an announcement, or before it. */
  private drainLeaving(hosted: HostedTarget): void {
    const { id, startedAt } = hosted.report;
    const report = this.registry.drain(id, startedAt);
    if (report === undefined || this.hosted.get(id) !== hosted) return;
    this.write('info', 'target says in a response that it leaves', { target: id, startedAt });
    this.applyDrain(hosted, report);
  }

  /** Sends no further requests to a target; those that run are completed. */
  private applyDrain(hosted: HostedTarget, report: TargetReport): void {
    hosted.report = report;
    hosted.evictQueue();
    this.changeEmitter.fire();
  }

  private async admit(
    request: HomeRequest,
    receiveBody: BodyProvider,
    signal: AbortSignal,
  ): Promise<StreamedResponse> {
    const started = this.settings.clock.elapsed();
    const hosted = this.findTarget(request);
    if (request.isRetry && !this.budget.allowsRetry) throw this.refuse(hosted, 'limit', request);
    this.checkHealth(hosted, request);
    this.scheduleReview();
    const { rank, goal, maxQueueWait, isForced } = request;
    const serviceTime = this.latenciesOf(request).median;
    const slotRequest = {
      rank,
      goal,
      serviceTime,
      maxQueueWait,
      isMovable: !isForced,
    };
    let permit = await this.acquireSlot(hosted, request, slotRequest, signal);
    try {
      const arrival = this.receive(hosted, request, receiveBody, started);
      if (!(await this.settlesWithin(arrival, bodySlotTime))) {
        // The connection may be silent, so other requests use the slot until the body is here.
        permit.cancel();
        await arrival;
        const elapsed = this.settings.clock.elapsed() - started;
        // Once the body is here, waiting for the target costs less than another transfer.
        const remaining = request.timeout - elapsed - serviceTime;
        const again = {
          ...slotRequest,
          goal: goal - elapsed,
          maxQueueWait: Math.max(0, remaining),
          isMovable: false,
        };
        permit = await this.acquireSlot(hosted, request, again, signal);
      }
      const body = await arrival;
      // The target may have started draining while the body was received.
      this.findTarget(request);
      if (signal.aborted) throw this.refuse(hosted, 'cancelled', request);
      const left = request.timeout - (this.settings.clock.elapsed() - started);
      return await this.send(hosted, request, body, Math.max(1, left), permit, signal);
    } catch (error) {
      permit.release();
      throw error;
    }
  }

  /** Waits for a slot; throws `HomeRefusalError` if there is none in time. */
  private async acquireSlot(
    hosted: HostedTarget,
    request: HomeRequest,
    slotRequest: SlotRequest,
    signal: AbortSignal,
  ): Promise<SlotPermit> {
    const result = await hosted.queue.submit(slotRequest, signal);
    if (!isLeft(result)) return result.right;
    const { reason, retryAfter } = result.left;
    throw this.refuse(hosted, refusalReasons[reason], request, retryAfter);
  }

  /** Whether a promise is settled within `time` milliseconds. */
  private async settlesWithin(promise: Promise<unknown>, time: number): Promise<boolean> {
    let timer: Disposable | undefined;
    const expiry = new Promise<boolean>((resolve) => {
      timer = this.settings.clock.after(time, () => resolve(false));
    });
    const settled = promise.then(
      () => true,
      () => true,
    );
    const result = await Promise.race([settled, expiry]);
    timer?.dispose();
    return result;
  }

  /** Receives the body of a request that holds a slot; refuses the request if its connection goes silent. */
  private receive(
    hosted: HostedTarget,
    request: HomeRequest,
    receiveBody: BodyProvider,
    started: number,
  ): Promise<Buffer> {
    const { clock } = this.settings;
    const total = request.timeout - (clock.elapsed() - started);
    return new Promise((resolve, reject) => {
      const timer = new ProgressTimer(clock, { idle: bodyIdleTimeout, total }, () => {
        // What still arrives is ignored, so that the refusal stays true.
        reject(this.refuse(hosted, 'deadline', request));
      });
      receiveBody(() => timer.recordProgress())
        .then(resolve, reject)
        .finally(() => timer.dispose());
    });
  }

  private findTarget(request: HomeRequest): HostedTarget {
    const hosted = this.hosted.get(request.target as TargetId);
    if (hosted === undefined || targetIncarnation(hosted.report) !== request.incarnation) {
      throw this.refuse(hosted, 'not-home', request);
    }
    if (this.isDraining || hosted.report.state === 'draining') {
      throw this.refuse(hosted, 'draining', request);
    }
    if (hosted.isDown) {
      throw this.refuse(hosted, 'connect-failed', request);
    }
    return hosted;
  }

  private checkHealth(hosted: HostedTarget, request: HomeRequest): void {
    const unhealthyLogOdds = hosted.health.logOdds;
    if (unhealthyLogOdds < suspectLogOdds || !this.settings.mayExclude(unhealthyLogOdds)) return;
    if (request.isForced && unhealthyLogOdds < maxForcedLogOdds) return;
    if (request.isTrial && hosted.trialLimiter.tryAcquire()) return;
    throw this.refuse(hosted, 'suspect', request);
  }

  private async send(
    hosted: HostedTarget,
    request: HomeRequest,
    body: Buffer,
    timeout: number,
    permit: SlotPermit,
    signal: AbortSignal,
  ): Promise<StreamedResponse> {
    const guarded = this.guard(hosted, request, body);
    const timeoutAt = this.settings.clock.elapsed() + timeout;
    const latencies = this.latenciesOf(request);
    const running = hosted.health.start(latencies);
    hosted.usage.recordStart();
    if (request.isRetry) this.budget.recordRetry();
    else this.budget.recordFirstAttempt();
    try {
      const answer = await hosted.connection.send(request, body, timeout, signal);
      const run = { running, guarded, timeoutAt };
      return this.streamBody(hosted, request, answer, run, permit, signal);
    } catch (failure) {
      if (!(failure instanceof TargetFailure)) throw failure;
      this.recordOutcome(hosted, request, { running, guarded, timeoutAt }, failure.kind);
      if (failure.error instanceof HomeRefusalError) {
        const { reason, details } = failure.error;
        throw this.refuse(hosted, reason, request, undefined, details.hasReachedTarget);
      }
      throw failure.error;
    }
  }

  private latenciesOf({ route, goal }: HomeRequest): LatencyDistribution {
    return this.routeStatistics.get({ name: route, goal }).latencies;
  }

  /** Throws if the request is quarantined for crashing targets; otherwise fires `onStart`. */
  private guard(hosted: HostedTarget, request: HomeRequest, body: Buffer): GuardedRequest {
    const fingerprint = createFingerprint(request.method, request.path, body);
    const guarded = { target: hosted.report.id, context: { fingerprint } };
    try {
      this.settings.checkStart(guarded);
    } catch (error) {
      if (!(error instanceof NotRunError)) throw error;
      throw this.refuse(hosted, error.reason, request);
    }
    this.startEmitter.fire(guarded);
    return guarded;
  }

  /** Streams the body; when it ends, releases the slot and records the outcome. */
  private streamBody(
    hosted: HostedTarget,
    request: HomeRequest,
    answer: StreamedResponse,
    run: SentRequest,
    permit: SlotPermit,
    signal: AbortSignal,
  ): StreamedResponse {
    const { clock } = this.settings;
    const body = new PassThrough();
    // The target may have sent all of a response that a silent entry never reads.
    const timer = clock.after(run.timeoutAt + unreadTimeout - clock.elapsed(), () => {
      body.destroy();
    });
    pipeline(answer.body, body, (error) => {
      timer.dispose();
      permit.release();
      const isCancelled = signal.aborted || error?.code === 'ERR_STREAM_PREMATURE_CLOSE';
      const whole: OutcomeKind = answer.status >= firstServerError ? 'server-error' : 'success';
      const cut: OutcomeKind = isCancelled ? 'cancelled' : 'truncated';
      this.recordOutcome(hosted, request, run, error ? cut : whole);
    });
    return { ...answer, body, condition: hosted.condition(-1) };
  }

  private recordOutcome(
    hosted: HostedTarget,
    request: HomeRequest,
    { running, guarded }: SentRequest,
    kind: OutcomeKind,
  ): void {
    const { health } = hosted;
    this.outcomeEmitter.fire({
      target: guarded.target,
      incarnation: targetIncarnation(hosted.report),
      request: guarded,
      outcome: { kind: kind === 'truncated' ? 'reset' : kind },
    });
    if (kind === 'success') hosted.trialLimiter.reset();
    if (kind === 'success') health.succeed(running);
    else if (kind === 'cancelled' || kind === 'timeout') health.cancel(running);
    else if (kind === 'shed') health.refuse(running);
    else health.fail(running);
    if (kind === 'connect-failed') hosted.markDown();
    if (kind === 'success') return;
    this.write('info', `request at the target did not succeed: ${kind}`, {
      request: request.id,
      target: request.target,
      route: request.route,
      entry: request.entry,
      took: Math.round(this.settings.clock.elapsed() - running.startedAt),
      sickness: Number(health.logOdds.toFixed(2)),
    });
  }

  /** Re-checks queued requests while there are any, since the target may become unhealthy meanwhile. */
  private scheduleReview(): void {
    if (this.reviewTimer !== undefined) return;
    this.reviewTimer = this.settings.clock.after(reviewInterval, () => {
      this.reviewTimer = undefined;
      let isNeeded = false;
      this.hosted.forEach(({ queue, health }) => {
        if (queue.queued === 0) return;
        isNeeded = true;
        queue.refuseUnservable();
        const unhealthyLogOdds = health.logOdds;
        const isExcluded =
          unhealthyLogOdds >= suspectLogOdds && this.settings.mayExclude(unhealthyLogOdds);
        if (isExcluded) queue.evict('suspect', ({ isMovable }) => isMovable);
      });
      if (isNeeded) this.scheduleReview();
    });
  }

  /** Logs targets that get no requests, with what this home reports of them. */
  private scheduleUsageCheck(): void {
    this.usageTimer = this.settings.clock.after(usageCheckInterval, () => {
      this.hosted.forEach((hosted, id) => {
        if (hosted.report.state === 'draining') return;
        const span = hosted.usage.takeIdleSpan();
        if (span === undefined) return;
        const { idleTime, refused } = span;
        this.write('info', 'target gets no requests', {
          target: id,
          service: hosted.report.service,
          refused,
          ...hosted.loggedCondition,
          idle: Math.round(idleTime),
        });
      });
      this.scheduleUsageCheck();
    });
  }

  private refuse(
    hosted: HostedTarget | undefined,
    reason: RefusalReason,
    request: HomeRequest,
    retryAfter?: number,
    hasReachedTarget?: boolean,
  ): HomeRefusalError {
    const condition = hosted?.condition();
    hosted?.usage.recordRefusal();
    this.settings.log.write({
      level: 'info',
      kind: 'refusal',
      message: `the home refused a request: ${reason}`,
      fields: {
        step: 'home.admit',
        request: request.id,
        target: request.target,
        route: request.route,
        entry: request.entry,
        patience: Math.round(request.maxQueueWait),
        retryAfter,
        ...hosted?.loggedCondition,
      },
    });
    return new HomeRefusalError(
      reason,
      `the home refused: ${reason}`,
      { step: 'home.admit', peer: request.target },
      { condition, retryAfter, hasReachedTarget },
    );
  }

  private write(
    level: 'info' | 'warn',
    message: string,
    fields: Readonly<Record<string, string | number | boolean | undefined>>,
  ): void {
    this.settings.log.write({
      level,
      kind: 'placement',
      message,
      fields: { step: 'home', ...fields },
    });
  }
}
