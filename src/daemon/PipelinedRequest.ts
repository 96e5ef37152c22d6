import type { ServerResponse } from 'node:http';

/** Order of the requests of a connection, as one of them sees it. */
export interface RequestOrder {
  /** Calls `start` of the request when its turn has come. */
  wait(request: PipelinedRequest, isIdempotent: boolean): void;
  /** Drops the requests that were sent behind this one. */
  closeAfter(request: PipelinedRequest): void;
}

/** A request on a caller's connection, together with its response. */
export class PipelinedRequest {
  private readonly abort = new AbortController();

  private isCut = false;

  private resolveTurn: ((isNeeded: boolean) => void) | undefined;

  public constructor(
    public readonly response: ServerResponse,
    private readonly pipeline: RequestOrder,
  ) {}

  /** Aborted when the response is complete, or when it can no longer be sent. */
  public get signal(): AbortSignal {
    return this.abort.signal;
  }

  /** Whether the response cannot be sent: the connection closes before it. */
  public get isDropped(): boolean {
    return this.isCut;
  }

  /** Resolves when the turn of this request has come; to false if its response cannot be sent. */
  public waitForTurn(isIdempotent: boolean): Promise<boolean> {
    if (this.isCut) return Promise.resolve(false);
    return new Promise((resolve) => {
      this.resolveTurn = resolve;
      this.pipeline.wait(this, isIdempotent);
    });
  }

  /** Closes the connection after this response; what was sent behind it is cancelled and not answered. */
  public closeConnection(): void {
    this.pipeline.closeAfter(this);
    if (!this.response.headersSent) this.response.setHeader('connection', 'close');
  }

  /** Called by the pipeline. */
  public start(): void {
    this.resolveTurn?.(true);
  }

  /** Called by the pipeline when the response is complete. */
  public end(): void {
    this.abort.abort();
  }

  /** Called by the pipeline when the response can no longer be sent. */
  public drop(): void {
    this.isCut = true;
    this.abort.abort();
    this.resolveTurn?.(false);
  }
}
