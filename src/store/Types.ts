/** Types of the store emulator. Keys are latin1 strings, one character per byte, so that they sort bytewise. */

/** State of a key after one write. */
export interface KeyVersion {
  readonly key: string;
  readonly value: Uint8Array;
  readonly createRevision: number;
  readonly modRevision: number;
  /** Number of writes since the key was created; 0 marks a deletion. */
  readonly version: number;
  /** ID of the lease that the key is attached to; `'0'` means none. */
  readonly lease: string;
}

/** Half-open key range `[key, end)`. An empty `end` selects the single key, `'\0'` all keys from `key` on. */
export interface KeyRange {
  readonly key: string;
  readonly end: string;
}

/** Range read. */
export interface RangeQuery extends KeyRange {
  /** Maximum number of entries; 0 means all. */
  readonly limit: number;
  /** Revision to read at; 0 means the latest. */
  readonly revision: number;
}

/** Result of a range read. */
export interface RangeResult {
  readonly entries: readonly KeyVersion[];
  /** Entries in the range regardless of the limit. */
  readonly count: number;
}

/** Attribute of a key that a condition compares. */
export type CompareSubject = 'VERSION' | 'CREATE' | 'MOD' | 'VALUE' | 'LEASE';

/** Comparison operator of a condition; the current attribute is the left operand. */
export type CompareRelation = 'EQUAL' | 'GREATER' | 'LESS' | 'NOT_EQUAL';

/** Condition of a transaction. */
export interface Condition {
  readonly key: string;
  readonly subject: CompareSubject;
  readonly relation: CompareRelation;
  /** Number, lease ID, or value bytes as a latin1 string. */
  readonly operand: number | string;
}

/** Operation of a transaction. */
export type Operation =
  | { readonly type: 'range'; readonly query: RangeQuery }
  | {
      readonly type: 'put';
      readonly key: string;
      readonly value: Uint8Array;
      readonly lease: string;
    }
  | { readonly type: 'delete'; readonly range: KeyRange };

/** Result of one operation. */
export type OperationResult =
  | { readonly type: 'range'; readonly rangeResult: RangeResult }
  | { readonly type: 'put' }
  | { readonly type: 'delete'; readonly deleted: number };

/** Runs `success` if all conditions are met, `failure` otherwise. */
export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly success: readonly Operation[];
  readonly failure: readonly Operation[];
}

/** Result of a transaction. */
export interface TransactionResult {
  readonly succeeded: boolean;
  /** Revision of the store after the transaction. */
  readonly revision: number;
  readonly results: readonly OperationResult[];
}

/** Kind of call, for counters and fault injection. */
export type CallKind = 'read' | 'write' | 'lease' | 'keepalive' | 'watch';

/** Client that makes a call. */
export interface Peer {
  /** Client name from the call metadata; empty if it has none. */
  readonly client: string;
  /** `host:port` or `host`. */
  readonly address: string;
}

/** Direction that a one-way partition drops. */
export type CutDirection = 'none' | 'requests' | 'answers';

/** Active faults. */
export interface FaultSettings {
  /** Simulates an outage: new connections are refused and open ones are closed. */
  readonly down: boolean;
  /** Delay before each response in milliseconds. */
  readonly slow: number;
  /** Number of upcoming writes that are applied but whose response is lost. */
  readonly loseAnswers: number;
  /** `requests`: calls are lost, watches still deliver. `answers`: calls are applied, nothing is sent back. */
  readonly cut: CutDirection;
  /** Client names that the partition applies to; empty means all. */
  readonly cutClients: readonly string[];
  /** Peers to refuse, by client name, `host` or `host:port`. */
  readonly refuse: readonly string[];
}

/**
 * What the fault injector does to a call. `lose-answer` fails the call after it was applied; `cut-answer` applies
 * it and never responds.
 */
export type CallDisposition = 'answer' | 'refuse' | 'lose-request' | 'lose-answer' | 'cut-answer';

/** Call counts. */
export interface CallCounts {
  /** Total of all kinds; a watch counts once, when it is created. */
  readonly calls: number;
  readonly byKind: Readonly<Record<CallKind, number>>;
  /** Watches that are currently open. */
  readonly waitingWatches: number;
}
