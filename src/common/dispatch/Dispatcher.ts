import {
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
import type { RankedCandidate, Placement } from './Placement.js';
import type { RouteStatistics } from './RouteStatistics.js';
import {
  DeadlineError,
  HomeRefusalError,
  HomeUnresponsiveError,
  type Candidate,
  type IncomingCall,
  type AttemptSender,
  type TargetAnswer,
  type TargetCondition,
} from './Types.js';

/** Homes that may refuse one attempt before it is given up; each refusal costs one hop. */
const maxRefusals = 12;
/** Homes without budget after which a retry is given up. */
const maxBudgetRefusals = 4;
/** Homes that are asked although their queue looks too long; each costs one hop. */
const maxDoubtfulAsks = 2;
/** Times that one home is asked: once for a free slot at a healthy target, and once without these conditions. */
const maxAsks = 2;
/** Refusals after which the same home may be asked once more, if no other place is better. */
const softRefusals: ReadonlySet<RefusalReason> = new Set(['suspect', 'queue-full']);
/** Milliseconds between two looks at what is known of the target that runs a request; news arrive about as often. */
const hedgeReview = 150;
/** Milliseconds until another try of a second attempt that no home had budget or room for: about one short request. */
const hedgePause = 250;
/** Suspicion of a target that let a hedge timer run out. */
const hedgedOdds = logit(0.6);
/** Milliseconds that an answer needs to reach the caller. */
const answerMargin = 20;
/** Least milliseconds left for a second attempt to make sense. */
const leastAttempt = 50;
/** Milliseconds of `Retry-After` when nothing tells when there will be room. */
const defaultRetryAfter = 500;
const firstServerError = 500;

/** What an entry knows of the fleet. */
export interface Directory {
  candidates(service: ServiceName): Candidate[];
  recordCondition(target: TargetId, condition: TargetCondition): void;
  markReachable(daemon: Candidate['daemon']): void;
  markUnreachable(daemon: Candidate['daemon']): void;
  raiseSuspicion(target: TargetId, sickness: number): void;
  /** Probability that a target is sick, by what is known now. */
  unhealthyProbability(target: TargetId): number;
  adjustInFlight(target: TargetId, change: 1 | -1): void;
}

/** What the dispatcher depends on. */
export interface DispatcherSettings {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly placement: Placement;
  readonly statistics: RouteStatistics;
  readonly send: AttemptSender;
  readonly version: () => number;
  readonly log: LogSink;
}

/** End of one attempt at a target. */
type AttemptResult =
  | { readonly type: 'answer'; readonly answer: TargetAnswer; readonly offer: RankedCandidate }
  | { readonly type: 'refused'; readonly error: HomeRefusalError }
  | { readonly type: 'failed'; readonly error: FleetError };

interface Attempt {
  readonly abort: AbortController;
  readonly result: Promise<AttemptResult>;
  offer: RankedCandidate | undefined;
  /** Time at which it was sent to that offer. */
  sentAt: number;
  /** Whether the target may have begun. */
  hasStarted: boolean;
}

/** One request on its way through attempts. */
interface Journey {
  readonly call: IncomingCall;
  readonly due: number;
  readonly running: Set<Attempt>;
  /** How often each target was asked. */
  readonly asks: Map<TargetId, number>;
  /** Targets that are not asked again: they may have run the request, or their home takes none. */
  readonly closed: Set<TargetId>;
  /** Homes that were asked although their queue looked too long. */
  doubtfulAsks: number;
  /** Targets to which it was sent. */
  sent: number;
  /** Time before which no second attempt follows a slow one. */
  hedgeFrom: number;
  mayHaveRun: boolean;
  failure: AttemptResult | undefined;
}

function isGood(result: AttemptResult): boolean {
  return result.type === 'answer' && result.answer.status < firstServerError;
}

/**
 * Brings a request to a target: places it, moves on when a home refuses, and asks a second target for requests
 * that may be repeated when the first one fails or is late.
 */
export class Dispatcher {
  public constructor(private readonly settings: DispatcherSettings) {}

  /**
   * Returns the answer. Throws `NotRunError` if no target has run the request, `DeadlineError` after the
   * timeout, and else `OutcomeUnknownError`.
   */
  public async dispatch(call: IncomingCall, signal: AbortSignal): Promise<TargetAnswer> {
    const { clock } = this.settings;
    const journey: Journey = {
      call,
      due: clock.elapsed() + call.timeout,
      running: new Set(),
      asks: new Map(),
      closed: new Set(),
      doubtfulAsks: 0,
      sent: 0,
      hedgeFrom: 0,
      mayHaveRun: false,
      failure: undefined,
    };
    const cancel = (): void => journey.running.forEach(({ abort }) => abort.abort());
    signal.addEventListener('abort', cancel, { once: true });
    try {
      return await this.travel(journey, signal);
    } finally {
      signal.removeEventListener('abort', cancel);
      cancel();
    }
  }

  private async travel(journey: Journey, signal: AbortSignal): Promise<TargetAnswer> {
    const { clock } = this.settings;
    this.startAttempt(journey);
    for (;;) {
      const event = await this.nextEvent(journey);
      if (signal.aborted) throw this.cancelled(journey);
      if (event === 'deadline') throw this.late(journey);
      if (event === 'review') {
        if (this.hedgeWait(journey) <= 0) this.hedge(journey);
      } else {
        journey.running.delete(event.attempt);
        const { result } = event;
        if (isGood(result)) return (result as { answer: TargetAnswer }).answer;
        journey.failure = this.worse(journey.failure, result);
        journey.hedgeFrom = clock.elapsed() + hedgePause;
        if (this.canRetry(journey, result)) this.startAttempt(journey);
        else if (journey.running.size === 0) return this.conclude(journey);
      }
    }
  }

  /** Waits for the end of an attempt, the moment for a hedge, or the deadline. */
  private async nextEvent(
    journey: Journey,
  ): Promise<'review' | 'deadline' | { attempt: Attempt; result: AttemptResult }> {
    const { clock } = this.settings;
    const timers: Disposable[] = [];
    const timeout = (delay: number, event: 'review' | 'deadline') =>
      new Promise<typeof event>((resolve) => {
        timers.push(clock.after(delay, () => resolve(event)));
      });
    const waits: Promise<'review' | 'deadline' | { attempt: Attempt; result: AttemptResult }>[] = [
      ...[...journey.running].map(async (attempt) => ({ attempt, result: await attempt.result })),
      timeout(Math.max(0, journey.due - clock.elapsed() - answerMargin), 'deadline'),
    ];
    if (this.canHedge(journey)) {
      waits.push(timeout(Math.max(0, Math.min(this.hedgeWait(journey), hedgeReview)), 'review'));
    }
    try {
      return await Promise.race(waits);
    } finally {
      timers.forEach((timer) => timer.dispose());
    }
  }

  private canHedge({ call, running, sent }: Journey): boolean {
    return call.route.isIdempotent && sent < call.route.maxAttempts && running.size === 1;
  }

  /** Milliseconds until a second target is asked, by what is known of the first one now. */
  private hedgeWait({ call, running, hedgeFrom }: Journey): number {
    const { directory, statistics: memory, clock } = this.settings;
    const [attempt] = running;
    if (attempt?.offer === undefined) return hedgeReview;
    const { candidate, wait } = attempt.offer;
    const delay = hedgeDelay(
      memory.get(call.route).latencies,
      directory.unhealthyProbability(candidate.target),
    );
    return Math.max(hedgeFrom, attempt.sentAt + wait + delay) - clock.elapsed();
  }

  private hedge(journey: Journey): void {
    const [attempt] = journey.running;
    const offer = attempt?.offer;
    if (offer !== undefined)
      this.settings.directory.raiseSuspicion(offer.candidate.target, hedgedOdds);
    this.startAttempt(journey);
  }

  private canRetry({ call, due, sent }: Journey, result: AttemptResult): boolean {
    const left = due - this.settings.clock.elapsed();
    if (left < leastAttempt || sent >= call.route.maxAttempts) return false;
    if (result.type === 'refused') return result.error.details.hasReachedTarget === true;
    return call.route.isIdempotent;
  }

  /** Keeps the failure that says most: an answer of a target, then an unknown outcome, then a refusal. */
  private worse(known: AttemptResult | undefined, next: AttemptResult): AttemptResult {
    const weight = { answer: 2, failed: 1, refused: 0 } as const;
    return known !== undefined && weight[known.type] > weight[next.type] ? known : next;
  }

  private conclude({ failure, mayHaveRun, call }: Journey): TargetAnswer {
    if (failure?.type === 'answer') return failure.answer;
    if (failure?.type === 'failed') throw failure.error;
    if (!mayHaveRun && failure !== undefined) throw failure.error;
    throw new OutcomeUnknownError('the request may have run', {
      step: 'dispatch',
      peer: call.service,
    });
  }

  private late(journey: Journey): FleetError {
    const origin = { step: 'dispatch.deadline' };
    if (!this.mayRun(journey))
      return new NotRunError('deadline', 'no target had room in time', origin);
    return new DeadlineError('no answer within the timeout', origin);
  }

  private mayRun({ mayHaveRun, running }: Journey): boolean {
    return mayHaveRun || [...running].some(({ hasStarted }) => hasStarted);
  }

  private cancelled(journey: Journey): FleetError {
    const origin = { step: 'dispatch.cancelled' };
    if (!this.mayRun(journey)) return new NotRunError('cancelled', 'the caller has left', origin);
    return new OutcomeUnknownError('the caller has left', origin);
  }

  private startAttempt(journey: Journey): void {
    const attempt: { -readonly [Key in keyof Attempt]?: Attempt[Key] } = {
      abort: new AbortController(),
      hasStarted: false,
      sentAt: this.settings.clock.elapsed(),
    };
    journey.running.add(attempt as Attempt);
    attempt.result = this.attempt(journey, attempt as Attempt);
  }

  /** Runs the request at one target; homes that refuse are passed over. */
  private async attempt(journey: Journey, attempt: Attempt): Promise<AttemptResult> {
    let refusal: HomeRefusalError | undefined;
    let budgetRefusals = 0;
    for (let refusals = 0; refusals < maxRefusals && !attempt.abort.signal.aborted; refusals += 1) {
      const next = this.choose(journey);
      if (next instanceof HomeRefusalError) return { type: 'refused', error: refusal ?? next };
      attempt.offer = next.offer;
      const result = await this.send(journey, attempt, next);
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
    return { type: 'refused', error: refusal ?? this.noTarget(journey) };
  }

  private choose(
    journey: Journey,
  ): { offer: RankedCandidate; patience: number; isForced: boolean } | HomeRefusalError {
    const { directory, placement, statistics: memory, clock } = this.settings;
    const { call } = journey;
    const { latencies: times, kilobytes } = memory.get(call.route);
    const all = directory.candidates(call.service);
    const { isIdempotent, maxAttempts } = call.route;
    const facts = {
      call,
      kilobytes,
      hedgeDelay: hedgeDelay(times, 0),
      isLast: !isIdempotent || journey.sent + 1 >= maxAttempts,
    };
    const open = all.filter(({ target }) => !journey.closed.has(target));
    const [best] = placement.rank(open, facts);
    if (best === undefined) return this.noTarget(journey);
    const left = journey.due - clock.elapsed() - answerMargin;
    // A caller that would be served late is better told when to come back: the queue stays short for the others.
    const patience = Math.max(0, Math.min(left, call.route.goal) - times.median);
    if (best.wait > patience) {
      // The queue serves by urgency, so only the home knows how many of the waiting ones go first.
      if (journey.doubtfulAsks >= maxDoubtfulAsks) return this.busy(journey, best.wait);
      journey.doubtfulAsks += 1;
    }
    const isRepeated = journey.asks.has(best.candidate.target);
    // At first a home is asked only for a free slot at a healthy target: another one may have that.
    const isPatient = isRepeated || best.wait > 0;
    return { offer: best, patience: isPatient ? patience : 0, isForced: isRepeated };
  }

  private async send(
    journey: Journey,
    attempt: Attempt,
    choice: { offer: RankedCandidate; patience: number; isForced: boolean },
  ): Promise<AttemptResult> {
    const { directory, clock, send, version } = this.settings;
    const { candidate } = choice.offer;
    const { call } = journey;
    const started = clock.elapsed();
    attempt.sentAt = started;
    journey.asks.set(candidate.target, (journey.asks.get(candidate.target) ?? 0) + 1);
    journey.closed.add(candidate.target);
    journey.sent += 1;
    directory.adjustInFlight(candidate.target, 1);
    try {
      const order = {
        call,
        target: candidate.target,
        incarnation: candidate.incarnation,
        timeout: journey.due - started - answerMargin,
        maxQueueWait: choice.patience,
        isForced: choice.isForced,
        isTrial: choice.offer.isTrial,
        isRetry: journey.sent > 1,
        version: version(),
        onStart: () => {
          attempt.hasStarted = true;
        },
      };
      const answer = await send(candidate, order, attempt.abort.signal);
      this.learn(journey, candidate, answer, started);
      this.write(journey, choice, started, `answered ${answer.status}`);
      return { type: 'answer', answer, offer: choice.offer };
    } catch (error) {
      const result = this.fail(journey, choice, started, error);
      if (result.type === 'refused') attempt.hasStarted = false;
      return result;
    } finally {
      directory.adjustInFlight(candidate.target, -1);
    }
  }

  private learn(
    { call }: Journey,
    candidate: Candidate,
    { status, body, condition }: TargetAnswer,
    started: number,
  ): void {
    const { directory, statistics: memory, clock } = this.settings;
    directory.markReachable(candidate.daemon);
    if (condition !== undefined) directory.recordCondition(candidate.target, condition);
    if (status >= firstServerError) return;
    memory.get(call.route).latencies.record(clock.elapsed() - started);
    if (Buffer.isBuffer(body)) memory.recordSize(call.route, call.body.length + body.length);
  }

  private fail(
    journey: Journey,
    choice: { offer: RankedCandidate; patience: number; isForced: boolean },
    started: number,
    cause: unknown,
  ): AttemptResult {
    const { directory } = this.settings;
    const { candidate } = choice.offer;
    if (cause instanceof HomeRefusalError) {
      const { condition, isUnreachable, hasReachedTarget } = cause.details;
      if (isUnreachable === true) directory.markUnreachable(candidate.daemon);
      else directory.markReachable(candidate.daemon);
      if (condition !== undefined) directory.recordCondition(candidate.target, condition);
      if (hasReachedTarget !== true) {
        journey.sent -= 1;
        const asks = journey.asks.get(candidate.target) ?? 0;
        if (asks < maxAsks && softRefusals.has(cause.reason)) {
          journey.closed.delete(candidate.target);
        }
      }
      this.write(journey, choice, started, `refused: ${cause.reason}`);
      return { type: 'refused', error: cause };
    }
    journey.mayHaveRun = true;
    if (cause instanceof HomeUnresponsiveError) directory.markUnreachable(candidate.daemon);
    const error =
      cause instanceof FleetError
        ? cause
        : new OutcomeUnknownError(String(cause), { step: 'dispatch.send', cause });
    this.write(journey, choice, started, error.message);
    return { type: 'failed', error };
  }

  private noTarget({ call }: Journey): HomeRefusalError {
    return new HomeRefusalError(
      'no-target',
      'no target takes the request',
      { step: 'dispatch.choose', peer: call.service },
      { retryAfter: defaultRetryAfter },
    );
  }

  private busy({ call }: Journey, wait: number): HomeRefusalError {
    return new HomeRefusalError(
      'queue-full',
      'no slot will be free in time',
      { step: 'dispatch.choose', peer: call.service },
      { retryAfter: wait },
    );
  }

  private write(
    { call, sent }: Journey,
    { offer, patience, isForced }: { offer: RankedCandidate; patience: number; isForced: boolean },
    started: number,
    message: string,
  ): void {
    const { candidate } = offer;
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
        cost: Math.round(offer.cost),
        wait: Math.round(offer.wait),
        sickness: Number(offer.unhealthyProbability.toFixed(2)),
        age: candidate.condition === undefined ? undefined : Math.round(candidate.age),
        patience: Math.round(patience),
        forced: isForced || undefined,
        scout: offer.isTrial || undefined,
        version: this.settings.version(),
        took: Math.round(this.settings.clock.elapsed() - started),
      },
    });
  }
}
