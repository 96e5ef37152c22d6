import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { ConnectionPipeline } from './ConnectionPipeline.js';
import type { PipelinedRequest } from './PipelinedRequest.js';

/** Requests in flight on the connections of a server, which callers may send without waiting for earlier responses. */
export class PipelinedConnections {
  private readonly pipelines = new Map<Socket, ConnectionPipeline>();

  private isStopping = false;

  /** Adds a request; called in the order in which the requests of a connection arrive. */
  public open({ socket }: IncomingMessage, response: ServerResponse): PipelinedRequest {
    return this.pipelineOf(socket).add(response, this.isStopping);
  }

  /** Closes each connection after the response to its newest request. */
  public announceStop(): void {
    this.isStopping = true;
    this.pipelines.forEach((pipeline) => pipeline.announceClose());
  }

  private pipelineOf(socket: Socket): ConnectionPipeline {
    let pipeline = this.pipelines.get(socket);
    if (pipeline === undefined) {
      pipeline = new ConnectionPipeline(socket);
      this.pipelines.set(socket, pipeline);
      socket.once('close', () => this.pipelines.delete(socket));
    }
    return pipeline;
  }
}
