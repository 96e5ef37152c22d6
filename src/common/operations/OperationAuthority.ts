import type { Clock, OperationKey } from '../base/index.js';
import { parseIssuedKey, type KeyIssuer } from './KeyIssuer.js';
import { rangeOf } from './KeyRanges.js';
import { noopIntentLog } from './noopIntentLog.js';
import type { OperationLedger } from './OperationLedger.js';
import { OperationRunner, type OperationRecords } from './OperationRunner.js';
import type {
  Dispatch,
  OperationRequest,
  OperationResult,
  RangeNumber,
  TextHash,
} from './Types.js';

/** Dependencies of an authority. */
export interface AuthorityContext<Payload> {
  readonly clock: Clock;
  readonly hash: TextHash;
  readonly keyIssuer: KeyIssuer;
  /** Ledger of the keys that this incarnation issued. */
  readonly issuedLedger: OperationLedger;
  /** Ledger and log of a range that this daemon owns; undefined for any other range. */
  readonly recordsOf: (range: RangeNumber) => OperationRecords | undefined;
  readonly dispatch: Dispatch<Payload>;
}

/** Decides whether a keyed operation may start, runs it and records its outcome. */
export class OperationAuthority<Payload> {
  private activeOperations = 0;

  public constructor(private readonly context: AuthorityContext<Payload>) {}

  /** Number of operations in progress. */
  public get activeCount(): number {
    return this.activeOperations;
  }

  /** Runs an operation at most once for its key. `moved` means that this daemon is not its authority. */
  public async execute(request: OperationRequest<Payload>): Promise<OperationResult> {
    const refusal = this.refuseExpired(request);
    if (refusal !== undefined) return refusal;
    const records = this.findRecords(request.key);
    if (records === undefined) return { outcome: 'moved' };
    const { clock, dispatch } = this.context;
    this.activeOperations += 1;
    try {
      return await new OperationRunner(request, records, clock, dispatch).run();
    } finally {
      this.activeOperations -= 1;
    }
  }

  /** Outcome of a key without starting anything. Throws `StoreError` if the store is needed and does not answer. */
  public async queryOutcome(key: OperationKey): Promise<OperationResult> {
    const records = this.findRecords(key);
    if (records === undefined) return { outcome: 'moved' };
    const decision = records.ledger.peek(key);
    switch (decision?.type) {
      case 'answer':
        return { outcome: 'done', answer: decision.answer, isReplayed: true };
      case 'wait':
        return { outcome: 'pending', message: 'the operation has not ended yet' };
      case 'archived':
        return this.readArchived(records, key, decision.sequence);
      case 'unknown':
        return { outcome: 'unknown', message: 'the operation may have been run' };
      default:
        return this.createAbsentResult(records, key);
    }
  }

  /** Removes the operations of expired issued keys from the ledger. */
  public pruneExpired(): void {
    const { keyIssuer, issuedLedger } = this.context;
    issuedLedger.pruneEnded((key) => keyIssuer.isExpired(key));
  }

  private findRecords(key: OperationKey): OperationRecords | undefined {
    const { hash, keyIssuer, issuedLedger, recordsOf } = this.context;
    if (parseIssuedKey(key) === undefined) return recordsOf(rangeOf(key, hash));
    return keyIssuer.hasIssued(key) ? { ledger: issuedLedger, log: noopIntentLog } : undefined;
  }

  private refuseExpired(request: OperationRequest<Payload>): OperationResult | undefined {
    const { keyIssuer } = this.context;
    const { key, isFirstAttempt } = request;
    if (!keyIssuer.hasIssued(key) || !keyIssuer.isExpired(key)) return undefined;
    const message = 'the key has expired';
    // The operation may have been run and removed from the ledger since.
    if (!isFirstAttempt) return { outcome: 'unknown', message };
    return { outcome: 'not-run', reason: 'bad-request', message };
  }

  private async readArchived(
    records: OperationRecords,
    key: OperationKey,
    sequence: number,
  ): Promise<OperationResult> {
    const record = await records.log.read(sequence, key);
    if (record === undefined) return this.createAbsentResult(records, key);
    return { outcome: 'done', answer: record.answer, isReplayed: true };
  }

  private async createAbsentResult(
    records: OperationRecords,
    key: OperationKey,
  ): Promise<OperationResult> {
    const { keyIssuer } = this.context;
    if (keyIssuer.hasIssued(key) && keyIssuer.isExpired(key)) {
      return { outcome: 'unknown', message: 'the key has expired' };
    }
    if (!(await records.log.confirmOwnership())) return { outcome: 'moved' };
    return {
      outcome: 'not-run',
      reason: 'no-route',
      message: 'no operation with this key has started',
    };
  }
}
