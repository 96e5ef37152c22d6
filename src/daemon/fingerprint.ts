import { createHash } from 'node:crypto';
import { brandAs, type Fingerprint } from '../api/index.js';

/** Hash that identifies a request; detects the reuse of an operation key for a different request. */
export function createFingerprint(
  method: string,
  path: string,
  body: Buffer | undefined,
): Fingerprint {
  const hash = createHash('sha256').update(`${method} ${path}\n`);
  if (body !== undefined) hash.update(body);
  return brandAs<Fingerprint>(hash.digest('base64url'));
}
