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

/** Milliseconds between two groups: at most 8 a second, so 32 ranges write at most 256 times a second. */
const groupInterval = 125;
/** Milliseconds that answers wait for an intent to ride with before they cause a group of their own. */
const answerDelay = 500;
/** Bytes of a segment. 100 segments, one block of a replay, stay below the 4 MB of a gRPC message. */
const segmentBytes = 32 * 1024;
/** Bytes of a record: a kept answer with its key, fingerprint and framing. */
const largestRecord = maxAnswerBytes + 1024;
/** Segments deleted by one transaction; etcd accepts 128 operations by default. */
const deletionBatch = 100;

/** Settings of a journal. */
export interface JournalOptions {
  /** Milliseconds for which segments are kept. */
  readonly retention: number;
  /** Called for each finished operation whose answer has been written. */
  readonly onWritten: (key: OperationKey, sequence: number) => void;
  /** Called once when another process has taken over. */
  readonly onFenced: () => void;
}

interface Waiting {
  readonly record: JournalRecord;
  readonly size: number;
  readonly resolve?: (sequence: number) => void;
  readonly reject?: (error: unknown) => void;
}

/** Journal of one key range: groups records into segments and writes one at a time. */
export class Journal implements IntentLog, Disposable {
  private waiting: Waiting[] = [];

  private lastWriteAt = -Infinity;

  private isWriting = false;

  private isEnded = false;

  private timer: { readonly due: number; readonly handle: Disposable } | undefined;

  private readonly clock: Clock;

  private readonly chain: JournalSegments;

  private readonly ages = new SegmentAges();

  private idle: (() => void)[] = [];

  public constructor(
    range: RangeNumber,
    context: JournalContext,
    private readonly options: JournalOptions,
  ) {
    this.clock = context.clock;
    this.chain = new JournalSegments(range, context);
  }

  /** Seals the range and replays what former owners wrote. Throws `StoreError`; call again on a new journal. */
  public async takeOver(replay: (record: JournalRecord, sequence: number) => void): Promise<void> {
    await this.chain.seal((segment, sequence) => {
      this.ages.add(sequence, segment.writtenAt);
      segment.records.forEach((record) => replay(record, sequence));
    });
    this.noteSegment(this.chain.lastSequence);
  }

  public record(intent: IntentRecord): PendingIntent {
    let waiting: Waiting | undefined;
    const durable = new Promise<number>((resolve, reject) => {
      waiting = { record: intent, size: sizeOfRecord(intent), resolve, reject };
    });
    if (this.isEnded) waiting?.reject?.(this.fenced());
    else if (waiting !== undefined) this.enqueue(waiting, 0);
    return { durable, cancel: () => this.cancel(waiting) };
  }

  public append(record: DoneRecord | ReleaseRecord): void {
    if (this.isEnded) return;
    const size = sizeOfRecord(record);
    if (size > largestRecord && record.type === 'done') {
      this.append({ type: 'done', key: record.key, fingerprint: record.fingerprint });
    } else this.enqueue({ record, size }, answerDelay);
  }

  public isOwnershipConfirmedSince(time: number): boolean {
    return this.chain.isOwnershipConfirmedSince(time);
  }

  public async confirmOwnership(): Promise<boolean> {
    if (this.isEnded) return false;
    const isLast = await this.chain.confirmOwnership();
    if (!isLast) this.end();
    return isLast;
  }

  public async read(sequence: number, key: OperationKey): Promise<DoneRecord | undefined> {
    const segment = await this.chain.read(sequence);
    return segment?.records.find(
      (record): record is DoneRecord => record.type === 'done' && record.key === key,
    );
  }

  /** Resolves when every record is written or the journal has ended. */
  public async flush(): Promise<void> {
    if (this.isEnded || (this.waiting.length === 0 && !this.isWriting)) return;
    const done = new Promise<void>((resolve) => {
      this.idle.push(resolve);
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
    const expired = Math.min(this.ages.lastSequenceBefore(limit), this.chain.lastSequence - 1);
    const { first } = this.ages;
    if (expired >= first) {
      const end = Math.min(expired, first + deletionBatch - 1);
      await this.chain.delete(first, end);
      this.ages.dropThrough(end);
    }
    return expired;
  }

  public dispose(): void {
    this.end();
  }

  private cancel(waiting: Waiting | undefined): boolean {
    const count = this.waiting.length;
    this.waiting = this.waiting.filter((other) => other !== waiting);
    return this.waiting.length < count;
  }

  private enqueue(waiting: Waiting, delay: number): void {
    this.waiting.push(waiting);
    this.schedule(delay);
  }

  private schedule(delay: number): void {
    if (this.isWriting || this.isEnded) return;
    const now = this.clock.elapsed();
    const due = Math.max(now + delay, this.lastWriteAt + groupInterval);
    if (this.timer !== undefined && this.timer.due <= due) return;
    this.timer?.handle.dispose();
    this.timer = { due, handle: this.clock.after(due - now, () => this.startWriting()) };
  }

  private startWriting(): void {
    void this.write();
  }

  private async write(): Promise<void> {
    this.timer = undefined;
    const group = this.takeGroup();
    if (group.length > 0) {
      this.isWriting = true;
      this.lastWriteAt = this.clock.elapsed();
      await this.writeGroup(group);
      this.isWriting = false;
    }
    if (this.waiting.length > 0) this.schedule(this.hasIntent() ? 0 : answerDelay);
    else this.settleIdle();
  }

  private async writeGroup(group: readonly Waiting[]): Promise<void> {
    try {
      const sequence = await this.chain.append(
        'data',
        group.map(({ record }) => record),
      );
      this.noteSegment(sequence);
      group.forEach((waiting) => this.noteWritten(waiting, sequence));
    } catch (error) {
      group.forEach(({ reject }) => reject?.(error));
      this.end();
    }
  }

  private noteWritten({ record, resolve }: Waiting, sequence: number): void {
    resolve?.(sequence);
    if (record.type === 'done') this.options.onWritten(record.key, sequence);
  }

  private noteSegment(sequence: number): void {
    this.ages.add(sequence, this.clock.now().getTime());
  }

  private hasIntent(): boolean {
    return this.waiting.some(({ resolve }) => resolve !== undefined);
  }

  /** Takes as many records as fit a segment, in their order. */
  private takeGroup(): Waiting[] {
    let bytes = 0;
    const end = this.waiting.findIndex(({ size }) => {
      bytes += size;
      return bytes > segmentBytes;
    });
    const count = end < 0 ? this.waiting.length : Math.max(1, end);
    return this.waiting.splice(0, count);
  }

  private end(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.chain.close();
    this.timer?.handle.dispose();
    const { waiting } = this;
    this.waiting = [];
    waiting.forEach(({ reject }) => reject?.(this.fenced()));
    this.settleIdle();
    this.options.onFenced();
  }

  private settleIdle(): void {
    const { idle } = this;
    this.idle = [];
    idle.forEach((resolve) => resolve());
  }

  private fenced(): FencedError {
    return new FencedError('the journal has ended', { step: 'journal.record' });
  }
}
