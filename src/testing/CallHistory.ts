import {
  findLoss,
  type CallerEnd,
  type LossBounds,
  type ObservedRequest,
  type TargetRun,
  type VmEvent,
} from './LossRule.js';

/** What a caller asks for. */
export interface CallerRequest {
  readonly isIdempotent: boolean;
  /** VM of the daemon to which it is sent. */
  readonly vm: string;
  /** Milliseconds: the lesser of the timeout of its route and the patience of its caller. */
  readonly timeout: number;
}

/** Bounds of the guarantees in milliseconds. */
export interface HistoryBounds extends LossBounds {
  /** Time after an acknowledged drain announcement in which a target may still get requests. */
  readonly drain: number;
}

/** Request of a caller with what is known of it. */
interface RequestRecord extends CallerRequest, ObservedRequest {
  readonly runs: TargetRun[];
  sentAt: number | undefined;
  end: CallerEnd | undefined;
  response: CallerResponse | undefined;
}

/** Response as a caller received it; a closed connection is not recorded as a response. */
export interface CallerResponse {
  readonly status: number;
  readonly body: string;
  /** Whether the response carries the signature of a target. */
  readonly isSigned: boolean;
}

/** Status codes that guarantee that the request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const notFound = 404;
const firstRedirect = 300;
const firstServerError = 500;

/** Expected response body; lets the caller detect a truncated response or one to another request. */
export function expectedBody(id: string): string {
  return `${id}:${'x'.repeat(1_000)}:end`;
}

/** Records what callers and targets observed and finds violations of the delivery guarantees. */
export class CallHistory {
  private readonly requests = new Map<string, RequestRecord>();

  /** Time in milliseconds at which a daemon acknowledged the drain announcement, by target. */
  private readonly drainTimes = new Map<string, number>();

  private readonly events: VmEvent[] = [];

  private readonly found: string[] = [];

  public constructor(private readonly bounds: HistoryBounds) {}

  /** Number of requests that callers sent. */
  public get size(): number {
    return this.requests.size;
  }

  /** Number of requests that got a response with status 200. */
  public get servedCount(): number {
    return [...this.requests.values()].filter(({ response }) => response?.status === 200).length;
  }

  /** Records that a caller sends a request. */
  public recordRequest(id: string, request: CallerRequest): void {
    this.requests.set(id, {
      ...request,
      runs: [],
      sentAt: undefined,
      end: undefined,
      response: undefined,
    });
  }

  /** Records that the last byte of a request was written; `time` is in milliseconds. */
  public recordSent(id: string, time: number): void {
    const request = this.requests.get(id);
    if (request !== undefined) request.sentAt = time;
  }

  /** Records that a request ended without a complete response; `time` is in milliseconds. */
  public recordEnd(id: string, type: 'truncated' | 'closed' | 'gave-up', time: number): void {
    const request = this.requests.get(id);
    if (request !== undefined) request.end = { type, time };
  }

  /** Records planned work or an unplanned fault at a VM from its begin to its end in milliseconds. */
  public recordEvent(type: VmEvent['type'], vm: string, from: number, to = from): void {
    this.events.push({ type, vm, from, to });
  }

  /** Records that something ended that must not end by itself. */
  public recordFailure(message: string): void {
    this.found.push(message);
  }

  /** Records that a target starts to run a request; `time` is in milliseconds. */
  public recordStart(id: string, target: string, time: number): void {
    const drainedAt = this.drainTimes.get(target);
    if (drainedAt !== undefined && time > drainedAt + this.bounds.drain) {
      this.found.push(
        `${id} reached ${target} ${time - drainedAt} ms after its drain announcement`,
      );
    }
    const request = this.requests.get(id);
    if (request === undefined) this.found.push(`${id} ran at ${target} but no caller sent it`);
    request?.runs.push({ target, startedAt: time, end: undefined });
  }

  /** Records how a target ended its work on a request; `time` is in milliseconds. */
  public recordRunEnd(
    id: string,
    target: string,
    type: 'answered' | 'broken-off' | 'dropped',
    time: number,
  ): void {
    const run = this.requests
      .get(id)
      ?.runs.find((candidate) => candidate.target === target && candidate.end === undefined);
    if (run !== undefined) run.end = { type, time };
  }

  /** Records that a daemon acknowledged the drain announcement of a target; `time` is in milliseconds. */
  public recordDrain(target: string, time: number): void {
    if (!this.drainTimes.has(target)) this.drainTimes.set(target, time);
  }

  /** Records the complete response that a caller received; `time` is in milliseconds. */
  public recordResponse(id: string, response: CallerResponse, time: number): void {
    const request = this.requests.get(id);
    if (request === undefined) return;
    request.response = response;
    const isOwnFailure = !response.isSigned && response.status >= firstServerError;
    request.end = { type: isOwnFailure ? 'failed' : 'answered', time };
  }

  /** Returns the violations found. Call it only when no request can run any more. */
  public violations(): string[] {
    const found = [...this.found];
    this.requests.forEach((request, id) => {
      const { isIdempotent, runs, response } = request;
      if (!isIdempotent && runs.length > 1) found.push(`${id} ran ${runs.length} times`);
      const loss = findLoss(request, this.events, this.bounds);
      if (loss !== undefined) found.push(`${id} was lost: ${loss}`);
      if (response === undefined) return;
      const { status, body, isSigned } = response;
      if (notRunStatuses.has(status) && runs.length > 0) {
        found.push(`${id} was rejected with ${status} but ran`);
      }
      if (status === notFound) found.push(`${id} was answered 404 although its route exists`);
      if (status >= firstRedirect) return;
      if (!isSigned || body !== expectedBody(id)) {
        found.push(
          `${id} got a truncated response or that of another request: ${body.slice(0, 40)}`,
        );
      }
      if (runs.length === 0) found.push(`${id} got a response but did not run`);
    });
    return found;
  }
}
