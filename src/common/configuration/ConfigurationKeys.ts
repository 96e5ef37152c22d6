/** Keys of the configuration in the store. */

/** Key of the head record. */
export const headKey = 'config/head';

/** Prefix of the chunks. */
export const chunkPrefix = 'config/chunk/';

/** Prefix of the heads of earlier revisions. */
export const historyPrefix = 'config/history/';

/** Heads that are kept. */
export const historyLength = 50;

/** Key of a chunk. */
export function chunkKey(digest: string): string {
  return `${chunkPrefix}${digest}`;
}

/** Key of an earlier head. */
export function historyKey(revision: number): string {
  return `${historyPrefix}${revision}`;
}
