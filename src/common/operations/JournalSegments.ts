import { type Clock, type RandomSource, type StoreError } from '../base/index.js';
import type { Store, StoreEntry, StoreTransactionResult } from '../services/Types.js';
import { withDeadline, timedOut, sleep } from './timeouts.js';
import { FencedError } from './FencedError.js';
import { decodeSegment, encodeSegment } from './SegmentCodec.js';
import type { JournalRecord, RangeNumber, Segment } from './Types.js';

/** Digits of a sequence number in a store key. */
const sequenceDigits = 10;
/** Digits that a block of segments shares. A block of 100 segments of 32 KB fits one gRPC message of 4 MB. */
const blockDigits = 8;
const blockSize = 10 ** (sequenceDigits - blockDigits);
/** Milliseconds after which a call to the store counts as lost. */
const callTimeout = 2000;
/** Bounds on the pause between two tries in milliseconds; jitter spreads the writers when the store returns. */
const firstPause = 100;
const longestPause = 2000;

/** Prefix of the segments of a range. */
export function segmentPrefix(range: RangeNumber): string {
  return `journal/${String(range).padStart(2, '0')}/`;
}

/** Store key of a segment. */
export function segmentKey(range: RangeNumber, sequence: number): string {
  return `${segmentPrefix(range)}${String(sequence).padStart(sequenceDigits, '0')}`;
}

function sequenceOf(entry: StoreEntry): number {
  return Number(entry.key.slice(-sequenceDigits));
}

/** What a chain is built from. */
export interface JournalContext {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Unique name of this writer: an incarnation and the number of its takeover. */
  readonly writer: string;
}

/** Receives the segments of a range in order. */
export type SegmentVisitor = (segment: Segment, sequence: number) => void;

/**
 * The segments of one range as one writer sees them. A segment is created only at the next number and only on top
 * of the segment before it, so the numbers fence off every former writer.
 */
export class JournalSegments {
  private head = 0;

  private headRevision = 0;

  private confirmedAt = -Infinity;

  private isClosed = false;

  public constructor(
    private readonly range: RangeNumber,
    private readonly context: JournalContext,
  ) {}

  /** Sequence of the last segment. */
  public get lastSequence(): number {
    return this.head;
  }

  /** Whether an answer to a call sent at or after `time` showed that this writer is the last. */
  public isOwnershipConfirmedSince(time: number): boolean {
    return !this.isClosed && this.confirmedAt >= time;
  }

  /** Ends all retries; later calls throw `FencedError`. */
  public close(): void {
    this.isClosed = true;
  }

  /** Reads all segments and seals the range. Throws `StoreError` if the store does not answer. */
  public async seal(visit: SegmentVisitor): Promise<void> {
    for (;;) {
      await this.readOn(visit);
      try {
        await this.append('seal', []);
        return;
      } catch (error) {
        // Another writer added a segment meanwhile; it has to be read before the range can be sealed.
        if (!(error instanceof FencedError) || this.isClosed) throw error;
      }
    }
  }

  /**
   * Creates the next segment, however long the store is away. Throws `FencedError` if another writer was first.
   * An unfinished segment is repeated unchanged, since its first write may still take effect.
   */
  public async append(kind: Segment['kind'], records: readonly JournalRecord[]): Promise<number> {
    const { clock, writer } = this.context;
    const value = encodeSegment({ kind, writer, writtenAt: clock.now().getTime(), records });
    let pause = firstPause;
    // A later try can find that the first one took effect, and a seal can have followed before that try.
    const sentAt = clock.elapsed();
    while (!this.isClosed) {
      const revision = await this.tryExtend(value);
      this.failIfClosed();
      if (revision !== undefined) return this.advance(revision, sentAt);
      await sleep(clock, pause * (0.5 + this.context.random()));
      pause = Math.min(pause * 2, longestPause);
    }
    throw this.fenced('the journal was closed');
  }

  /** Asks the store whether another writer has extended the journal. Throws `StoreError` without an answer. */
  public async confirmOwnership(): Promise<boolean> {
    const sentAt = this.context.clock.elapsed();
    const { head } = this;
    const isExtended = await this.isExtended(head);
    // A successor may have deleted old segments, but then the older one is gone too.
    const last = await this.context.store.get(segmentKey(this.range, head));
    if (this.isClosed || isExtended || last === undefined) return false;
    this.confirmedAt = Math.max(this.confirmedAt, sentAt);
    return true;
  }

  /** Reads one segment; undefined if it was deleted. Throws `StoreError`. */
  public async read(sequence: number): Promise<Segment | undefined> {
    const entry = await this.context.store.get(segmentKey(this.range, sequence));
    return entry === undefined ? undefined : decodeSegment(entry.value);
  }

  /** Deletes the segments from `first` to `end` in one transaction. The last one always stays. */
  public async delete(first: number, end: number): Promise<void> {
    const count = Math.max(0, Math.min(end, this.head - 1) - first + 1);
    const writes = Array.from({ length: count }, (_, offset) => ({
      type: 'delete' as const,
      key: segmentKey(this.range, first + offset),
    }));
    if (writes.length > 0) await this.context.store.transact([], writes);
  }

  /** Whether another writer has added a segment behind `head`. */
  private async isExtended(head: number): Promise<boolean> {
    const { store, writer } = this.context;
    // Own segments take effect meanwhile, and a seal can be behind them.
    for (let sequence = head + 1; ; sequence += 1) {
      const next = await store.get(segmentKey(this.range, sequence));
      if (next === undefined) return false;
      if (decodeSegment(next.value).writer !== writer) return true;
    }
  }

  private async tryExtend(value: Uint8Array): Promise<number | undefined> {
    const { clock } = this.context;
    const deadline = clock.elapsed() + callTimeout;
    try {
      const result = await withDeadline(clock, deadline, this.create(value));
      if (result === timedOut) return await this.readBack();
      return this.interpret(result);
    } catch (error) {
      if (error instanceof FencedError) throw error;
      if ((error as Partial<StoreError>).outcome === 'not-applied') return undefined;
      return this.readBack();
    }
  }

  private create(value: Uint8Array): Promise<StoreTransactionResult> {
    const key = segmentKey(this.range, this.head + 1);
    const compares = [{ key, modRevision: 0 }];
    // A write delayed beyond the retention must not recreate a deleted segment.
    if (this.head > 0) {
      compares.push({ key: segmentKey(this.range, this.head), modRevision: this.headRevision });
    }
    return this.context.store.transact(compares, [{ type: 'put', key, value }]);
  }

  private interpret(result: StoreTransactionResult): number {
    if (result.applied) return result.revision;
    const key = segmentKey(this.range, this.head + 1);
    const present = result.present.find((entry) => entry.key === key && entry.modRevision > 0);
    return this.claim(present);
  }

  /** Finds out whether a write whose answer was lost took effect. */
  private async readBack(): Promise<number | undefined> {
    const { clock, store } = this.context;
    const key = segmentKey(this.range, this.head + 1);
    try {
      const entry = await withDeadline(clock, clock.elapsed() + callTimeout, store.get(key));
      if (entry === timedOut || entry === undefined) return undefined;
      return this.claim(entry);
    } catch (error) {
      if (error instanceof FencedError) throw error;
      return undefined;
    }
  }

  private claim(present: StoreEntry | undefined): number {
    if (present !== undefined && decodeSegment(present.value).writer === this.context.writer) {
      return present.modRevision;
    }
    throw this.fenced('another writer extended the journal');
  }

  private advance(revision: number, sentAt: number): number {
    this.head += 1;
    this.headRevision = revision;
    this.confirmedAt = Math.max(this.confirmedAt, sentAt);
    return this.head;
  }

  private failIfClosed(): void {
    if (this.isClosed) throw this.fenced('the journal was closed');
  }

  private fenced(message: string): FencedError {
    return new FencedError(message, { step: 'journal.extend', peer: segmentPrefix(this.range) });
  }

  private async readOn(visit: SegmentVisitor): Promise<void> {
    for (;;) {
      const lowest = await this.lowest();
      if (lowest <= this.head) return;
      // A former owner deletes old segments meanwhile, so the read can have to jump forward.
      if (this.head === 0 || lowest > this.head + 1) this.head = lowest - 1;
      await this.readBlocks(visit);
      if (this.head >= lowest) return;
    }
  }

  private async lowest(): Promise<number> {
    const prefix = segmentPrefix(this.range);
    const next = await this.context.store.get(segmentKey(this.range, this.head + 1));
    if (next !== undefined) return this.head + 1;
    const [first] = await this.context.store.range({ prefix, limit: 1 });
    return first === undefined ? 0 : sequenceOf(first);
  }

  private async readBlocks(visit: SegmentVisitor): Promise<void> {
    for (;;) {
      const block = Math.floor((this.head + 1) / blockSize);
      const prefix = `${segmentPrefix(this.range)}${String(block).padStart(blockDigits, '0')}`;
      const entries = await this.context.store.range({ prefix });
      const found = entries.filter((entry) => sequenceOf(entry) > this.head);
      found.forEach((entry) => this.take(entry, visit));
      if (found.length === 0 || (this.head + 1) % blockSize !== 0) return;
    }
  }

  private take(entry: StoreEntry, visit: SegmentVisitor): void {
    visit(decodeSegment(entry.value), sequenceOf(entry));
    this.head = sequenceOf(entry);
    this.headRevision = entry.modRevision;
  }
}
