import xxhash from 'xxhash-wasm';
import type { TextHash } from '../../common/operations/index.js';

const { h64 } = await xxhash();

/** Hash function by which daemons assign keys to ranges. */
export const textHash: TextHash = (text) => h64(text);
