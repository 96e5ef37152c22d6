import { Readable } from 'node:stream';
import { buffer } from 'node:stream/consumers';
import {
  Server,
  ServerCredentials,
  status,
  type sendUnaryData,
  type ServerDuplexStream,
  type ServerUnaryCall,
} from '@grpc/grpc-js';
import { FleetError, NotRunError, type Disposable } from '../api/index.js';
import type { AnswerPart } from './generated/limpettrack/AnswerPart.js';
import type { PeerHandlers } from './generated/limpettrack/Peer.js';
import type { RequestPart__Output as RequestPart } from './generated/limpettrack/RequestPart.js';
import { findHeader } from './Headers.js';
import { decodeForwardRequest, encodeHeaders, encodeLoad } from './PeerMessages.js';
import { channelOptions, Peer } from './PeerProtocol.js';
import { discard } from './streams.js';
import type { Home } from './Types.js';

/** Bodies up to this size are sent in one part with their head, which halves the cost of a call. */
const smallBodyBytes = 16 * 1024;

type ForwardCall = ServerDuplexStream<RequestPart, AnswerPart>;

/** Handles a unary call; a rejection becomes a gRPC error. */
export type UnaryHandler<Request, Response> = (request: Request, peer: string) => Promise<Response>;

/** Adapts an async handler to the callback interface of gRPC. */
export function createUnaryHandler<Request, Response>(handler: UnaryHandler<Request, Response>) {
  return (call: ServerUnaryCall<Request, Response>, done: sendUnaryData<Response>): void => {
    handler(call.request, call.getPeer()).then(
      (response) => done(null, response),
      (error: Error) => done({ code: status.INTERNAL, details: error.message }),
    );
  };
}

/** Writes one part and waits until the stream accepts more (backpressure). */
async function writePart(call: ForwardCall, part: AnswerPart): Promise<void> {
  if (call.write(part)) return;
  await new Promise<void>((resolve) => {
    const finish = (): void => {
      call.off('drain', finish);
      call.off('cancelled', finish);
      call.off('error', finish);
      resolve();
    };
    call.on('drain', finish);
    call.on('cancelled', finish);
    call.on('error', finish);
  });
}

async function* readBody(
  first: RequestPart,
  parts: AsyncIterator<RequestPart>,
): AsyncGenerator<Buffer> {
  let part = first;
  for (;;) {
    if (part.body.length > 0) yield part.body;
    if (part.end) return;
    const { value, done } = await parts.next();
    if (done === true) throw new FleetError('request body was cut', { step: 'forward.body' });
    part = value;
  }
}

/** A body that arrived complete with the head is a buffer, any other body a stream. */
function readRequestBody(first: RequestPart, parts: AsyncIterator<RequestPart>): Buffer | Readable {
  return first.end ? first.body : Readable.from(readBody(first, parts), { objectMode: false });
}

function describeFailure(error: unknown): AnswerPart {
  const message = error instanceof Error ? error.message : String(error);
  if (error instanceof NotRunError) {
    return { failure: { notRun: true, reason: error.reason, message } };
  }
  return { failure: { notRun: false, reason: 'failed', message } };
}

/** gRPC server for peers. Unary calls are handled by the modules that own the state. */
export class PeerServer implements Disposable {
  private readonly server = new Server(channelOptions);

  public constructor(
    private readonly home: Home,
    unary: Partial<Omit<PeerHandlers, 'Forward'>>,
    private readonly credentials = ServerCredentials.createInsecure(),
  ) {
    this.server.addService(Peer.service, {
      ...unary,
      Forward: (call: ForwardCall) => {
        void this.handleForward(call);
      },
    });
  }

  /** Binds to `host:port` and returns the port; throws `FleetError` if the address cannot be bound. */
  public listen(address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.bindAsync(address, this.credentials, (error, port) => {
        if (error === null) resolve(port);
        else {
          reject(
            new FleetError(error.message, { step: 'peer.listen', peer: address, cause: error }),
          );
        }
      });
    });
  }

  /** Stops accepting calls and resolves when the running ones have ended. */
  public drain(): Promise<void> {
    return new Promise((resolve) => {
      this.server.tryShutdown(() => resolve());
    });
  }

  public dispose(): void {
    this.server.forceShutdown();
  }

  private async handleForward(call: ForwardCall): Promise<void> {
    const abort = new AbortController();
    call.on('cancelled', () => abort.abort());
    // Without a listener, a transport error would terminate the process.
    call.on('error', () => abort.abort());
    try {
      const parts = call[Symbol.asyncIterator]() as AsyncIterator<RequestPart>;
      const first = await parts.next();
      const head = first.done === true ? undefined : first.value.head;
      if (head === undefined || head === null) {
        throw new FleetError('stream without a head', {
          step: 'forward.read',
          peer: call.getPeer(),
        });
      }
      const body = head.hasBody ? readRequestBody(first.value, parts) : undefined;
      await this.answer(call, { ...decodeForwardRequest(head), body }, abort.signal);
    } catch (error) {
      if (!abort.signal.aborted) await writePart(call, describeFailure(error));
    }
    call.end();
  }

  private async answer(
    call: ForwardCall,
    request: Parameters<Home['forward']>[0],
    signal: AbortSignal,
  ): Promise<void> {
    const { status: code, headers, load, body } = await this.home.forward(request, signal);
    const head = { status: code, headers: encodeHeaders(headers), load: encodeLoad(load) };
    try {
      const length = Number(findHeader(headers, 'content-length') ?? Infinity);
      if (length <= smallBodyBytes) {
        await writePart(call, { head, body: await buffer(body), end: true });
        return;
      }
      await writePart(call, { head });
      for await (const chunk of body) {
        if (signal.aborted) return;
        await writePart(call, { body: chunk as Buffer });
      }
      await writePart(call, { end: true });
    } catch {
      // The stream ends without an end part, from which the entry detects the incomplete body.
      discard(body);
    }
  }
}
