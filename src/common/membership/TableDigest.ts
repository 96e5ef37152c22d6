import { hashString } from '../base/index.js';
import type { MemberVersion } from './Types.js';

/** Parts of a table. Comparing parts keeps the lists short when a few records of hundreds differ. */
export const partCount = 64;

/** Part of the table that holds a member. */
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

/** Hash over versions that is independent of their order and updated in constant time. */
export class TableDigest {
  private readonly lows = new Uint32Array(partCount);

  private high = 0;

  /** Adds a version, or takes out one that was added before. */
  public toggle(version: MemberVersion): void {
    const part = partOf(version.id);
    const [low, high] = hashVersion(version);
    this.lows[part] = (this.lows[part] ?? 0) ^ low;
    this.high ^= high;
  }

  /** Hash of the whole table, at most 52 bits; never 0, which means "no digest" in messages. */
  public whole(): number {
    const low = this.lows.reduce((sum, part) => sum ^ part, 0) >>> 0;
    return this.high * highFactor + low || 1;
  }

  /** Hash of each part. */
  public parts(): number[] {
    return [...this.lows];
  }
}
