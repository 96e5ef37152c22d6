import { PassThrough, type Readable } from 'node:stream';
import { FleetError } from '../api/index.js';

/** Bytes of an answer that are held until it is whole, so that a cut one can be asked for again. */
const maxHeldAnswer = 1024 * 1024;

function cutError(): FleetError {
  return new FleetError('the answer was cut', { step: 'answer.body' });
}

function streamOn(
  held: readonly Buffer[],
  rest: AsyncIterator<unknown>,
  source: Readable,
  isComplete: () => boolean,
): PassThrough {
  const body = new PassThrough();
  held.forEach((chunk) => body.write(chunk));
  const pump = async (): Promise<void> => {
    for (;;) {
      const { value, done } = await rest.next();
      if (done === true) break;
      if (!body.write(value)) {
        await new Promise<void>((resolve) => {
          body.once('drain', resolve);
          body.once('close', resolve);
        });
      }
    }
    if (isComplete()) body.end();
    else body.destroy(cutError());
  };
  pump().catch((error: Error) => body.destroy(error));
  body.once('close', () => source.destroy());
  return body;
}

/**
 * Reads a body whole if it is small; a larger one goes on as a stream that ends with an error if it is cut.
 * Rejects if a small body is cut.
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
      if (!isComplete()) throw cutError();
      return Buffer.concat(chunks);
    }
    chunks.push(value);
    size += value.length;
    if (size > maxHeldAnswer) return streamOn(chunks, iterator, source, isComplete);
  }
}
