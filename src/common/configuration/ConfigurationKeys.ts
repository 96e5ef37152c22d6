/** Keys of the configuration in the store. */

/** Key of the head record. */
export const headKey = 'config/head';

/** Prefix of the keys of the chunks. */
export const chunkPrefix = 'config/chunk/';

/** Prefix of the keys of the heads in the history. */
export const historyPrefix = 'config/history/';

/** Number of heads that the history keeps. */
export const historyLength = 50;

export function chunkKey(digest: string): string {
  return `${chunkPrefix}${digest}`;
}

/** Key of a head in the history. */
export function historyKey(revision: number): string {
  return `${historyPrefix}${revision}`;
}
