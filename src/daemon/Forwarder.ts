import { Readable } from 'node:stream';
import { isLeft } from 'fp-ts/lib/Either.js';
import {
  FleetError,
  NotRunError,
  OutcomeUnknownError,
  type Clock,
  type DaemonId,
  type LogSink,
  type RequestContext,
  type ServiceName,
  type TargetId,
} from '../api/index.js';
import type { Selector } from '../common/selection/Selector.js';
import type { SelectedTarget, LoadRecorder } from '../common/selection/Types.js';
import { discard } from './streams.js';
import type { Directory, ForwardAnswer, HeaderPair, Home } from './Types.js';

/** Request of a caller after routing. */
export interface RoutedRequest {
  readonly context: RequestContext;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderPair[];
  /** A buffer can be sent again, a stream cannot. */
  readonly body?: Buffer | Readable;
}

/** Decides whether one more attempt may be made. */
export interface RetryLimiter {
  /** Counts a request of a caller. */
  recordRequest(service: ServiceName): void;
  /** Takes one retry from the budget; false if there is none left. */
  takeRetry(service: ServiceName): boolean;
}

/** Dependencies of a forwarder. */
export interface ForwarderSettings {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly selector: Selector;
  readonly loads: LoadRecorder;
  readonly retries: RetryLimiter;
  readonly log: LogSink;
  /** Home with this daemon id: the local one or a client for a peer. */
  readonly homeOf: (daemon: DaemonId) => Home;
}

const maxAttempts = 3;
/** Attempts with an unknown outcome: a request that may have crashed two targets is not sent to a third. */
const maxUnknownOutcomes = 2;
/** Share of the remaining time that an attempt may use if it can be retried. */
const attemptTimeShare = 0.6;
const firstServerError = 500;

/** Result of one attempt. */
type Attempt =
  | { readonly answer: ForwardAnswer; readonly target: TargetId }
  | { readonly error: FleetError; readonly target?: TargetId };

function toFleetError(error: unknown): FleetError {
  if (error instanceof FleetError) return error;
  const message = error instanceof Error ? error.message : String(error);
  return new OutcomeUnknownError(message, { step: 'forward', cause: error });
}

/** Entry side of forwarding: selects a target, sends the request to its home, and retries if allowed. */
export class Forwarder {
  public constructor(private readonly settings: ForwarderSettings) {}

  /**
   * Forwards a request until there is an answer. Throws `NotRunError` if no attempt reached a target
   * and `OutcomeUnknownError` if one may have run without an answer.
   */
  public async forward(request: RoutedRequest, signal: AbortSignal): Promise<ForwardAnswer> {
    const { context } = request;
    const avoid = new Set<TargetId>();
    const started = this.settings.clock.elapsed();
    this.settings.retries.recordRequest(context.service);
    let unknown: FleetError | undefined;
    let unknownCount = 0;
    for (let count = 1; ; count += 1) {
      const remaining = context.timeout - (this.settings.clock.elapsed() - started);
      const attempt = await this.attempt(request, avoid, remaining, signal);
      if ('error' in attempt && !(attempt.error instanceof NotRunError)) {
        unknown = attempt.error;
        unknownCount += 1;
      }
      const isLast = count >= maxAttempts || unknownCount >= maxUnknownOutcomes;
      if (isLast || !this.mayRetry(request, attempt, started, signal)) {
        if ('answer' in attempt) return attempt.answer;
        // A refusal of the last attempt must not hide that an earlier attempt may have run.
        throw unknown ?? attempt.error;
      }
      if ('answer' in attempt) discard(attempt.answer.body);
      if (attempt.target !== undefined) avoid.add(attempt.target);
    }
  }

  private mayRetry(
    request: RoutedRequest,
    attempt: Attempt,
    started: number,
    signal: AbortSignal,
  ): boolean {
    const { context } = request;
    const isOver = this.settings.clock.elapsed() - started >= context.timeout;
    if (isOver || signal.aborted || attempt.target === undefined) {
      return false;
    }
    if (!Forwarder.isRepeatable(request, attempt)) return false;
    return this.settings.retries.takeRetry(context.service);
  }

  private static isRepeatable(request: RoutedRequest, attempt: Attempt): boolean {
    if (request.body instanceof Readable) return false;
    if ('answer' in attempt) {
      return request.context.isIdempotent && attempt.answer.status >= firstServerError;
    }
    return attempt.error instanceof NotRunError || request.context.isIdempotent;
  }

  private async attempt(
    request: RoutedRequest,
    avoid: ReadonlySet<TargetId>,
    remaining: number,
    signal: AbortSignal,
  ): Promise<Attempt> {
    const { context } = request;
    const candidates = this.settings.directory.candidates(context.service);
    const chosen = this.settings.selector.choose(
      { context, avoid },
      candidates,
      this.settings.loads,
    );
    if (isLeft(chosen)) {
      const { reason, message } = chosen.left;
      return { error: new NotRunError(reason, message, { step: 'entry.select' }) };
    }
    return this.send(request, chosen.right, Math.max(1, remaining), signal);
  }

  private async send(
    request: RoutedRequest,
    selected: SelectedTarget,
    remaining: number,
    signal: AbortSignal,
  ): Promise<Attempt> {
    const { target } = selected;
    const { loads } = this.settings;
    const canRepeat = request.context.isIdempotent && !(request.body instanceof Readable);
    const timeout = canRepeat ? remaining * attemptTimeShare : remaining;
    const abort = new AbortController();
    const cancel = (): void => abort.abort();
    const timer = this.settings.clock.after(timeout, cancel);
    signal.addEventListener('abort', cancel, { once: true });
    loads.sent(target.id, request.context.route);
    try {
      const answer = await this.settings.homeOf(target.home).forward(
        {
          context: { ...request.context, timeout },
          target: target.id,
          targetIncarnation: target.incarnation,
          method: request.method,
          path: request.path,
          headers: request.headers,
          body: request.body,
        },
        abort.signal,
      );
      answer.body.once('close', () => {
        loads.ended(target.id, answer.load, request.context.route);
        signal.removeEventListener('abort', cancel);
      });
      this.recordOutcome(target.id, answer.status);
      this.logSelection(request, selected, `answered ${answer.status}`);
      return { answer, target: target.id };
    } catch (cause) {
      loads.ended(target.id, undefined, request.context.route);
      signal.removeEventListener('abort', cancel);
      const error = toFleetError(cause);
      // Neither a refusal nor a cancelled attempt, which may only have been queued, is a failure of the target.
      if (!(error instanceof NotRunError) && !abort.signal.aborted) loads.failed(target.id);
      this.logSelection(request, selected, error.message);
      return { error, target: target.id };
    } finally {
      timer.dispose();
    }
  }

  private recordOutcome(target: TargetId, status: number): void {
    if (status >= firstServerError) this.settings.loads.failed(target);
    else this.settings.loads.succeeded(target);
  }

  private logSelection(request: RoutedRequest, selected: SelectedTarget, result: string): void {
    const { id, service, workClass, route } = request.context;
    this.settings.log.write({
      level: 'info',
      kind: 'route',
      message: result,
      fields: {
        step: 'entry.select',
        request: id,
        service,
        route,
        class: workClass,
        target: selected.target.id,
        home: selected.target.home,
        candidates: selected.candidates,
        locality: selected.locality,
        expectedWait: Math.round(selected.expectedWait),
        reason: selected.reason,
      },
    });
  }
}
