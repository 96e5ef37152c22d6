interface Entry<Request> {
  readonly request: Request;
  /** Waits for its turn to start. */
  isWaiting: boolean;
  isIdempotent: boolean;
}

/**
 * Order of the requests that one caller sends on a connection without waiting for the responses. Idempotent requests run
 * side by side up to a limit; any other one runs alone (RFC 9112, section 9.3.2). Nothing starts behind a response that
 * closes the connection, since the caller sends those requests again.
 */
export class RequestPipeline<Request> {
  private readonly entries: Entry<Request>[] = [];

  /** Request after whose response the connection closes. */
  private final: Request | undefined;

  /** `maxOpen` limits the requests that have started and whose responses are not sent yet. */
  public constructor(private readonly maxOpen: number) {}

  /** Number of requests that wait for their turn. */
  public get waitingCount(): number {
    return this.entries.filter(({ isWaiting }) => isWaiting).length;
  }

  /** Requests whose responses are not sent yet, in their order. */
  public get requests(): readonly Request[] {
    return this.entries.map(({ request }) => request);
  }

  /** Adds a request that has arrived; returns false if it comes behind the final one. */
  public add(request: Request): boolean {
    if (this.final !== undefined) return false;
    this.entries.push({ request, isWaiting: false, isIdempotent: true });
    return true;
  }

  /** Lets a request wait for its turn. */
  public wait(request: Request, isIdempotent: boolean): void {
    const entry = this.entries[this.indexOf(request)];
    if (entry === undefined) return;
    entry.isIdempotent = isIdempotent;
    entry.isWaiting = true;
  }

  /** Starts the requests whose turn has come, and returns them in their order. */
  public startNext(): readonly Request[] {
    const next = this.entries.slice(0, this.maxOpen);
    const barrier = next.findIndex(({ isIdempotent }) => !isIdempotent);
    // A request that must run alone starts when it is the first, and holds back those behind it.
    const startable = barrier < 0 ? next : next.slice(0, Math.max(1, barrier));
    const started = startable.filter(({ isWaiting }) => isWaiting);
    started.forEach((entry) => {
      entry.isWaiting = false;
    });
    return started.map(({ request }) => request);
  }

  /** Removes a request whose response is sent. */
  public remove(request: Request): void {
    const index = this.indexOf(request);
    if (index >= 0) this.entries.splice(index, 1);
  }

  /**
   * Makes a request, whose response may be sent already, the final one of its connection; removes those behind it and
   * returns them.
   */
  public closeAfter(request: Request): readonly Request[] {
    this.final = request;
    return this.entries.splice(this.indexOf(request) + 1).map((entry) => entry.request);
  }

  private indexOf(request: Request): number {
    return this.entries.findIndex((entry) => entry.request === request);
  }
}
