import type { Clock, Disposable, OperationKey } from '../base/index.js';
import { FencedError } from './FencedError.js';
import { JournalSegments, type JournalContext } from './JournalSegments.js';
import { maxAnswerBytes } from './OperationLedger.js';
import { SegmentAges } from './SegmentAges.js';
import { sizeOfRecord } from './SegmentCodec.js';
import type {
  DoneRecord,
  IntentLog,
  IntentRecord,
  JournalRecord,
  PendingIntent,
  RangeNumber,
  ReleaseRecord,
} from './Types.js';

/** Milliseconds between two batches: at most 8 a second, so 32 ranges write at most 256 times a second. */
const batchInterval = 125;
/** Milliseconds for which answers wait to share a batch with an intent before they are written without one. */
const maxAnswerDelay = 500;
/** Maximum bytes of a segment. 100 segments, one block of a replay, stay below the 4 MB of a gRPC message. */
const maxSegmentBytes = 32 * 1024;
/** Maximum bytes of a record: a kept answer with its key, fingerprint and framing. */
const maxRecordBytes = maxAnswerBytes + 1024;
/** Segments deleted by one transaction; etcd accepts 128 operations by default. */
const deletionBatchSize = 100;

/** Settings of a journal. */
export interface JournalOptions {
  /** Milliseconds for which segments are kept. */
  readonly retention: number;
  /** Called for each finished operation whose answer has been written. */
  readonly onWritten: (key: OperationKey, sequence: number) => void;
  /** Called once when another process has taken over. */
  readonly onFenced: () => void;
}

interface QueuedRecord {
  readonly record: JournalRecord;
  readonly size: number;
  readonly resolve?: (sequence: number) => void;
  readonly reject?: (error: unknown) => void;
}

/** Journal of one key range. Batches records into segments and writes one segment at a time. */
export class Journal implements IntentLog, Disposable {
  private queue: QueuedRecord[] = [];

  private lastWriteAt = -Infinity;

  private isWriting = false;

  private isClosed = false;

  private timer: { readonly due: number; readonly handle: Disposable } | undefined;

  private readonly clock: Clock;

  private readonly segments: JournalSegments;

  private readonly segmentAges = new SegmentAges();

  private idleWaiters: (() => void)[] = [];

  public constructor(
    range: RangeNumber,
    context: JournalContext,
    private readonly options: JournalOptions,
  ) {
    this.clock = context.clock;
    this.segments = new JournalSegments(range, context);
  }

  /** Seals the range and replays what former owners wrote. Throws `StoreError`; call again on a new journal. */
  public async takeOver(replay: (record: JournalRecord, sequence: number) => void): Promise<void> {
    await this.segments.seal((segment, sequence) => {
      this.segmentAges.add(sequence, segment.writtenAt);
      segment.records.forEach((record) => replay(record, sequence));
    });
    this.addSegmentAge(this.segments.lastSequence);
  }

  public record(intent: IntentRecord): PendingIntent {
    let queued: QueuedRecord | undefined;
    const durable = new Promise<number>((resolve, reject) => {
      queued = { record: intent, size: sizeOfRecord(intent), resolve, reject };
    });
    if (this.isClosed) queued?.reject?.(this.createFencedError());
    else if (queued !== undefined) this.enqueue(queued, 0);
    return { durable, cancel: () => this.cancel(queued) };
  }

  public append(record: DoneRecord | ReleaseRecord): void {
    if (this.isClosed) return;
    const size = sizeOfRecord(record);
    if (size > maxRecordBytes && record.type === 'done') {
      this.append({ type: 'done', key: record.key, fingerprint: record.fingerprint });
    } else this.enqueue({ record, size }, maxAnswerDelay);
  }

  public isOwnershipConfirmedSince(time: number): boolean {
    return this.segments.isOwnershipConfirmedSince(time);
  }

  public async confirmOwnership(): Promise<boolean> {
    if (this.isClosed) return false;
    const isLast = await this.segments.confirmOwnership();
    if (!isLast) this.close();
    return isLast;
  }

  public async read(sequence: number, key: OperationKey): Promise<DoneRecord | undefined> {
    const segment = await this.segments.read(sequence);
    return segment?.records.find(
      (record): record is DoneRecord => record.type === 'done' && record.key === key,
    );
  }

  /** Writes all queued records. Resolves when they are written or the journal has ended. */
  public async flush(): Promise<void> {
    if (this.isClosed || (this.queue.length === 0 && !this.isWriting)) return;
    const done = new Promise<void>((resolve) => {
      this.idleWaiters.push(resolve);
    });
    this.schedule(0);
    await done;
  }

  /**
   * Deletes one batch of segments older than the retention. Returns the last sequence that is too old. Throws
   * `StoreError`; the next call tries the same batch again.
   */
  public async deleteExpired(): Promise<number> {
    const limit = this.clock.now().getTime() - this.options.retention;
    const expired = Math.min(
      this.segmentAges.lastSequenceBefore(limit),
      this.segments.lastSequence - 1,
    );
    const { first } = this.segmentAges;
    if (expired >= first) {
      const end = Math.min(expired, first + deletionBatchSize - 1);
      await this.segments.delete(first, end);
      this.segmentAges.dropThrough(end);
    }
    return expired;
  }

  public dispose(): void {
    this.close();
  }

  private cancel(queued: QueuedRecord | undefined): boolean {
    const count = this.queue.length;
    this.queue = this.queue.filter((other) => other !== queued);
    return this.queue.length < count;
  }

  private enqueue(queued: QueuedRecord, delay: number): void {
    this.queue.push(queued);
    this.schedule(delay);
  }

  private schedule(delay: number): void {
    if (this.isWriting || this.isClosed) return;
    const now = this.clock.elapsed();
    const due = Math.max(now + delay, this.lastWriteAt + batchInterval);
    if (this.timer !== undefined && this.timer.due <= due) return;
    this.timer?.handle.dispose();
    this.timer = { due, handle: this.clock.after(due - now, () => this.startWriting()) };
  }

  private startWriting(): void {
    void this.write();
  }

  private async write(): Promise<void> {
    this.timer = undefined;
    const batch = this.takeBatch();
    if (batch.length > 0) {
      this.isWriting = true;
      this.lastWriteAt = this.clock.elapsed();
      await this.writeBatch(batch);
      this.isWriting = false;
    }
    if (this.queue.length > 0) this.schedule(this.hasIntent() ? 0 : maxAnswerDelay);
    else this.resolveIdleWaiters();
  }

  private async writeBatch(batch: readonly QueuedRecord[]): Promise<void> {
    try {
      const sequence = await this.segments.append(
        'data',
        batch.map(({ record }) => record),
      );
      this.addSegmentAge(sequence);
      batch.forEach((queued) => this.resolveWritten(queued, sequence));
    } catch (error) {
      batch.forEach(({ reject }) => reject?.(error));
      this.close();
    }
  }

  private resolveWritten({ record, resolve }: QueuedRecord, sequence: number): void {
    resolve?.(sequence);
    if (record.type === 'done') this.options.onWritten(record.key, sequence);
  }

  private addSegmentAge(sequence: number): void {
    this.segmentAges.add(sequence, this.clock.now().getTime());
  }

  private hasIntent(): boolean {
    return this.queue.some(({ resolve }) => resolve !== undefined);
  }

  /** Removes as many records from the head of the queue as fit into a segment. */
  private takeBatch(): QueuedRecord[] {
    let bytes = 0;
    const end = this.queue.findIndex(({ size }) => {
      bytes += size;
      return bytes > maxSegmentBytes;
    });
    const count = end < 0 ? this.queue.length : Math.max(1, end);
    return this.queue.splice(0, count);
  }

  private close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.segments.close();
    this.timer?.handle.dispose();
    const { queue } = this;
    this.queue = [];
    queue.forEach(({ reject }) => reject?.(this.createFencedError()));
    this.resolveIdleWaiters();
    this.options.onFenced();
  }

  private resolveIdleWaiters(): void {
    const { idleWaiters } = this;
    this.idleWaiters = [];
    idleWaiters.forEach((resolve) => resolve());
  }

  private createFencedError(): FencedError {
    return new FencedError('the journal has ended', { step: 'journal.record' });
  }
}
