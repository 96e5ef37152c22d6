import { PassThrough, pipeline } from 'node:stream';
import { isLeft } from 'fp-ts/lib/Either.js';
import {
  Emitter,
  NotRunError,
  type Clock,
  type Disposable,
  type LogSink,
  type OutcomeKind,
  type RefusalReason,
  type TargetId,
} from '../api/index.js';
import { SlotQueue, type SlotPermit, type SlotRefusal } from '../common/admission/SlotQueue.js';
import { RouteStatistics } from '../common/dispatch/RouteStatistics.js';
import { HomeRefusalError, type TargetCondition } from '../common/dispatch/Types.js';
import { TargetRegistry, targetIncarnation } from '../common/fleet/TargetRegistry.js';
import type { PublishedTarget, TargetReport } from '../common/fleet/Types.js';
import { logit, HealthEstimator, type RunningRequest } from '../common/health/HealthEstimator.js';
import { HomeRetryBudget, type FleetRetryLimits } from '../common/retry/HomeRetryBudget.js';
import type { LatencyDistribution } from '../common/health/LatencyDistribution.js';
import { TrialRequestLimiter } from '../common/health/TrialRequestLimiter.js';
import type { GuardedOutcome, GuardedRequest } from '../daemon/CrashGuard.js';
import { createFingerprint } from '../daemon/fingerprint.js';
import { TargetFailure } from '../daemon/TargetFailure.js';
import { TargetHttpClient } from './TargetHttpClient.js';
import type {
  BodyProvider,
  HeaderNames,
  HomeRequest,
  StreamedResponse,
  TargetConnection,
} from './Types.js';

/** Only scouts and requests that found no better place are sent to a target that is more likely sick than this. */
const suspectOdds = logit(0.5);
/** Above this a request is rather refused, so that its caller can come back when a target has recovered. */
const hopelessOdds = logit(0.85);
/** Milliseconds between two looks at the requests that wait for a target. */
const reviewInterval = 150;
/** Milliseconds for which a target that refused a connection is left alone. */
const downTime = 700;
const firstServerError = 500;

const refusalReasons: Readonly<Record<SlotRefusal['reason'], RefusalReason>> = {
  busy: 'queue-full',
  suspect: 'suspect',
  draining: 'draining',
  cancelled: 'cancelled',
};

/** A target of this VM with its admission and its health. */
interface Hosted extends Disposable {
  report: TargetReport;
  readonly link: TargetConnection;
  readonly queue: SlotQueue;
  readonly filter: HealthEstimator;
  readonly scouts: TrialRequestLimiter;
  downUntil: number;
}

/** A request at a target with what is kept of it. */
interface TargetRun {
  readonly running: RunningRequest;
  readonly guarded: GuardedRequest;
}

/** What a home depends on. */
export interface HomeSettings {
  /** `host:port` of the only target that may announce itself here. */
  readonly address: string;
  readonly service: string;
  readonly names: HeaderNames;
  readonly clock: Clock;
  readonly log: LogSink;
  /** Retry budget of the fleet. */
  readonly retryLimits: () => FleetRetryLimits;
  /** Number of targets of the service of this VM. */
  readonly countTargets: () => number;
  /** Whether the target may be set aside with these odds of sickness, so that enough others serve. */
  readonly mayExclude: (odds: number) => boolean;
  /** Opens the way to a target; over HTTP/1.1 if it is left out. */
  readonly connect?: (report: TargetReport) => TargetConnection;
  /** Throws `NotRunError` if a request that has a slot must not run at its target. */
  readonly checkStart: (request: GuardedRequest) => void;
}

/** Home of the target on this VM: the only way to it, so that admission and draining are decided in one place. */
export class Home implements Disposable {
  private readonly register = new TargetRegistry();

  private readonly hosted = new Map<TargetId, Hosted>();

  private readonly memory = new RouteStatistics();

  private readonly changeEmitter = new Emitter<void>();

  private readonly startEmitter = new Emitter<GuardedRequest>();

  private readonly outcomeEmitter = new Emitter<GuardedOutcome>();

  /** Fires just before a request is sent to a target. */
  public readonly onStart = this.startEmitter.event;

  /** Fires when a request at a target has ended. */
  public readonly onOutcome = this.outcomeEmitter.event;

  private readonly budget: HomeRetryBudget;

  private isLeaving = false;

  private review: Disposable | undefined;

  private inFlight = 0;

  /** Fires when what the fleet must know of the targets has changed. */
  public readonly onChange = this.changeEmitter.event;

  public constructor(private readonly settings: HomeSettings) {
    const { retryLimits: allowance, countTargets, clock } = settings;
    this.budget = new HomeRetryBudget(allowance, countTargets, clock);
  }

  /** Requests that run or wait here. */
  public get load(): number {
    return this.inFlight;
  }

  /** Present conditions of the targets. */
  public get conditions(): readonly (readonly [TargetId, TargetCondition])[] {
    return [...this.hosted].map(([id, hosted]) => [id, this.conditionOf(hosted, 0)]);
  }

  /** Targets as the fleet should see them. */
  public get publishedTargets(): readonly PublishedTarget[] {
    return this.register.targets.map((report) => ({
      id: report.id,
      incarnation: targetIncarnation(report),
      service: report.service,
      slots: report.slots,
      state: report.state,
    }));
  }

  /** Takes what a target says of itself; false if it is not a target of this VM. */
  public acceptAnnouncement(report: TargetReport): boolean {
    if (report.address !== this.settings.address || report.service !== this.settings.service) {
      this.write('warn', 'ignored the announcement of a target that is not beside this daemon', {
        target: report.id,
        address: report.address,
        service: report.service,
      });
      return false;
    }
    const effect = this.register.record(report);
    if (effect.type === 'stale') {
      this.write('info', 'ignored an announcement that was overtaken', {
        target: report.id,
        sequence: report.sequence,
        startedAt: report.startedAt,
      });
      return true;
    }
    this.apply(report, effect.type);
    return true;
  }

  /** Takes the farewell of a target. */
  public removeTarget(id: TargetId, startedAt?: number): void {
    const report = this.register.remove(id, startedAt);
    this.write('info', 'a target has left', { target: id, startedAt, known: report !== undefined });
    if (report === undefined) return;
    const hosted = this.hosted.get(id);
    this.hosted.delete(id);
    hosted?.dispose();
    this.changeEmitter.fire();
  }

  /** Takes no new requests; those that run are finished. */
  public drain(): void {
    this.isLeaving = true;
    this.hosted.forEach(({ queue }) => queue.evict('draining', () => true));
  }

  /**
   * Runs a request at its target. Throws `HomeRefusalError` if it was not run, else `OutcomeUnknownError`.
   * `takeBody` is called when there is a slot.
   */
  public async run(
    order: HomeRequest,
    takeBody: BodyProvider,
    signal: AbortSignal,
  ): Promise<StreamedResponse> {
    this.inFlight += 1;
    try {
      const answer = await this.admit(order, takeBody, signal);
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
    this.review?.dispose();
    this.hosted.forEach((hosted) => hosted.dispose());
    this.hosted.clear();
    this.changeEmitter.dispose();
    this.startEmitter.dispose();
    this.outcomeEmitter.dispose();
  }

  private apply(report: TargetReport, type: string): void {
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
      this.hosted.set(report.id, this.host(report));
    } else {
      known.report = report;
      known.queue.resize(report.slots);
    }
    if (report.state === 'draining') {
      this.hosted.get(report.id)?.queue.evict('draining', () => true);
    }
    this.changeEmitter.fire();
  }

  private host(report: TargetReport): Hosted {
    const { names, clock, connect } = this.settings;
    const { address, slots } = report;
    const link = connect?.(report) ?? new TargetHttpClient({ address, slots, names });
    const queue = new SlotQueue(slots, clock);
    return {
      report,
      link,
      queue,
      filter: new HealthEstimator(clock),
      scouts: new TrialRequestLimiter(clock),
      downUntil: 0,
      dispose: () => {
        queue.dispose();
        link.dispose();
      },
    };
  }

  private async admit(
    order: HomeRequest,
    takeBody: BodyProvider,
    signal: AbortSignal,
  ): Promise<StreamedResponse> {
    const started = this.settings.clock.elapsed();
    const hosted = this.find(order);
    if (order.isRetry && !this.budget.allowsRetry) throw this.refuse(hosted, 'limit', order);
    this.checkHealth(hosted, order);
    this.scheduleReview();
    const { rank, goal, maxQueueWait: patience, isForced } = order;
    const work = this.timesOf(order).median;
    const demand = { rank, goal, work, patience, isMovable: !isForced };
    const result = await hosted.queue.submit(demand, signal);
    if (isLeft(result)) {
      const { reason, retryAfter } = result.left;
      throw this.refuse(hosted, refusalReasons[reason], order, retryAfter);
    }
    const permit = result.right;
    try {
      const body = await takeBody();
      // The target may have begun to drain while the body was on its way.
      this.find(order);
      if (signal.aborted) throw this.refuse(hosted, 'cancelled', order);
      const left = order.timeout - (this.settings.clock.elapsed() - started);
      return await this.send(hosted, order, body, Math.max(1, left), permit, signal);
    } catch (error) {
      permit.release();
      throw error;
    }
  }

  private find(order: HomeRequest): Hosted {
    const hosted = this.hosted.get(order.target as TargetId);
    if (hosted === undefined || targetIncarnation(hosted.report) !== order.incarnation) {
      throw this.refuse(hosted, 'not-home', order);
    }
    if (this.isLeaving || hosted.report.state === 'draining') {
      throw this.refuse(hosted, 'draining', order);
    }
    if (hosted.downUntil > this.settings.clock.elapsed()) {
      throw this.refuse(hosted, 'connect-failed', order);
    }
    return hosted;
  }

  private checkHealth(hosted: Hosted, order: HomeRequest): void {
    const odds = hosted.filter.logOdds;
    if (odds < suspectOdds || !this.settings.mayExclude(odds)) return;
    if (order.isForced && odds < hopelessOdds) return;
    if (order.isTrial && hosted.scouts.tryAcquire()) return;
    throw this.refuse(hosted, 'suspect', order);
  }

  private async send(
    hosted: Hosted,
    order: HomeRequest,
    body: Buffer,
    timeout: number,
    permit: SlotPermit,
    signal: AbortSignal,
  ): Promise<StreamedResponse> {
    const guarded = this.guard(hosted, order, body);
    const times = this.timesOf(order);
    const running = hosted.filter.start(times);
    if (order.isRetry) this.budget.recordRetry();
    else this.budget.recordFirstAttempt();
    try {
      const answer = await hosted.link.send(order, body, timeout, signal);
      return this.follow(hosted, order, answer, { running, guarded }, permit, signal);
    } catch (failure) {
      if (!(failure instanceof TargetFailure)) throw failure;
      this.settle(hosted, order, { running, guarded }, failure.kind);
      if (failure.error instanceof HomeRefusalError) {
        const { reason, details } = failure.error;
        throw this.refuse(hosted, reason, order, undefined, details.hasReachedTarget);
      }
      throw failure.error;
    }
  }

  private timesOf({ route, goal }: HomeRequest): LatencyDistribution {
    return this.memory.get({ name: route, goal }).latencies;
  }

  /** Refuses a request that crashes targets, and tells that this one starts. */
  private guard(hosted: Hosted, order: HomeRequest, body: Buffer): GuardedRequest {
    const fingerprint = createFingerprint(order.method, order.path, body);
    const guarded = { target: hosted.report.id, context: { fingerprint } };
    try {
      this.settings.checkStart(guarded);
    } catch (error) {
      if (!(error instanceof NotRunError)) throw error;
      throw this.refuse(hosted, error.reason, order);
    }
    this.startEmitter.fire(guarded);
    return guarded;
  }

  /** Passes the body on and takes its end as evidence. */
  private follow(
    hosted: Hosted,
    order: HomeRequest,
    answer: StreamedResponse,
    run: TargetRun,
    permit: SlotPermit,
    signal: AbortSignal,
  ): StreamedResponse {
    const body = new PassThrough();
    pipeline(answer.body, body, (error) => {
      permit.release();
      const isCancelled = signal.aborted || error?.code === 'ERR_STREAM_PREMATURE_CLOSE';
      const whole: OutcomeKind = answer.status >= firstServerError ? 'server-error' : 'success';
      const cut: OutcomeKind = isCancelled ? 'cancelled' : 'truncated';
      this.settle(hosted, order, run, error ? cut : whole);
    });
    return { ...answer, body, condition: this.conditionOf(hosted, -1) };
  }

  private settle(
    hosted: Hosted,
    order: HomeRequest,
    { running, guarded }: TargetRun,
    kind: OutcomeKind,
  ): void {
    const { filter } = hosted;
    this.outcomeEmitter.fire({
      target: guarded.target,
      incarnation: targetIncarnation(hosted.report),
      request: guarded,
      outcome: { kind: kind === 'truncated' ? 'reset' : kind },
    });
    if (kind === 'success') hosted.scouts.reset();
    if (kind === 'success') filter.succeed(running);
    else if (kind === 'cancelled' || kind === 'timeout') filter.cancel(running);
    else if (kind === 'shed') filter.refuse(running);
    else filter.fail(running);
    if (kind === 'connect-failed') hosted.downUntil = this.settings.clock.elapsed() + downTime;
    if (kind === 'success') return;
    this.write('info', `a request ended at the target: ${kind}`, {
      request: order.id,
      target: order.target,
      route: order.route,
      entry: order.entry,
      took: Math.round(this.settings.clock.elapsed() - running.startedAt),
      sickness: Number(filter.logOdds.toFixed(2)),
    });
  }

  private conditionOf({ queue, filter }: Hosted, change: number): TargetCondition {
    const { running, queued, slots } = queue.load;
    return {
      running: Math.max(0, running + change),
      queued,
      slots,
      work: Math.round(queue.meanServiceTime),
      sickness: Number(filter.logOdds.toFixed(2)),
    };
  }

  /** Looks again at the waiting requests while there are some: the target may have fallen sick meanwhile. */
  private scheduleReview(): void {
    if (this.review !== undefined) return;
    this.review = this.settings.clock.after(reviewInterval, () => {
      this.review = undefined;
      let isNeeded = false;
      this.hosted.forEach(({ queue, filter }) => {
        if (queue.queued === 0) return;
        isNeeded = true;
        queue.refuseUnservable();
        const odds = filter.logOdds;
        const isSetAside = odds >= suspectOdds && this.settings.mayExclude(odds);
        if (isSetAside) queue.evict('suspect', ({ isMovable }) => isMovable);
      });
      if (isNeeded) this.scheduleReview();
    });
  }

  private refuse(
    hosted: Hosted | undefined,
    reason: RefusalReason,
    order: HomeRequest,
    retryAfter?: number,
    hasReachedTarget?: boolean,
  ): HomeRefusalError {
    const condition = hosted === undefined ? undefined : this.conditionOf(hosted, 0);
    this.settings.log.write({
      level: 'info',
      kind: 'refusal',
      message: `the home refused a request: ${reason}`,
      fields: {
        step: 'home.admit',
        request: order.id,
        target: order.target,
        route: order.route,
        entry: order.entry,
        patience: Math.round(order.maxQueueWait),
        retryAfter,
        ...condition,
      },
    });
    return new HomeRefusalError(
      reason,
      `the home refused: ${reason}`,
      { step: 'home.admit', peer: order.target },
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
