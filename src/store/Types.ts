/** Types of the store stand-in. Keys are strings with one character for each byte, so that they sort as bytes. */

/** State of a key after one write. */
export interface KeyVersion {
  readonly key: string;
  readonly value: Uint8Array;
  readonly createRevision: number;
  readonly modRevision: number;
  /** Writes since the key was created; 0 marks a delete. */
  readonly version: number;
  /** Lease that the key is bound to; `'0'` means none. */
  readonly lease: string;
}

/** Keys from `key` up to but without `end`. No end means the one key, `'\0'` means all that follow. */
export interface KeyRange {
  readonly key: string;
  readonly end: string;
}

/** Read of a range. */
export interface RangeQuery extends KeyRange {
  /** Greatest number of entries; 0 means all. */
  readonly limit: number;
  /** Revision to read at; 0 means the latest. */
  readonly revision: number;
}

/** Answer to a read. */
export interface RangeAnswer {
  readonly entries: readonly KeyVersion[];
  /** Entries in the range regardless of the limit. */
  readonly count: number;
}

/** What a comparison looks at. */
export type CompareSubject = 'VERSION' | 'CREATE' | 'MOD' | 'VALUE' | 'LEASE';

/** How a comparison relates the present state to the given one. */
export type CompareRelation = 'EQUAL' | 'GREATER' | 'LESS' | 'NOT_EQUAL';

/** Condition of a transaction. */
export interface Condition {
  readonly key: string;
  readonly subject: CompareSubject;
  readonly relation: CompareRelation;
  /** A number, a lease id, or bytes as a string with one character for each byte. */
  readonly operand: number | string;
}

/** Step of a transaction. */
export type Operation =
  | { readonly type: 'range'; readonly query: RangeQuery }
  | {
      readonly type: 'put';
      readonly key: string;
      readonly value: Uint8Array;
      readonly lease: string;
    }
  | { readonly type: 'delete'; readonly range: KeyRange };

/** Result of one step. */
export type OperationResult =
  | { readonly type: 'range'; readonly answer: RangeAnswer }
  | { readonly type: 'put' }
  | { readonly type: 'delete'; readonly deleted: number };

/** Conditions and the steps for either result of them. */
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

/** Kind of call, for counters and faults. */
export type CallKind = 'read' | 'write' | 'lease' | 'keepalive' | 'watch';

/** Who makes a call. */
export interface Peer {
  /** Client name from the metadata; empty when the client gives none. */
  readonly client: string;
  /** `host:port` or `host`. */
  readonly address: string;
}

/** Direction that a one-way partition cuts. */
export type CutDirection = 'none' | 'requests' | 'answers';

/** Faults in force. */
export interface FaultSettings {
  /** The store is away: connections are refused and open ones are cut. */
  readonly down: boolean;
  /** Milliseconds added before each answer. */
  readonly slow: number;
  /** Number of coming writes that take effect and whose answer is lost. */
  readonly loseAnswers: number;
  /** `requests`: calls are lost, watches still deliver. `answers`: calls take effect, nothing comes back. */
  readonly cut: CutDirection;
  /** Client names that the cut applies to; empty means all. */
  readonly cutClients: readonly string[];
  /** Client names, `host` or `host:port` of peers that are refused. */
  readonly refuse: readonly string[];
}

/** What happens to one call. */
export type CallFate = 'answer' | 'refuse' | 'lose-request' | 'lose-answer' | 'cut-answer';

/** Counted calls. */
export interface CallCounts {
  /** Sum of all kinds; a watch counts once when it is created. */
  readonly calls: number;
  readonly byKind: Readonly<Record<CallKind, number>>;
  /** Watches that wait at this moment. */
  readonly waitingWatches: number;
}
