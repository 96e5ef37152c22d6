import { createHash } from 'node:crypto';
import { brandAs, type Fingerprint } from '../api/index.js';

/** Fingerprint of a request: the same key with another fingerprint is another request. */
export function createFingerprint(
  method: string,
  path: string,
  body: Buffer | undefined,
): Fingerprint {
  const hash = createHash('sha256').update(`${method} ${path}\n`);
  if (body !== undefined) hash.update(body);
  return brandAs<Fingerprint>(hash.digest('base64url'));
}
