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
