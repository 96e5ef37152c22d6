/** Interfaces of the simulated fleet for keyed operations. */

/** Faults of the connection between one process and the store. */
export interface StoreFaults {
  /** Calls do not reach the store. */
  areRequestsLost: boolean;
  /** Calls take effect, but no answer arrives. */
  areAnswersLost: boolean;
  /** Share of calls whose answer is lost. */
  lostAnswerShare: number;
  /** Share of writes that take effect only after the caller has given up. */
  delayedWriteShare: number;
  /** Factor on the latency. */
  slowness: number;
}

/** Counters of the calls that a fake store has served. */
export interface StoreCounters {
  writes: number;
  reads: number;
  /** Bytes of the values written, by the first part of the key. */
  readonly bytes: Map<string, number>;
  /** Values written, by the first part of the key. */
  readonly values: Map<string, number>;
}

/** Event of a history. All times are `Clock.elapsed` of the simulation, in milliseconds. */
export type HistoryEvent =
  /** A caller sent a request; `attempt` is unique. */
  | {
      readonly type: 'sent';
      readonly at: number;
      readonly attempt: number;
      readonly key: string;
      readonly content: string;
    }
  /** A target started the operation for an attempt. */
  | {
      readonly type: 'started';
      readonly at: number;
      readonly attempt: number;
      readonly key: string;
      readonly target: string;
    }
  /** The caller received an answer. For a `done` answer, `content` is the content of the request that ran. */
  | {
      readonly type: 'answered';
      readonly at: number;
      readonly attempt: number;
      readonly key: string;
      readonly outcome: string;
      readonly content?: string;
    };

/** Violation of a rule, with the events that show it. */
export interface Violation {
  readonly rule: 'started-twice' | 'false-not-run' | 'wrong-answer';
  readonly key: string;
  readonly events: readonly HistoryEvent[];
}
