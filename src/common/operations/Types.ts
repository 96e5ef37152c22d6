/** Interfaces of the at-most-once module (docs/design.md 5.7 and 5.8). */
import type {
  DaemonId,
  Fingerprint,
  Incarnation,
  OperationKey,
  RefusalReason,
} from '../base/index.js';
import type { RecordedAnswer } from '../services/Types.js';

/** Number of a key range, from 0 to `rangeCount - 1`. */
export type RangeNumber = number;

/** Non-cryptographic 64-bit hash of a string, such as xxhash64. It only places keys and can be forged. */
export type TextHash = (text: string) => bigint;

/** Intent to run an operation. */
export interface IntentRecord {
  readonly type: 'intent';
  readonly key: OperationKey;
  readonly fingerprint: Fingerprint;
}

/** The operation was run. The answer is absent if it was too large to keep. */
export interface DoneRecord {
  readonly type: 'done';
  readonly key: OperationKey;
  readonly fingerprint: Fingerprint;
  readonly answer?: RecordedAnswer;
}

/** The operation was not run, and its key may start again. */
export interface ReleaseRecord {
  readonly type: 'release';
  readonly key: OperationKey;
}

/** Entry of a journal segment. Records are applied in order. */
export type JournalRecord = IntentRecord | DoneRecord | ReleaseRecord;

/** Value of `journal/<range>/<sequence>` in the store. */
export interface Segment {
  /** A seal starts a new writer's part of the journal and holds no records. */
  readonly kind: 'data' | 'seal';
  /** Incarnation and term of the writer; no two writers share it. */
  readonly writer: string;
  /** Wall-clock time of the writer in milliseconds; used for the retention only. */
  readonly writtenAt: number;
  readonly records: readonly JournalRecord[];
}

/** Outcome that resends of a running operation receive when it ends. */
export type SettledOutcome =
  | { readonly type: 'done'; readonly answer?: RecordedAnswer }
  | { readonly type: 'not-run'; readonly reason: RefusalReason; readonly message: string }
  | { readonly type: 'unknown'; readonly message: string }
  | { readonly type: 'moved' };

/** Decision of a ledger on a request with a key. */
export type LedgerDecision =
  /** The key is new: record an intent, then start the operation. */
  | { readonly type: 'record' }
  /** The same operation is in progress. */
  | { readonly type: 'wait'; readonly settled: Promise<SettledOutcome> }
  /** The operation was run; the answer is absent if it was too large to keep. */
  | { readonly type: 'answer'; readonly answer?: RecordedAnswer }
  /** The key may be in this journal segment, which has to be read to find out. */
  | { readonly type: 'archived'; readonly sequence: number }
  /** The operation may have been run and is never started again. */
  | { readonly type: 'unknown' }
  /** The key was used for another request. */
  | { readonly type: 'mismatch' }
  /** The ledger holds as many operations as it may. */
  | { readonly type: 'full' };

/** Intent that is being written to a log. */
export interface PendingIntent {
  /**
   * Resolves with the sequence of its segment when the intent is durable, 0 if there are no segments. Rejects with
   * `FencedError` if this writer has lost the journal.
   */
  readonly durable: Promise<number>;
  /** Withdraws the intent. Returns true if no part of it can be in the log. */
  cancel(): boolean;
}

/** Log in which intents are recorded before operations start. */
export interface IntentLog {
  record(intent: IntentRecord): PendingIntent;
  /** Adds a record that may be written later, or be lost with the process. */
  append(record: DoneRecord | ReleaseRecord): void;
  /** Whether this process is known to have been the key's only authority at some moment since `time` (`Clock.elapsed`). */
  isOwnershipConfirmedSince(time: number): boolean;
  /** Requests that confirmation; false if another process has taken over. Rejects if the store does not answer. */
  confirmOwnership(): Promise<boolean>;
  /** Reads the outcome of a key from a segment; undefined if the segment does not hold one. */
  read(sequence: number, key: OperationKey): Promise<DoneRecord | undefined>;
}

/** A non-idempotent request with a key. */
export interface OperationRequest<Payload> {
  readonly key: OperationKey;
  readonly fingerprint: Fingerprint;
  /** `Clock.elapsed` at which the caller stops waiting. */
  readonly deadline: number;
  /**
   * The caller has never sent this key before. While the store cannot confirm the owner of the key, only then is
   * it certain that a refused operation has not been run.
   */
  readonly isFirstAttempt: boolean;
  readonly payload: Payload;
}

/** Result of sending an operation to a target. */
export type DispatchResult =
  | { readonly type: 'done'; readonly answer: RecordedAnswer }
  | { readonly type: 'not-run'; readonly reason: RefusalReason; readonly message: string }
  | { readonly type: 'unknown'; readonly message: string };

/** Sends an operation to targets. It may use another target only after an explicit not-started refusal. */
export type Dispatch<Payload> = (
  payload: Payload,
  /** Milliseconds until the deadline. */
  timeout: number,
) => Promise<DispatchResult>;

/** Result that the authority returns. */
export type OperationResult =
  | { readonly outcome: 'done'; readonly answer?: RecordedAnswer; readonly isReplayed: boolean }
  | { readonly outcome: 'not-run'; readonly reason: RefusalReason; readonly message: string }
  | { readonly outcome: 'unknown'; readonly message: string }
  | { readonly outcome: 'pending'; readonly message: string }
  | { readonly outcome: 'mismatch' }
  /** The receiver is not the authority of the key and has not started it. */
  | { readonly outcome: 'moved'; readonly owner?: DaemonId };

/** Properties of a daemon that are used to find an authority. */
export interface AuthorityMember {
  readonly id: DaemonId;
  readonly incarnation: Incarnation;
  /** False for a member that is leaving, suspect or dead. */
  readonly isLive: boolean;
  /** Key ranges that the member reports as its own. */
  readonly ranges: readonly RangeNumber[];
}

/** Location of the authority of a key. */
export type AuthorityLocation =
  | { readonly type: 'self' }
  | { readonly type: 'member'; readonly member: AuthorityMember }
  /** The process that issued the key has ended. The key can never start again. */
  | { readonly type: 'ended' }
  /** No live daemon is currently known to be the authority. */
  | { readonly type: 'away' };
