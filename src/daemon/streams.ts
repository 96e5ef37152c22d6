import type { Readable } from 'node:stream';

/** Bytes of an ignored body up to which reading it costs less than a new connection. */
const maxIgnoredBytes = 16 * 1024;

/** Destroys a body that will not be read and ignores the resulting stream error. */
export function discard(body: Readable): void {
  body.on('error', () => {});
  body.destroy();
}

/** Reads a short body that is not needed, so that its connection can be reused; destroys a longer one. */
export function skipBody(body: Readable): void {
  let size = 0;
  body.on('error', () => {});
  body.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > maxIgnoredBytes) body.destroy();
  });
  body.resume();
}

/**
 * Reads a whole body; throws `RangeError` and destroys the body if it has more bytes than the limit. `onChunk` is called
 * for each part that arrives.
 */
export async function readLimited(
  body: Readable,
  limit: number,
  onChunk: () => void = () => {},
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body) {
    onChunk();
    size += (chunk as Buffer).length;
    if (size > limit) throw new RangeError(`body over ${limit} bytes`);
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}
