import { Emitter, StoreError } from '../common/base/index.js';
import type { Clock, Disposable } from '../common/base/index.js';
import { isConditionMet } from './conditions.js';
import { LeaseTable } from './LeaseTable.js';
import type {
  KeyRange,
  KeyVersion,
  Operation,
  OperationResult,
  Transaction,
  TransactionResult,
} from './Types.js';
import { VersionedMap } from './VersionedMap.js';

/** Largest value that the platform's store accepts, in bytes. */
export const maxValueBytes = 1_048_576;

/** Store without its protocol: versioned map, leases and change notification. */
export class StoreCore implements Disposable {
  private readonly map: VersionedMap;

  private readonly leases: LeaseTable;

  private readonly changed = new Emitter<void>();

  /** Fires after each transaction that wrote a key. */
  public readonly onChange = this.changed.event;

  public constructor(clock: Clock, historyLimit?: number) {
    this.map = new VersionedMap(historyLimit);
    this.leases = new LeaseTable(clock, (keys) => this.deleteKeys(keys));
  }

  public get revision(): number {
    return this.map.revision;
  }

  /** Oldest revision from which a watch can start. */
  public get compactRevision(): number {
    return this.map.compactRevision;
  }

  /** Runs a transaction; throws `StoreError` with the outcome `not-applied` if it is invalid. */
  public transact(transaction: Transaction): TransactionResult {
    const succeeded = transaction.conditions.every((condition) =>
      isConditionMet(condition, this.map.find(condition.key)),
    );
    const operations = succeeded ? transaction.success : transaction.failure;
    this.validate(operations);
    const before = this.map.revision;
    const results = operations.map((operation) => this.runOperation(operation));
    this.map.commit();
    if (this.map.revision > before) this.changed.fire();
    return { succeeded, revision: this.map.revision, results };
  }

  /** Changes in a range from `revision` on. */
  public changesFrom(revision: number, range: KeyRange): KeyVersion[] {
    return this.map.changesFrom(revision, range);
  }

  /** Grants a lease of `duration` seconds. */
  public grantLease(duration: number, id?: string): string {
    return this.leases.grant(duration, id);
  }

  /** Renews a lease and returns the remaining seconds; 0 means that it has expired. */
  public renewLease(id: string): number {
    return this.leases.renew(id);
  }

  /** Revokes a lease and deletes its keys; returns false if the lease does not exist. */
  public revokeLease(id: string): boolean {
    return this.leases.revoke(id);
  }

  public dispose(): void {
    this.leases.dispose();
    this.changed.dispose();
  }

  private runOperation(operation: Operation): OperationResult {
    switch (operation.type) {
      case 'range':
        return { type: 'range', rangeResult: this.map.range(operation.query) };
      case 'put':
        this.leases.bind(
          operation.key,
          this.map.find(operation.key)?.lease ?? '0',
          operation.lease,
        );
        this.map.put(operation.key, operation.value, operation.lease);
        return { type: 'put' };
      default: {
        const deleted = this.map.delete(operation.range);
        deleted.forEach(({ key, lease }) => this.leases.bind(key, lease, '0'));
        return { type: 'delete', deleted: deleted.length };
      }
    }
  }

  /** Checks all operations before the first write, so that a transaction is atomic. */
  private validate(operations: readonly Operation[]): void {
    const written = new Set<string>();
    operations.forEach((operation) => {
      if (operation.type === 'range') this.map.range({ ...operation.query, limit: 1 });
      if (operation.type !== 'put') return;
      if (operation.value.byteLength > maxValueBytes) {
        throw this.createError(`the value is larger than ${maxValueBytes} bytes`);
      }
      if (operation.lease !== '0' && !this.leases.has(operation.lease)) {
        throw this.createError('the requested lease does not exist');
      }
      if (written.has(operation.key)) throw this.createError('a key is written twice');
      written.add(operation.key);
    });
  }

  private createError(message: string): StoreError {
    return new StoreError(message, 'not-applied', { step: 'store.transact' });
  }

  private deleteKeys(keys: readonly string[]): void {
    this.transact({
      conditions: [],
      success: keys.map((key) => ({ type: 'delete', range: { key, end: '' } })),
      failure: [],
    });
  }
}
