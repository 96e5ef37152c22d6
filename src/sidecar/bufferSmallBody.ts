import { PassThrough, type Readable, type Writable } from 'node:stream';
import { FleetError } from '../api/index.js';

/** Bytes up to which a body is buffered until it is complete, so that a truncated one can be retried. */
const maxBufferedBytes = 1024 * 1024;

function createTruncationError(): FleetError {
  return new FleetError('the response was truncated', { step: 'answer.body' });
}

/** Resolves when a stream takes more data or is closed. */
function waitForDrain(stream: Writable): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      stream.off('drain', finish);
      stream.off('close', finish);
      resolve();
    };
    stream.on('drain', finish);
    stream.on('close', finish);
  });
}

function streamRest(
  buffered: readonly Buffer[],
  rest: AsyncIterator<unknown>,
  source: Readable,
  isComplete: () => boolean,
): PassThrough {
  const body = new PassThrough();
  buffered.forEach((chunk) => body.write(chunk));
  const pump = async (): Promise<void> => {
    for (;;) {
      const { value, done } = await rest.next();
      if (done === true) break;
      if (!body.write(value)) {
        await waitForDrain(body);
      }
    }
    if (isComplete()) body.end();
    else body.destroy(createTruncationError());
  };
  pump().catch((error: Error) => body.destroy(error));
  body.once('close', () => source.destroy());
  return body;
}

/**
 * Buffers a small body. A larger one is returned as a stream that fails if the body is truncated.
 * Rejects if a small body is truncated.
 */
export async function bufferSmallBody(
  source: Readable,
  isComplete: () => boolean,
): Promise<Buffer | Readable> {
  const chunks: Buffer[] = [];
  let size = 0;
  const iterator = source[Symbol.asyncIterator]() as AsyncIterator<Buffer, undefined>;
  for (;;) {
    const { value, done } = await iterator.next();
    if (done === true) {
      if (!isComplete()) throw createTruncationError();
      return Buffer.concat(chunks);
    }
    chunks.push(value);
    size += value.length;
    if (size > maxBufferedBytes) return streamRest(chunks, iterator, source, isComplete);
  }
}
