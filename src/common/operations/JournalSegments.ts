import { type Clock, type RandomSource, type StoreError } from '../base/index.js';
import type { Store, StoreEntry, StoreTransactionResult } from '../services/Types.js';
import { withDeadline, timedOut, sleep } from './timeouts.js';
import { FencedError } from './FencedError.js';
import { decodeSegment, encodeSegment } from './SegmentCodec.js';
import type { JournalRecord, RangeNumber, Segment } from './Types.js';

/** Digits of a sequence number in a store key. */
const sequenceDigits = 10;
/** Leading digits shared by a block of segments. A block of 100 segments of 32 KB fits one gRPC message of 4 MB. */
const blockDigits = 8;
const blockSize = 10 ** (sequenceDigits - blockDigits);
/** Timeout of a store call in milliseconds. */
const callTimeout = 2000;
/** Retry delays in milliseconds. Jitter spreads the writers when the store becomes available again. */
const initialRetryDelay = 100;
const maxRetryDelay = 2000;

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

/** Dependencies of a journal. */
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
 * Journal segments of one key range as seen by one writer. A segment is created only under the next sequence number
 * and only if the segment before it is unchanged, which fences off every former writer.
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
      await this.readRemaining(visit);
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
   * Creates the next segment, retrying while the store is unavailable. Throws `FencedError` if another writer was
   * first. Every attempt writes the same bytes, since an earlier one may still take effect.
   */
  public async append(kind: Segment['kind'], records: readonly JournalRecord[]): Promise<number> {
    const { clock, writer } = this.context;
    const value = encodeSegment({ kind, writer, writtenAt: clock.now().getTime(), records });
    let delay = initialRetryDelay;
    // A retry may find that the first attempt took effect while a seal has followed it, so it confirms no later time.
    const sentAt = clock.elapsed();
    while (!this.isClosed) {
      const revision = await this.tryAppend(value);
      this.throwIfClosed();
      if (revision !== undefined) return this.advance(revision, sentAt);
      await sleep(clock, delay * (0.5 + this.context.random()));
      delay = Math.min(delay * 2, maxRetryDelay);
    }
    throw this.createFencedError('the journal was closed');
  }

  /** Asks the store whether this writer is still the last one. Throws `StoreError` if the store does not answer. */
  public async confirmOwnership(): Promise<boolean> {
    const sentAt = this.context.clock.elapsed();
    const { head } = this;
    const hasOtherWriter = await this.hasOtherWriter(head);
    // A successor may have deleted segments after `head`, but then the segment at `head` is gone too.
    const last = await this.context.store.get(segmentKey(this.range, head));
    if (this.isClosed || hasOtherWriter || last === undefined) return false;
    this.confirmedAt = Math.max(this.confirmedAt, sentAt);
    return true;
  }

  /** Reads one segment; undefined if it was deleted. Throws `StoreError`. */
  public async read(sequence: number): Promise<Segment | undefined> {
    const entry = await this.context.store.get(segmentKey(this.range, sequence));
    return entry === undefined ? undefined : decodeSegment(entry.value);
  }

  /** Deletes the segments from `first` to `end` in one transaction. The last segment is never deleted. */
  public async delete(first: number, end: number): Promise<void> {
    const count = Math.max(0, Math.min(end, this.head - 1) - first + 1);
    const writes = Array.from({ length: count }, (_, offset) => ({
      type: 'delete' as const,
      key: segmentKey(this.range, first + offset),
    }));
    if (writes.length > 0) await this.context.store.transact([], writes);
  }

  /** Whether another writer has added a segment after `head`. */
  private async hasOtherWriter(head: number): Promise<boolean> {
    const { store, writer } = this.context;
    // Segments of this writer may take effect meanwhile, and a seal can follow them.
    for (let sequence = head + 1; ; sequence += 1) {
      const next = await store.get(segmentKey(this.range, sequence));
      if (next === undefined) return false;
      if (decodeSegment(next.value).writer !== writer) return true;
    }
  }

  private async tryAppend(value: Uint8Array): Promise<number | undefined> {
    const { clock } = this.context;
    const deadline = clock.elapsed() + callTimeout;
    try {
      const result = await withDeadline(clock, deadline, this.writeSegment(value));
      if (result === timedOut) return await this.readBack();
      return this.handleResult(result);
    } catch (error) {
      if (error instanceof FencedError) throw error;
      if ((error as Partial<StoreError>).outcome === 'not-applied') return undefined;
      return this.readBack();
    }
  }

  private writeSegment(value: Uint8Array): Promise<StoreTransactionResult> {
    const key = segmentKey(this.range, this.head + 1);
    const compares = [{ key, modRevision: 0 }];
    // A write delayed beyond the retention must not recreate a deleted segment.
    if (this.head > 0) {
      compares.push({ key: segmentKey(this.range, this.head), modRevision: this.headRevision });
    }
    return this.context.store.transact(compares, [{ type: 'put', key, value }]);
  }

  private handleResult(result: StoreTransactionResult): number {
    if (result.applied) return result.revision;
    const key = segmentKey(this.range, this.head + 1);
    const present = result.present.find((entry) => entry.key === key && entry.modRevision > 0);
    return this.requireOwnWriter(present);
  }

  /** Checks whether a write without an answer took effect. */
  private async readBack(): Promise<number | undefined> {
    const { clock, store } = this.context;
    const key = segmentKey(this.range, this.head + 1);
    try {
      const entry = await withDeadline(clock, clock.elapsed() + callTimeout, store.get(key));
      if (entry === timedOut || entry === undefined) return undefined;
      return this.requireOwnWriter(entry);
    } catch (error) {
      if (error instanceof FencedError) throw error;
      return undefined;
    }
  }

  private requireOwnWriter(present: StoreEntry | undefined): number {
    if (present !== undefined && decodeSegment(present.value).writer === this.context.writer) {
      return present.modRevision;
    }
    throw this.createFencedError('another writer extended the journal');
  }

  private advance(revision: number, sentAt: number): number {
    this.head += 1;
    this.headRevision = revision;
    this.confirmedAt = Math.max(this.confirmedAt, sentAt);
    return this.head;
  }

  private throwIfClosed(): void {
    if (this.isClosed) throw this.createFencedError('the journal was closed');
  }

  private createFencedError(message: string): FencedError {
    return new FencedError(message, { step: 'journal.extend', peer: segmentPrefix(this.range) });
  }

  private async readRemaining(visit: SegmentVisitor): Promise<void> {
    for (;;) {
      const lowest = await this.findLowestUnread();
      if (lowest <= this.head) return;
      // A former owner may delete old segments meanwhile; the read then continues at the first one left.
      if (this.head === 0 || lowest > this.head + 1) this.head = lowest - 1;
      await this.readBlocks(visit);
      if (this.head >= lowest) return;
    }
  }

  private async findLowestUnread(): Promise<number> {
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
      found.forEach((entry) => this.visitEntry(entry, visit));
      if (found.length === 0 || (this.head + 1) % blockSize !== 0) return;
    }
  }

  private visitEntry(entry: StoreEntry, visit: SegmentVisitor): void {
    visit(decodeSegment(entry.value), sequenceOf(entry));
    this.head = sequenceOf(entry);
    this.headRevision = entry.modRevision;
  }
}
