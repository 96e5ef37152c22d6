import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { RequestPipeline } from '../common/admission/RequestPipeline.js';
import { PipelinedRequest, type RequestOrder } from './PipelinedRequest.js';

/** Requests of one connection that run or whose responses are buffered; the others wait, so that no caller takes all slots. */
const maxOpenRequests = 4;
/** Waiting requests of one connection above which nothing more is read from it. */
const maxWaitingRequests = 32;

/** Requests of one connection in their order. */
export class ConnectionPipeline implements RequestOrder {
  private readonly order = new RequestPipeline<PipelinedRequest>(maxOpenRequests);

  /** Request whose response announces the close of the connection because the server stops. */
  private announced: PipelinedRequest | undefined;

  public constructor(private readonly socket: Socket) {
    socket.once('close', () => {
      this.order.requests.forEach((request) => request.drop());
    });
  }

  /** Adds a request in the order of arrival. */
  public add(response: ServerResponse, isStopping: boolean): PipelinedRequest {
    const request = new PipelinedRequest(response, this);
    if (this.announced?.response.headersSent === true) this.closeAfter(this.announced);
    if (!this.order.add(request)) {
      request.drop();
      return request;
    }
    // Node.js emits no event for a response whose turn to be sent has not come when the connection closes.
    response.once('close', () => this.finish(request));
    if (!response.shouldKeepAlive) this.closeAfter(request);
    if (isStopping) this.announceClose();
    return request;
  }

  /** Announces the close of the connection in the response to the newest request. */
  public announceClose(): void {
    const newest = this.order.requests.at(-1);
    if (newest === undefined || newest.response.headersSent) return;
    this.announced?.response.removeHeader('connection');
    this.announced = newest;
    newest.response.setHeader('connection', 'close');
  }

  /** Lets a request wait for its turn. */
  public wait(request: PipelinedRequest, isIdempotent: boolean): void {
    this.order.wait(request, isIdempotent);
    this.startNext();
  }

  /** Makes a request the last one of the connection and drops those behind it. */
  public closeAfter(request: PipelinedRequest): void {
    this.order.closeAfter(request).forEach((behind) => behind.drop());
  }

  private finish(request: PipelinedRequest): void {
    this.order.remove(request);
    request.end();
    this.startNext();
  }

  private startNext(): void {
    // The response that was being sent ends before the event of the connection.
    if (this.socket.destroyed) return;
    this.order.startNext().forEach((request) => request.start());
    const isPaused = this.socket.isPaused();
    const waiting = this.order.waitingCount;
    if (!isPaused && waiting > maxWaitingRequests) this.socket.pause();
    else if (isPaused && waiting === 0) this.socket.resume();
  }
}
