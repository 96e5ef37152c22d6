import type { Readable } from 'node:stream';

/** Destroys a body that will not be read and ignores the resulting stream error. */
export function discard(body: Readable): void {
  body.on('error', () => {});
  body.destroy();
}
