import { Readable } from 'node:stream';
import type { ClientDuplexStream } from '@grpc/grpc-js';
import { NotRunError, OutcomeUnknownError, type RefusalReason } from '../api/index.js';
import type { AnswerPart__Output as AnswerPart } from './generated/limpettrack/AnswerPart.js';
import type { RequestPart } from './generated/limpettrack/RequestPart.js';
import type { PeerConnections } from './PeerConnections.js';
import { decodeHeaders, decodeLoad, encodeRequestHead } from './PeerMessages.js';
import type { ForwardAnswer, ForwardRequest, Home } from './Types.js';

type ForwardCall = ClientDuplexStream<RequestPart, AnswerPart>;

const connectTimeoutMs = 1_000;

/** Sends the head and the body; a buffered body is sent in the same part as the head. */
async function sendRequest(call: ForwardCall, request: ForwardRequest): Promise<void> {
  const head = encodeRequestHead(request);
  const { body } = request;
  if (body === undefined || Buffer.isBuffer(body)) {
    call.write({ head, body, end: true });
    call.end();
    return;
  }
  call.write({ head });
  for await (const chunk of body) {
    if (!call.write({ body: chunk as Buffer })) {
      await new Promise<void>((resolve) => {
        call.once('drain', resolve);
        call.once('close', resolve);
        call.once('error', () => resolve());
      });
    }
  }
  call.write({ end: true });
  call.end();
}

async function* readBody(
  first: AnswerPart,
  parts: AsyncIterator<AnswerPart>,
  peer: string,
): AsyncGenerator<Buffer> {
  let part = first;
  for (;;) {
    if (part.body.length > 0) yield part.body;
    if (part.end) return;
    const { value, done } = await parts.next();
    if (done === true) {
      throw new OutcomeUnknownError('answer body was cut', { step: 'forward.body', peer });
    }
    part = value;
  }
}

/** Home at a peer, reached over gRPC. */
export class RemoteHome implements Home {
  public constructor(
    private readonly address: string,
    private readonly connections: PeerConnections,
  ) {}

  public async forward(request: ForwardRequest, signal: AbortSignal): Promise<ForwardAnswer> {
    const timeout = Math.min(connectTimeoutMs, request.context.timeout);
    const client = await this.connections.getReady(this.address, timeout);
    // No gRPC deadline: the timeout covers the wait for the head only; the body may take longer.
    const call = client.forward();
    const cancel = (): void => call.cancel();
    signal.addEventListener('abort', cancel, { once: true });
    call.once('close', () => signal.removeEventListener('abort', cancel));
    // The error is reported through the iterator; without a listener it would also be uncaught.
    call.on('error', () => {});
    sendRequest(call, request).catch(cancel);
    return this.readAnswer(call);
  }

  private async readAnswer(call: ForwardCall): Promise<ForwardAnswer> {
    const peer = this.address;
    const parts = call[Symbol.asyncIterator]() as AsyncIterator<AnswerPart>;
    const first = await parts.next().catch((cause: Error) => {
      throw new OutcomeUnknownError(cause.message, { step: 'forward.answer', peer, cause });
    });
    if (first.done === true) {
      throw new OutcomeUnknownError('no answer', { step: 'forward.answer', peer });
    }
    const { failure, head } = first.value;
    if (failure !== null) {
      if (!failure.notRun) {
        throw new OutcomeUnknownError(failure.message, { step: 'forward.target', peer });
      }
      throw new NotRunError(failure.reason as RefusalReason, failure.message, {
        step: 'forward.target',
        peer,
      });
    }
    if (head === null) {
      call.cancel();
      throw new OutcomeUnknownError('answer without a head', { step: 'forward.answer', peer });
    }
    return {
      status: head.status,
      headers: decodeHeaders(head.headers),
      load: decodeLoad(head.load),
      body: Readable.from(readBody(first.value, parts, peer), { objectMode: false }),
    };
  }
}
