import { createHash } from 'node:crypto';

/** Lower-case hexadecimal SHA-256 of a content. */
export function sha256(content: Uint8Array): string {
  return createHash('sha256').update(content).digest('hex');
}
