import xxhash from 'xxhash-wasm';
import type { TextHash } from '../../common/operations/index.js';

const { h64 } = await xxhash();

/** Hash that daemons use to place keys. */
export const textHash: TextHash = (text) => h64(text);
