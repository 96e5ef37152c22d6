import type { Fingerprint, OperationKey } from '../base/index.js';
import type { RecordedAnswer } from '../services/Types.js';
import { ArchiveIndex } from './ArchiveIndex.js';
import type { LedgerDecision, JournalRecord, SettledOutcome, TextHash } from './Types.js';

/** Maximum size of an answer, headers included, that is kept for resends. */
export const maxAnswerBytes = 16 * 1024;

type State = 'intended' | 'started' | 'done' | 'unknown';

interface Entry {
  readonly fingerprint: Fingerprint;
  state: State;
  answer?: RecordedAnswer;
  /** Journal segment that holds the answer or, before there is one, the intent. */
  sequence?: number;
  /** The answer is in that segment. */
  isWritten?: boolean;
  waiters?: ((settlement: SettledOutcome) => void)[];
}

interface Generation {
  readonly index: ArchiveIndex;
  lastSequence: number;
}

function sizeOfAnswer({ headers, body }: RecordedAnswer): number {
  return headers.reduce((sum, [name, value]) => sum + name.length + value.length, body.byteLength);
}

/** Bounds on the memory of a ledger. */
export interface LedgerLimits {
  /** Maximum number of operations in the ledger. Beyond it new ones are refused. */
  readonly operations: number;
  /** Number of finished operations whose answers stay in memory; older ones are read from the journal. */
  readonly recentAnswers: number;
  /** Maximum bytes of answers in memory. Without a journal, older answers are lost but their outcomes are not. */
  readonly answerBytes: number;
}

interface KeptAnswer {
  readonly key: OperationKey;
  readonly bytes: number;
}

/**
 * State machine of keyed operations: intended, started, then done or unknown. A key is removed only when its
 * operation was not run, or by `pruneEnded` and `pruneThrough` at the end of the retention.
 */
export class OperationLedger {
  private readonly entries = new Map<OperationKey, Entry>();

  /** Finished operations in order of their segments, waiting to be archived. */
  private recent: OperationKey[] = [];

  private generations: Generation[] = [];

  /** Answers in order of arrival; some may have been archived since. */
  private keptAnswers: KeptAnswer[] = [];

  private keptAnswerBytes = 0;

  public constructor(
    private readonly hash: TextHash,
    private readonly limits: LedgerLimits,
  ) {}

  /** Number of operations in the ledger, archived ones included. */
  public get size(): number {
    return this.generations.reduce((sum, { index }) => sum + index.size, this.entries.size);
  }

  /** Decides on a request for a key. With the decision `record` the operation is entered as intended. */
  public begin(key: OperationKey, fingerprint: Fingerprint): LedgerDecision {
    const entry = this.entries.get(key);
    if (entry !== undefined) return OperationLedger.decide(entry, fingerprint);
    const sequence = this.findArchived(key);
    if (sequence !== undefined) return { type: 'archived', sequence };
    return this.beginWithoutArchive(key, fingerprint);
  }

  /** Like `begin`, for a key whose hit in the archive was a hash collision. */
  public beginWithoutArchive(key: OperationKey, fingerprint: Fingerprint): LedgerDecision {
    const entry = this.entries.get(key);
    if (entry !== undefined) return OperationLedger.decide(entry, fingerprint);
    if (this.size >= this.limits.operations) return { type: 'full' };
    this.entries.set(key, { fingerprint, state: 'intended' });
    return { type: 'record' };
  }

  /** Decision for a key that is already in the ledger; undefined for an unknown key. */
  public peek(key: OperationKey): LedgerDecision | undefined {
    const entry = this.entries.get(key);
    if (entry !== undefined) return OperationLedger.decide(entry, entry.fingerprint);
    const sequence = this.findArchived(key);
    return sequence === undefined ? undefined : { type: 'archived', sequence };
  }

  /** Marks an operation as started whose intent is in segment `sequence`. Returns false if it may not start. */
  public start(key: OperationKey, sequence: number): boolean {
    const entry = this.entries.get(key);
    if (entry?.state !== 'intended') return false;
    entry.state = 'started';
    entry.sequence = sequence;
    return true;
  }

  /** Records the answer of a started operation; without an answer the outcome is still known. */
  public finish(key: OperationKey, answer?: RecordedAnswer): void {
    const entry = this.entries.get(key);
    if (entry === undefined) return;
    entry.state = 'done';
    OperationLedger.settle(entry, { type: 'done', answer });
    if (answer !== undefined) this.keepAnswer(key, entry, answer);
  }

  /** Removes an operation that was not run; its key may begin again. */
  public release(key: OperationKey, settlement: SettledOutcome): void {
    const entry = this.entries.get(key);
    if (entry === undefined) return;
    this.entries.delete(key);
    OperationLedger.settle(entry, settlement);
  }

  /** Marks the outcome of a started operation as unknown. The operation never starts again. */
  public markUnknown(key: OperationKey, message: string): void {
    const entry = this.entries.get(key);
    if (entry === undefined) return;
    entry.state = 'unknown';
    OperationLedger.settle(entry, { type: 'unknown', message });
  }

  /** Marks a finished operation as written to a journal segment, so that its answer need not stay in memory. */
  public markWritten(key: OperationKey, sequence: number): void {
    const entry = this.entries.get(key);
    if (entry?.state !== 'done') return;
    entry.sequence = sequence;
    entry.isWritten = true;
    this.recent.push(key);
    if (this.recent.length >= this.limits.recentAnswers * 2) this.archiveOldest();
  }

  /** Applies a record of a former owner's journal. An intent without an answer becomes unknown. */
  public replay(record: JournalRecord, sequence: number): void {
    switch (record.type) {
      case 'intent':
        this.entries.set(record.key, {
          fingerprint: record.fingerprint,
          state: 'unknown',
          sequence,
        });
        break;
      case 'release':
        this.entries.delete(record.key);
        break;
      default:
        this.entries.delete(record.key);
        this.archive(record.key, sequence);
    }
  }

  /** Starts a new generation of the archive; `pruneThrough` removes whole generations. */
  public startGeneration(): void {
    this.generations.push({ index: new ArchiveIndex(this.hash), lastSequence: 0 });
  }

  /** Removes ended operations whose segments are at or below `sequence`; archived ones by whole generations. */
  public pruneThrough(sequence: number): void {
    this.generations = this.generations.filter(({ lastSequence }) => lastSequence > sequence);
    this.entries.forEach((entry, key) => {
      const isEnded = entry.state === 'done' || entry.state === 'unknown';
      const isOld = entry.sequence !== undefined && entry.sequence <= sequence;
      if (isEnded && isOld) this.entries.delete(key);
    });
  }

  /** Removes ended operations whose keys are no longer valid. */
  public pruneEnded(isExpired: (key: OperationKey) => boolean): void {
    this.entries.forEach((entry, key) => {
      const isEnded = entry.state === 'done' || entry.state === 'unknown';
      if (isEnded && isExpired(key)) this.entries.delete(key);
    });
  }

  /** Releases all operations that have not started, when this process loses the range. */
  public releaseUnstarted(): void {
    this.entries.forEach((entry, key) => {
      if (entry.state === 'intended') this.release(key, { type: 'moved' });
    });
  }

  /** Bytes of the archive's tables. */
  public get archiveBytes(): number {
    return this.generations.reduce((sum, { index }) => sum + index.bytes, 0);
  }

  private keepAnswer(key: OperationKey, entry: Entry, answer: RecordedAnswer): void {
    const bytes = sizeOfAnswer(answer);
    if (bytes > maxAnswerBytes) return;
    entry.answer = answer;
    this.keptAnswers.push({ key, bytes });
    this.keptAnswerBytes += bytes;
    while (this.keptAnswerBytes > this.limits.answerBytes) this.dropOldestAnswer();
  }

  private dropOldestAnswer(): void {
    const oldest = this.keptAnswers.shift();
    this.keptAnswerBytes -= oldest?.bytes ?? this.keptAnswerBytes;
    const entry = oldest === undefined ? undefined : this.entries.get(oldest.key);
    if (entry !== undefined) entry.answer = undefined;
  }

  private archiveOldest(): void {
    const oldest = this.recent.slice(0, this.limits.recentAnswers);
    this.recent = this.recent.slice(this.limits.recentAnswers);
    oldest.forEach((key) => {
      const entry = this.entries.get(key);
      if (entry?.state !== 'done' || entry.sequence === undefined) return;
      this.entries.delete(key);
      this.archive(key, entry.sequence);
    });
  }

  private archive(key: OperationKey, sequence: number): void {
    if (this.generations.length === 0) this.startGeneration();
    const last = this.generations[this.generations.length - 1];
    if (last === undefined) return;
    last.index.set(key, sequence);
    last.lastSequence = Math.max(last.lastSequence, sequence);
  }

  private findArchived(key: OperationKey): number | undefined {
    // The newest generation first: it holds the latest segment of the key.
    for (let at = this.generations.length - 1; at >= 0; at -= 1) {
      const sequence = this.generations[at]?.index.get(key);
      if (sequence !== undefined) return sequence;
    }
    return undefined;
  }

  private static decide(entry: Entry, fingerprint: Fingerprint): LedgerDecision {
    if (entry.fingerprint !== fingerprint) return { type: 'mismatch' };
    if (entry.state === 'done') return OperationLedger.answer(entry);
    if (entry.state === 'unknown') return { type: 'unknown' };
    const settled = new Promise<SettledOutcome>((resolve) => {
      entry.waiters = [...(entry.waiters ?? []), resolve];
    });
    return { type: 'wait', settled };
  }

  private static answer({ answer, sequence, isWritten }: Entry): LedgerDecision {
    if (answer === undefined && isWritten === true && sequence !== undefined) {
      return { type: 'archived', sequence };
    }
    return { type: 'answer', answer };
  }

  private static settle(entry: Entry, settlement: SettledOutcome): void {
    const waiters = entry.waiters ?? [];
    entry.waiters = undefined;
    waiters.forEach((resolve) => resolve(settlement));
  }
}
