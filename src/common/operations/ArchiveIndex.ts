import type { OperationKey } from '../base/index.js';
import type { TextHash } from './Types.js';

const initialCapacity = 64;
const wordsPerSlot = 3;
const wordBits = 32n;
const wordMask = 0xffffffffn;

/**
 * Maps the hashes of keys to journal segments in 12 bytes a slot. Finished operations are kept for the whole
 * retention, and a map of objects would take about ten times as much. A hit can be a hash collision, so the segment
 * has to be read to find out.
 */
export class ArchiveIndex {
  private words = new Uint32Array(initialCapacity * wordsPerSlot);

  private used = 0;

  public constructor(private readonly hash: TextHash) {}

  /** Number of keys. */
  public get size(): number {
    return this.used;
  }

  /** Bytes of memory in use. */
  public get bytes(): number {
    return this.words.byteLength;
  }

  /** Stores the segment of a key; a later segment replaces an earlier one. Sequences start at 1. */
  public set(key: OperationKey, sequence: number): void {
    const capacity = this.words.length / wordsPerSlot;
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
    const capacity = this.words.length / wordsPerSlot;
    // The hashes of the keys of one range agree in the low bits, so the high word selects the slot.
    let slot = high % capacity;
    for (;;) {
      const at = slot * wordsPerSlot;
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
    for (let at = 0; at < old.length; at += wordsPerSlot) {
      const sequence = old[at + 2] ?? 0;
      if (sequence !== 0) this.put(old[at] ?? 0, old[at + 1] ?? 0, sequence);
    }
  }
}
