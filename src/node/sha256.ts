import { createHash } from 'node:crypto';

/** Returns the SHA-256 digest as lower-case hexadecimal. */
export function sha256(content: Uint8Array): string {
  return createHash('sha256').update(content).digest('hex');
}
