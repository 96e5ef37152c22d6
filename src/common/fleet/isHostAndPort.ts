import { isRight } from 'fp-ts/lib/Either.js';
import { address } from '../settings/index.js';

const addressKind = address();
const portZero = /:0+$/;

/** Whether a text is a `host:port` to which a connection can be opened. */
export function isHostAndPort(text: string): boolean {
  return isRight(addressKind.parse(text)) && !portZero.test(text);
}
