import {
  Emitter,
  NotRunError,
  OutcomeUnknownError,
  FleetError,
  type Clock,
  type Disposable,
  type LogSink,
  type RefusalReason,
  type ServiceName,
  type TargetId,
} from '../base/index.js';
import { logit } from '../health/HealthEstimator.js';
import { hedgeDelay } from './hedgeDelay.js';
import { isUnproven, type RankedCandidate, type Placement } from './Placement.js';
import type { RouteStatistics } from './RouteStatistics.js';
import {
  DeadlineError,
  HomeRefusalError,
  type Candidate,
  type IncomingCall,
  type AttemptSender,
  type TargetAnswer,
  type TargetCondition,
} from './Types.js';

/** Refusals by homes after which an attempt is given up; each costs one hop. */
const maxRefusals = 12;
/** Refusals for lack of retry budget after which a retry is given up. */
const maxBudgetRefusals = 4;
/** Requests to homes whose queue seems too long; each costs one hop. */
const maxLongQueueAsks = 2;
/** Requests per target: first for a free slot at a healthy target, then without these conditions. */
const maxAsks = 2;
/** Refusals after which the same target may be asked once more, if no other one is better. */
const retryableRefusals: ReadonlySet<RefusalReason> = new Set(['suspect', 'queue-full']);
/** Milliseconds between checks of the running target's condition; peers report conditions about as often. */
const hedgeReviewInterval = 150;
/** Milliseconds before another hedge when no home had budget or room for one; about the duration of a short request. */
const hedgeRetryDelay = 250;
/** Log-odds that a target is unhealthy after a request to it was hedged. */
const hedgedLogOdds = logit(0.6);
/** Milliseconds reserved for returning the answer to the caller. */
const answerMargin = 20;
/** Minimum remaining time for a second attempt, in milliseconds. */
const minAttemptTime = 50;
/** `Retry-After` in milliseconds when it is unknown when a slot will be free. */
const defaultRetryAfter = 500;
const firstServerError = 500;

/** Known targets of the fleet and their conditions. */
export interface Directory {
  candidates(service: ServiceName): Candidate[];
  recordCondition(target: TargetId, condition: TargetCondition): void;
  /** Raises the log-odds that a target is unhealthy to at least `logOdds`. */
  raiseSuspicion(target: TargetId, logOdds: number): void;
  /** Current estimate of the probability that a target is unhealthy. */
  unhealthyProbability(target: TargetId): number;
  adjustInFlight(target: TargetId, change: 1 | -1): void;
}

/** Dependencies of the dispatcher. */
export interface DispatcherSettings {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly placement: Placement;
  readonly statistics: RouteStatistics;
  readonly send: AttemptSender;
  readonly version: () => number;
  readonly log: LogSink;
}

/** Result of one attempt at a target. */
type AttemptResult =
  | { readonly type: 'answer'; readonly answer: TargetAnswer; readonly ranked: RankedCandidate }
  | { readonly type: 'refused'; readonly error: HomeRefusalError }
  | { readonly type: 'failed'; readonly error: FleetError };

interface Attempt {
  readonly abort: AbortController;
  readonly result: Promise<AttemptResult>;
  ranked: RankedCandidate | undefined;
  /** Time at which the request was sent to the current candidate. */
  sentAt: number;
  /** Whether the target may have started the request. */
  hasStarted: boolean;
}

/** State of one request and its attempts. */
interface DispatchState {
  readonly call: IncomingCall;
  /** Time at which the caller or the route gives up. */
  readonly timeoutAt: number;
  readonly running: Set<Attempt>;
  /** Number of requests per target. */
  readonly askCounts: Map<TargetId, number>;
  /** Targets that are not asked again: they may have run the request, or their home refused it. */
  readonly excluded: Set<TargetId>;
  /** Number of requests to homes whose queue seemed too long. */
  longQueueAsks: number;
  /** Number of targets to which the request was sent. */
  sent: number;
  /** Time before which no hedge is started. */
  hedgeFrom: number;
  mayHaveRun: boolean;
  failure: AttemptResult | undefined;
}

/** What a request waits for: the end of an attempt, a time, or an earlier deadline because the daemon stops. */
type DispatchEvent =
  | 'review'
  | 'deadline'
  | 'stopping'
  | { readonly attempt: Attempt; readonly result: AttemptResult };

/** A target to which a request is sent next. */
interface Choice {
  readonly ranked: RankedCandidate;
  readonly maxQueueWait: number;
  readonly isForced: boolean;
  /** Number of targets that could be chosen, and how many of them without recent evidence of their health. */
  readonly eligible: number;
  readonly unproven: number;
}

function isSuccess(result: AttemptResult): boolean {
  return result.type === 'answer' && result.answer.status < firstServerError;
}

/**
 * Sends a request to a target: chooses the target, tries the next one when a home refuses, and retries or hedges
 * an idempotent request at a second target when the first one fails or is slow.
 */
export class Dispatcher {
  /** Time at which this daemon stops waiting for answers. */
  private endsAt = Infinity;

  private readonly endEmitter = new Emitter<void>();

  public constructor(private readonly settings: DispatcherSettings) {}

  /** Ends each request, present or future, at `time` of the clock at the latest, since the daemon stops then. */
  public endBy(time: number): void {
    this.endsAt = time;
    this.endEmitter.fire();
  }

  /**
   * Returns the answer. Throws `NotRunError` if no target has run the request, `DeadlineError` after the
   * timeout, otherwise `OutcomeUnknownError`.
   */
  public async dispatch(call: IncomingCall, signal: AbortSignal): Promise<TargetAnswer> {
    const { clock } = this.settings;
    const state: DispatchState = {
      call,
      timeoutAt: clock.elapsed() + call.timeout,
      running: new Set(),
      askCounts: new Map(),
      excluded: new Set(),
      longQueueAsks: 0,
      sent: 0,
      hedgeFrom: 0,
      mayHaveRun: false,
      failure: undefined,
    };
    const cancel = (): void => state.running.forEach(({ abort }) => abort.abort());
    signal.addEventListener('abort', cancel, { once: true });
    try {
      return await this.run(state, signal);
    } finally {
      signal.removeEventListener('abort', cancel);
      cancel();
    }
  }

  private async run(state: DispatchState, signal: AbortSignal): Promise<TargetAnswer> {
    const { clock } = this.settings;
    if (this.patience(state) <= 0) throw this.createTimeoutError(state);
    this.startAttempt(state);
    for (;;) {
      const event = await this.nextEvent(state);
      if (signal.aborted) throw this.createCancelledError(state);
      if (event === 'deadline' && this.patience(state) <= 0) throw this.createTimeoutError(state);
      if (event === 'review') {
        if (this.hedgeWait(state) <= 0) this.hedge(state);
      } else if (event !== 'stopping' && event !== 'deadline') {
        state.running.delete(event.attempt);
        const { result } = event;
        if (isSuccess(result)) return (result as { answer: TargetAnswer }).answer;
        state.failure = this.moreInformative(state.failure, result);
        state.hedgeFrom = clock.elapsed() + hedgeRetryDelay;
        if (this.canRetry(state, result)) this.startAttempt(state);
        else if (state.running.size === 0) return this.finish(state);
      }
    }
  }

  /** Waits for the end of an attempt, the next check for a hedge, the deadline, or a stop. */
  private async nextEvent(state: DispatchState): Promise<DispatchEvent> {
    const { clock } = this.settings;
    const timers: Disposable[] = [];
    const timeout = (delay: number, event: 'review' | 'deadline') =>
      new Promise<typeof event>((resolve) => {
        timers.push(clock.after(delay, () => resolve(event)));
      });
    const waits: Promise<DispatchEvent>[] = [
      ...[...state.running].map(async (attempt) => ({ attempt, result: await attempt.result })),
      timeout(Math.max(0, this.patience(state)), 'deadline'),
      new Promise<'stopping'>((resolve) => {
        timers.push(this.endEmitter.event(() => resolve('stopping')));
      }),
    ];
    if (this.canHedge(state)) {
      waits.push(
        timeout(Math.max(0, Math.min(this.hedgeWait(state), hedgeReviewInterval)), 'review'),
      );
    }
    try {
      return await Promise.race(waits);
    } finally {
      timers.forEach((timer) => timer.dispose());
    }
  }

  /** Milliseconds until the caller or the route gives up, or this daemon stops. */
  private remaining({ timeoutAt }: DispatchState): number {
    return Math.min(timeoutAt, this.endsAt) - this.settings.clock.elapsed();
  }

  /**
   * Milliseconds for which a request still waits. If the daemon stops, one that no target has started is given up while
   * it would still have time to run, so that it does not get a slot only to be cut.
   */
  private patience(state: DispatchState): number {
    const { call, timeoutAt } = state;
    const mayStartLate = this.endsAt >= timeoutAt || this.mayRun(state);
    const work = mayStartLate ? 0 : this.settings.statistics.get(call.route).latencies.median;
    return this.remaining(state) - answerMargin - work;
  }

  private canHedge({ call, running, sent }: DispatchState): boolean {
    return call.route.isIdempotent && sent < call.route.maxAttempts && running.size === 1;
  }

  /** Milliseconds until the request is hedged, by the current estimate of the first target's health. */
  private hedgeWait({ call, running, hedgeFrom }: DispatchState): number {
    const { directory, statistics, clock } = this.settings;
    const [attempt] = running;
    if (attempt?.ranked === undefined) return hedgeReviewInterval;
    const { candidate, wait } = attempt.ranked;
    const delay = hedgeDelay(
      statistics.get(call.route).latencies,
      directory.unhealthyProbability(candidate.target),
    );
    return Math.max(hedgeFrom, attempt.sentAt + wait + delay) - clock.elapsed();
  }

  private hedge(state: DispatchState): void {
    const [attempt] = state.running;
    const ranked = attempt?.ranked;
    if (ranked !== undefined)
      this.settings.directory.raiseSuspicion(ranked.candidate.target, hedgedLogOdds);
    this.startAttempt(state);
  }

  private canRetry(state: DispatchState, result: AttemptResult): boolean {
    const { call, sent } = state;
    if (this.remaining(state) < minAttemptTime || sent >= call.route.maxAttempts) return false;
    if (result.type === 'refused') return result.error.details.hasReachedTarget === true;
    return call.route.isIdempotent;
  }

  /** Returns the more informative failure: an answer of a target, then an unknown outcome, then a refusal. */
  private moreInformative(known: AttemptResult | undefined, next: AttemptResult): AttemptResult {
    const weight = { answer: 2, failed: 1, refused: 0 } as const;
    return known !== undefined && weight[known.type] > weight[next.type] ? known : next;
  }

  private finish({ failure, mayHaveRun, call }: DispatchState): TargetAnswer {
    if (failure?.type === 'answer') return failure.answer;
    if (failure?.type === 'failed') throw failure.error;
    if (!mayHaveRun && failure !== undefined) throw failure.error;
    throw new OutcomeUnknownError('the request may have run', {
      step: 'dispatch',
      peer: call.service,
    });
  }

  private createTimeoutError(state: DispatchState): FleetError {
    const isStopping = this.endsAt < state.timeoutAt;
    const origin = { step: isStopping ? 'dispatch.stop' : 'dispatch.deadline' };
    if (!this.mayRun(state)) {
      const message = `no target had a free slot before ${isStopping ? 'this daemon stopped' : 'the deadline'}`;
      return new NotRunError('deadline', message, origin);
    }
    const message = isStopping
      ? 'no answer before this daemon stopped'
      : 'no answer within the timeout';
    return new DeadlineError(message, origin);
  }

  private mayRun({ mayHaveRun, running }: DispatchState): boolean {
    return mayHaveRun || [...running].some(({ hasStarted }) => hasStarted);
  }

  private createCancelledError(state: DispatchState): FleetError {
    const origin = { step: 'dispatch.cancelled' };
    if (!this.mayRun(state))
      return new NotRunError('cancelled', 'the caller cancelled the request', origin);
    return new OutcomeUnknownError('the caller cancelled the request', origin);
  }

  private startAttempt(state: DispatchState): void {
    const attempt: { -readonly [Key in keyof Attempt]?: Attempt[Key] } = {
      abort: new AbortController(),
      hasStarted: false,
      sentAt: this.settings.clock.elapsed(),
    };
    state.running.add(attempt as Attempt);
    attempt.result = this.attempt(state, attempt as Attempt);
  }

  /** Runs the request at one target; tries further targets while homes refuse it. */
  private async attempt(state: DispatchState, attempt: Attempt): Promise<AttemptResult> {
    let refusal: HomeRefusalError | undefined;
    let budgetRefusals = 0;
    for (let refusals = 0; refusals < maxRefusals && !attempt.abort.signal.aborted; refusals += 1) {
      const next = this.choose(state);
      if (next instanceof HomeRefusalError) return { type: 'refused', error: refusal ?? next };
      attempt.ranked = next.ranked;
      const result = await this.send(state, attempt, next);
      if (result.type !== 'refused') return result;
      refusal = result.error;
      if (refusal.details.hasReachedTarget === true || refusal.reason === 'quarantined') {
        return result;
      }
      if (refusal.reason === 'limit') {
        budgetRefusals += 1;
        if (budgetRefusals >= maxBudgetRefusals) return result;
      }
    }
    return { type: 'refused', error: refusal ?? this.createNoTargetError(state) };
  }

  private choose(state: DispatchState): Choice | HomeRefusalError {
    const { directory, placement, statistics } = this.settings;
    const { call } = state;
    const { latencies, kilobytes } = statistics.get(call.route);
    const candidates = directory.candidates(call.service);
    const { isIdempotent, maxAttempts } = call.route;
    const remaining = this.remaining(state) - answerMargin;
    // A request that would be answered late is refused with a retry time, which keeps the queue short for the others.
    const maxQueueWait = Math.max(0, Math.min(remaining, call.route.goal) - latencies.median);
    const context = {
      call,
      kilobytes,
      hedgeDelay: hedgeDelay(latencies, 0),
      maxQueueWait,
      isLast: !isIdempotent || state.sent + 1 >= maxAttempts,
    };
    const eligible = candidates.filter(({ target }) => !state.excluded.has(target));
    const ranking = placement.rank(eligible, context);
    const [best] = ranking;
    if (best === undefined) return this.createNoTargetError(state);
    if (best.wait > maxQueueWait) {
      // The queue is ordered by urgency, so only the home knows how many queued requests go first.
      if (state.longQueueAsks >= maxLongQueueAsks)
        return this.createQueueFullError(state, best.wait);
      state.longQueueAsks += 1;
    }
    const wasAsked = state.askCounts.has(best.candidate.target);
    // The first request to a home asks only for a free slot, since another target may have one.
    const mayQueue = wasAsked || best.wait > 0;
    return {
      ranked: best,
      maxQueueWait: mayQueue ? maxQueueWait : 0,
      isForced: wasAsked,
      eligible: ranking.length,
      unproven: ranking.filter(isUnproven).length,
    };
  }

  private async send(
    state: DispatchState,
    attempt: Attempt,
    choice: Choice,
  ): Promise<AttemptResult> {
    const { directory, clock, send, version } = this.settings;
    const { candidate } = choice.ranked;
    const { call } = state;
    const startedAt = clock.elapsed();
    attempt.sentAt = startedAt;
    state.askCounts.set(candidate.target, (state.askCounts.get(candidate.target) ?? 0) + 1);
    state.excluded.add(candidate.target);
    state.sent += 1;
    directory.adjustInFlight(candidate.target, 1);
    try {
      const request = {
        call,
        target: candidate.target,
        incarnation: candidate.incarnation,
        timeout: this.remaining(state) - answerMargin,
        maxQueueWait: choice.maxQueueWait,
        isForced: choice.isForced,
        isTrial: choice.ranked.isTrial,
        isRetry: state.sent > 1,
        version: version(),
        onStart: () => {
          attempt.hasStarted = true;
        },
      };
      const answer = await send(candidate, request, attempt.abort.signal);
      this.recordAnswer(state, candidate, answer, startedAt);
      this.logAttempt(state, choice, startedAt, `answered ${answer.status}`);
      return { type: 'answer', answer, ranked: choice.ranked };
    } catch (error) {
      const result = this.handleFailure(state, choice, startedAt, error);
      if (result.type === 'refused') attempt.hasStarted = false;
      return result;
    } finally {
      directory.adjustInFlight(candidate.target, -1);
    }
  }

  private recordAnswer(
    { call }: DispatchState,
    candidate: Candidate,
    { status, body, condition, transferred }: TargetAnswer,
    startedAt: number,
  ): void {
    const { directory, statistics, clock } = this.settings;
    if (condition !== undefined) directory.recordCondition(candidate.target, condition);
    if (status >= firstServerError) return;
    statistics.get(call.route).latencies.record(clock.elapsed() - startedAt);
    if (!Buffer.isBuffer(body)) return;
    statistics.recordSize(call.route, call.body.length + body.length, transferred);
  }

  private handleFailure(
    state: DispatchState,
    choice: Choice,
    startedAt: number,
    cause: unknown,
  ): AttemptResult {
    const { directory } = this.settings;
    const { candidate } = choice.ranked;
    if (cause instanceof HomeRefusalError) {
      const { condition, hasReachedTarget } = cause.details;
      if (condition !== undefined) directory.recordCondition(candidate.target, condition);
      if (hasReachedTarget !== true) {
        state.sent -= 1;
        const askCounts = state.askCounts.get(candidate.target) ?? 0;
        if (askCounts < maxAsks && retryableRefusals.has(cause.reason)) {
          state.excluded.delete(candidate.target);
        }
      }
      this.logAttempt(state, choice, startedAt, `refused: ${cause.reason}`);
      return { type: 'refused', error: cause };
    }
    state.mayHaveRun = true;
    const error =
      cause instanceof FleetError
        ? cause
        : new OutcomeUnknownError(String(cause), { step: 'dispatch.send', cause });
    this.logAttempt(state, choice, startedAt, error.message);
    return { type: 'failed', error };
  }

  private createNoTargetError({ call }: DispatchState): HomeRefusalError {
    return new HomeRefusalError(
      'no-target',
      'no target is available for the request',
      { step: 'dispatch.choose', peer: call.service },
      { retryAfter: defaultRetryAfter },
    );
  }

  private createQueueFullError({ call }: DispatchState, wait: number): HomeRefusalError {
    return new HomeRefusalError(
      'queue-full',
      'no slot will be free in time',
      { step: 'dispatch.choose', peer: call.service },
      { retryAfter: wait },
    );
  }

  private logAttempt(
    { call, sent }: DispatchState,
    { ranked, maxQueueWait, isForced, eligible, unproven }: Choice,
    startedAt: number,
    message: string,
  ): void {
    const { candidate } = ranked;
    this.settings.log.write({
      level: 'info',
      kind: 'route',
      message,
      fields: {
        step: 'dispatch',
        request: call.id,
        route: call.route.name,
        service: call.service,
        target: candidate.target,
        home: candidate.daemon,
        sent,
        cost: Math.round(ranked.cost),
        wait: Math.round(ranked.wait),
        sickness: Number(ranked.unhealthyProbability.toFixed(2)),
        age: candidate.condition === undefined ? undefined : Math.round(candidate.age),
        patience: Math.round(maxQueueWait),
        forced: isForced || undefined,
        scout: ranked.isTrial || undefined,
        eligible,
        unproven,
        version: this.settings.version(),
        took: Math.round(this.settings.clock.elapsed() - startedAt),
      },
    });
  }
}
