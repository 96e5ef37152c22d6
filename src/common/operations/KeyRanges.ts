import type { DaemonId, OperationKey } from '../base/index.js';
import type { RangeNumber, TextHash } from './Types.js';

/**
 * Number of key ranges. Each range writes at most 8 segments a second, so the store receives at most 256 journal
 * writes a second, whatever the size of the fleet.
 */
export const rangeCount = 32;

/** Range of a key that a caller chose. */
export function rangeOf(key: OperationKey, hash: TextHash): RangeNumber {
  return Number(hash(key) % BigInt(rangeCount));
}

/** Daemon that should own a range: the one with the highest rendezvous hash. Undefined without daemons. */
export function preferredOwner(
  range: RangeNumber,
  daemons: readonly DaemonId[],
  hash: TextHash,
): DaemonId | undefined {
  let best: DaemonId | undefined;
  let bestScore = -1n;
  daemons.forEach((daemon) => {
    const score = hash(`${range}/${daemon}`);
    if (score < bestScore || (score === bestScore && best !== undefined && daemon > best)) return;
    best = daemon;
    bestScore = score;
  });
  return best;
}
