import type { OperationKey } from '../base/index.js';
import type { TextHash } from './Types.js';

const initialCapacity = 64;
const wordsOfSlot = 3;
const wordBits = 32n;
const wordMask = 0xffffffffn;

/**
 * Maps the hashes of keys to journal segments in 12 bytes a slot. Finished operations stay known for the whole
 * retention, and a map of objects would take about ten times that. A hit can be a collision: the segment decides.
 */
export class ArchiveIndex {
  private words = new Uint32Array(initialCapacity * wordsOfSlot);

  private used = 0;

  public constructor(private readonly hash: TextHash) {}

  /** Number of keys held. */
  public get size(): number {
    return this.used;
  }

  /** Bytes held. */
  public get bytes(): number {
    return this.words.byteLength;
  }

  /** Remembers the segment of a key; a later segment replaces an earlier one. Sequences start at 1. */
  public set(key: OperationKey, sequence: number): void {
    const capacity = this.words.length / wordsOfSlot;
    if (this.used * 4 >= capacity * 3) this.grow();
    const value = this.hash(key);
    this.put(Number(value >> wordBits), Number(value & wordMask), sequence);
  }

  /** Segment that may hold the key. */
  public get(key: OperationKey): number | undefined {
    const value = this.hash(key);
    const slot = this.find(Number(value >> wordBits), Number(value & wordMask));
    return this.words[slot + 2] || undefined;
  }

  /** First word of the slot that holds the hash, or of the empty slot where it belongs. */
  private find(high: number, low: number): number {
    const capacity = this.words.length / wordsOfSlot;
    // The keys of one range agree in the low bits of their hashes, so the high word places them.
    let slot = high % capacity;
    for (;;) {
      const at = slot * wordsOfSlot;
      const isEmpty = this.words[at + 2] === 0;
      if (isEmpty || (this.words[at] === high && this.words[at + 1] === low)) return at;
      slot = (slot + 1) % capacity;
    }
  }

  private put(high: number, low: number, sequence: number): void {
    const at = this.find(high, low);
    if (this.words[at + 2] === 0) this.used += 1;
    this.words[at] = high;
    this.words[at + 1] = low;
    this.words[at + 2] = sequence;
  }

  private grow(): void {
    const old = this.words;
    this.words = new Uint32Array(old.length * 2);
    this.used = 0;
    for (let at = 0; at < old.length; at += wordsOfSlot) {
      const sequence = old[at + 2] ?? 0;
      if (sequence !== 0) this.put(old[at] ?? 0, old[at + 1] ?? 0, sequence);
    }
  }
}
