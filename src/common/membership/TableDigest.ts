import { hashString } from '../base/index.js';
import type { MemberVersion } from './Types.js';

/** Number of table parts with a digest each; keeps version lists short when a few records of hundreds differ. */
export const partCount = 64;

/** Index of the table part that holds a member. */
export function partOf(id: string): number {
  return hashString(id) % partCount;
}

const highFactor = 2 ** 32;
const highMask = 0xfffff;

function hashVersion(version: MemberVersion): readonly [low: number, high: number] {
  const { id, incarnation, status, targetsVersion } = version;
  const text = `${id} ${incarnation} ${version.version} ${status} ${targetsVersion}`;
  return [hashString(text), hashString(text, 1) & highMask];
}

/** Order-independent hash over member versions, updated in constant time. */
export class TableDigest {
  private readonly lowHashes = new Uint32Array(partCount);

  private highHash = 0;

  /** Adds a version, or removes one that was added before. */
  public toggle(version: MemberVersion): void {
    const part = partOf(version.id);
    const [low, high] = hashVersion(version);
    this.lowHashes[part] = (this.lowHashes[part] ?? 0) ^ low;
    this.highHash ^= high;
  }

  /** Hash of the whole table, at most 52 bits; never 0, which means "no digest" in messages. */
  public whole(): number {
    const low = this.lowHashes.reduce((sum, part) => sum ^ part, 0) >>> 0;
    return this.highHash * highFactor + low || 1;
  }

  /** Hash of each part. */
  public parts(): number[] {
    return [...this.lowHashes];
  }
}
