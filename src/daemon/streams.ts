import type { Readable } from 'node:stream';

/** Drops a body that nobody will read. The error of the broken transfer is expected and not reported. */
export function discard(body: Readable): void {
  body.on('error', () => {});
  body.destroy();
}
