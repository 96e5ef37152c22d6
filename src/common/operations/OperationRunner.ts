import type { Clock, RefusalReason } from '../base/index.js';
import { withDeadline, timedOut } from './timeouts.js';
import { FencedError } from './FencedError.js';
import type { OperationLedger } from './OperationLedger.js';
import type {
  LedgerDecision,
  Dispatch,
  DispatchResult,
  IntentLog,
  OperationRequest,
  OperationResult,
  SettledOutcome,
} from './Types.js';

/** Ledger and intent log of the operations of one authority. */
export interface OperationRecords {
  readonly ledger: OperationLedger;
  readonly log: IntentLog;
}

/** Runs one operation against a ledger and a log, and decides when it may start. */
export class OperationRunner<Payload> {
  private readonly arrivedAt: number;

  public constructor(
    private readonly request: OperationRequest<Payload>,
    private readonly records: OperationRecords,
    private readonly clock: Clock,
    private readonly dispatch: Dispatch<Payload>,
  ) {
    this.arrivedAt = clock.elapsed();
  }

  /** Starts the operation if its key is new; otherwise returns the outcome of the earlier request. */
  public async run(): Promise<OperationResult> {
    const { key, fingerprint } = this.request;
    return this.applyDecision(this.records.ledger.begin(key, fingerprint));
  }

  private async applyDecision(decision: LedgerDecision): Promise<OperationResult> {
    switch (decision.type) {
      case 'record':
        return this.recordAndStart();
      case 'wait':
        return this.waitForOutcome(decision.settled);
      case 'answer':
        return { outcome: 'done', answer: decision.answer, isReplayed: true };
      case 'archived':
        return this.readArchived(decision.sequence);
      case 'unknown':
        return { outcome: 'unknown', message: 'the operation may have been run' };
      case 'mismatch':
        return { outcome: 'mismatch' };
      default:
        return this.refuse('limit', 'no memory is left to remember another operation');
    }
  }

  private async recordAndStart(): Promise<OperationResult> {
    const { key, fingerprint, deadline } = this.request;
    const { ledger, log } = this.records;
    const intent = log.record({ type: 'intent', key, fingerprint });
    const sequence = await withDeadline(this.clock, deadline, intent.durable).catch(
      (error: unknown) => {
        if (error instanceof FencedError) return undefined;
        throw error;
      },
    );
    if (sequence === undefined) {
      ledger.release(key, { type: 'moved' });
      return { outcome: 'moved' };
    }
    // After a pause of the process the intent can be durable although the deadline has passed.
    if (sequence === timedOut || this.clock.elapsed() >= deadline) {
      this.releaseUnstarted(intent.cancel(), 'store-away', 'the intent was not recorded in time');
      return this.refuse('store-away', 'the intent was not recorded in time');
    }
    if (!ledger.start(key, sequence)) return { outcome: 'moved' };
    return this.start();
  }

  private async start(): Promise<OperationResult> {
    const { payload, deadline } = this.request;
    const timeout = deadline - this.clock.elapsed();
    const running = this.dispatch(payload, timeout).catch((error: unknown): DispatchResult => ({
      type: 'unknown',
      message: String(error),
    }));
    const recorded = running.then((result) => this.recordResult(result));
    const result = await withDeadline(this.clock, deadline, recorded);
    return result === timedOut ? OperationRunner.createPendingResult() : result;
  }

  private recordResult(result: DispatchResult): OperationResult {
    const { key, fingerprint } = this.request;
    const { ledger, log } = this.records;
    switch (result.type) {
      case 'done':
        ledger.finish(key, result.answer);
        log.append({ type: 'done', key, fingerprint, answer: result.answer });
        return { outcome: 'done', answer: result.answer, isReplayed: false };
      case 'not-run':
        this.releaseUnstarted(false, result.reason, result.message);
        // The intent was written after the request arrived, which confirmed this authority.
        return { outcome: 'not-run', reason: result.reason, message: result.message };
      default:
        ledger.markUnknown(key, result.message);
        return { outcome: 'unknown', message: result.message };
    }
  }

  /** Removes an operation that was not started and that this request will not start. */
  private releaseUnstarted(isWithdrawn: boolean, reason: RefusalReason, message: string): void {
    const { key } = this.request;
    const { ledger, log } = this.records;
    const isCertain = this.request.isFirstAttempt || log.isOwnershipConfirmedSince(this.arrivedAt);
    const settlement: SettledOutcome = isCertain
      ? { type: 'not-run', reason, message }
      : { type: 'unknown', message };
    ledger.release(key, settlement);
    if (!isWithdrawn) log.append({ type: 'release', key });
  }

  private async waitForOutcome(settled: Promise<SettledOutcome>): Promise<OperationResult> {
    const settlement = await withDeadline(this.clock, this.request.deadline, settled);
    if (settlement === timedOut) return OperationRunner.createPendingResult();
    switch (settlement.type) {
      case 'done':
        return { outcome: 'done', answer: settlement.answer, isReplayed: true };
      case 'not-run':
        return this.refuse(settlement.reason, settlement.message);
      case 'moved':
        return { outcome: 'moved' };
      default:
        return { outcome: 'unknown', message: settlement.message };
    }
  }

  private async readArchived(sequence: number): Promise<OperationResult> {
    const { key, fingerprint, deadline } = this.request;
    const { ledger, log } = this.records;
    const reading = log.read(sequence, key).catch((): typeof timedOut => timedOut);
    const record = await withDeadline(this.clock, deadline, reading);
    if (record === timedOut) {
      return { outcome: 'unknown', message: 'the recorded answer cannot be read at present' };
    }
    if (record === undefined)
      return this.applyDecision(ledger.beginWithoutArchive(key, fingerprint));
    if (record.fingerprint !== fingerprint) return { outcome: 'mismatch' };
    return { outcome: 'done', answer: record.answer, isReplayed: true };
  }

  /**
   * Refuses as not run if that is certain. A ledger is complete only while its owner is the authority, and a
   * former owner that cannot reach the store does not know that it was replaced.
   */
  private async refuse(reason: RefusalReason, message: string): Promise<OperationResult> {
    const isCertain = this.request.isFirstAttempt || (await this.confirmOwnership());
    if (isCertain) return { outcome: 'not-run', reason, message };
    return {
      outcome: 'unknown',
      message: `${message}, and the store has not confirmed who owns the key`,
    };
  }

  private async confirmOwnership(): Promise<boolean> {
    const { log } = this.records;
    if (log.isOwnershipConfirmedSince(this.arrivedAt)) return true;
    if (this.clock.elapsed() >= this.request.deadline) return false;
    const confirming = log.confirmOwnership().catch(() => false);
    const answer = await withDeadline(this.clock, this.request.deadline, confirming);
    return answer === true;
  }

  private static createPendingResult(): OperationResult {
    return { outcome: 'pending', message: 'the operation has not ended yet' };
  }
}
