/** Request of a caller with what is known of it. */
interface RequestRecord {
  readonly isIdempotent: boolean;
  /** Times at which targets started to run it, in milliseconds. */
  readonly starts: number[];
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

/** Expected response body; lets the caller detect a truncated response or one to another request. */
export function expectedBody(id: string): string {
  return `${id}:${'x'.repeat(1_000)}:end`;
}

/** Records what callers and targets observed and finds violations of the delivery guarantees. */
export class CallHistory {
  private readonly requests = new Map<string, RequestRecord>();

  /** Time in milliseconds at which a daemon acknowledged the drain announcement, by target. */
  private readonly drainTimes = new Map<string, number>();

  private readonly found: string[] = [];

  /** @param drainMs Milliseconds after an acknowledged drain announcement in which a target may still get requests. */
  public constructor(private readonly drainMs: number) {}

  /** Number of requests that callers sent. */
  public get size(): number {
    return this.requests.size;
  }

  /** Number of requests that got a response with status 200. */
  public get servedCount(): number {
    return [...this.requests.values()].filter(({ response }) => response?.status === 200).length;
  }

  /** Records that a caller sends a request. */
  public recordRequest(id: string, isIdempotent: boolean): void {
    this.requests.set(id, { isIdempotent, starts: [], response: undefined });
  }

  /** Records that a target starts to run a request; `time` is in milliseconds. */
  public recordStart(id: string, target: string, time: number): void {
    const drainedAt = this.drainTimes.get(target);
    if (drainedAt !== undefined && time > drainedAt + this.drainMs) {
      this.found.push(
        `${id} reached ${target} ${time - drainedAt} ms after its drain announcement`,
      );
    }
    const request = this.requests.get(id);
    if (request === undefined) this.found.push(`${id} ran at ${target} but no caller sent it`);
    request?.starts.push(time);
  }

  /** Records that a daemon acknowledged the drain announcement of a target; `time` is in milliseconds. */
  public recordDrain(target: string, time: number): void {
    if (!this.drainTimes.has(target)) this.drainTimes.set(target, time);
  }

  /** Records the response that a caller received. */
  public recordResponse(id: string, response: CallerResponse): void {
    const request = this.requests.get(id);
    if (request !== undefined) request.response = response;
  }

  /** Returns the violations found. Call it only when no request can run any more. */
  public violations(): string[] {
    const found = [...this.found];
    this.requests.forEach(({ isIdempotent, starts, response }, id) => {
      if (!isIdempotent && starts.length > 1) found.push(`${id} ran ${starts.length} times`);
      if (response === undefined) return;
      const { status, body, isSigned } = response;
      if (notRunStatuses.has(status) && starts.length > 0) {
        found.push(`${id} was rejected with ${status} but ran`);
      }
      if (status === notFound) found.push(`${id} was answered 404 although its route exists`);
      if (status >= firstRedirect) return;
      if (!isSigned || body !== expectedBody(id)) {
        found.push(
          `${id} got a truncated response or that of another request: ${body.slice(0, 40)}`,
        );
      }
      if (starts.length === 0) found.push(`${id} got a response but did not run`);
    });
    return found;
  }
}
