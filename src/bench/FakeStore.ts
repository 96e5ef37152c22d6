import { Emitter, StoreError } from '../api/index.js';
import type {
  Clock,
  Disposable,
  RandomSource,
  Store,
  StoreChange,
  StoreCompare,
  StoreEntry,
  StoreRange,
  StoreTransactionResult,
  StoreWatch,
  StoreWrite,
} from '../api/index.js';

/** Faults that a fake store injects. */
export interface StoreFault {
  /** The store is unavailable: every call fails. */
  readonly isUnavailable: boolean;
  /** Share of transactions whose answer is lost after they took effect. */
  readonly lostAnswerShare: number;
  /** Share of transactions that fail without the caller knowing that they had no effect. */
  readonly lostWriteShare: number;
  /** Maximum delay in milliseconds; a random part of it passes before and again after a call takes effect. */
  readonly delay: number;
}

/** No fault. */
export const reliable: StoreFault = {
  isUnavailable: false,
  lostAnswerShare: 0,
  lostWriteShare: 0,
  delay: 0,
};

/** In-memory store on a virtual clock, without leases. */
export class FakeStore implements Store {
  public fault: StoreFault = reliable;

  private readonly entries = new Map<string, StoreEntry>();

  private readonly changes = new Emitter<StoreChange>();

  /** Fires when a write takes effect, before the caller receives the result. */
  public readonly onApplied = this.changes.event;

  private revision = 0;

  /** Calls so far. */
  public calls = 0;

  public constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  public async get(key: string): Promise<StoreEntry | undefined> {
    await this.simulateNetworkDelay('get');
    const entry = this.entries.get(key);
    await this.simulateNetworkDelay('get');
    return entry;
  }

  public async range({ prefix }: StoreRange): Promise<readonly StoreEntry[]> {
    await this.simulateNetworkDelay('range');
    return [...this.entries.values()].filter(({ key }) => key.startsWith(prefix));
  }

  public async transact(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): Promise<StoreTransactionResult> {
    await this.simulateNetworkDelay('transact');
    this.failRandomly(this.fault.lostWriteShare);
    const result = this.apply(compares, writes);
    await this.simulateNetworkDelay('transact', 'unknown');
    this.failRandomly(this.fault.lostAnswerShare);
    return result;
  }

  public async grantLease(): Promise<string> {
    throw new StoreError('the fake store has no leases', 'not-applied', { step: 'fake.lease' });
  }

  public keepAlive(): Promise<void> {
    return this.grantLease().then(() => {});
  }

  public revokeLease(): Promise<void> {
    return this.keepAlive();
  }

  public watch(prefix: string): StoreWatch {
    const matching = new Emitter<StoreChange>();
    const source = this.changes.event((change) => {
      if (change.entry.key.startsWith(prefix)) matching.fire(change);
    });
    return { onChange: matching.event, onEnd: new Emitter<Error>().event, dispose: source.dispose };
  }

  public dispose(): void {
    this.changes.dispose();
  }

  private apply(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): StoreTransactionResult {
    const isCurrent = compares.every(
      ({ key, modRevision }) => (this.entries.get(key)?.modRevision ?? 0) === modRevision,
    );
    if (!isCurrent) {
      const present = compares.map(({ key }) => this.entries.get(key));
      return { applied: false, present: present.filter((entry) => entry !== undefined) };
    }
    this.revision += 1;
    writes.forEach((write) => this.applyWrite(write));
    return { applied: true, revision: this.revision };
  }

  private applyWrite(write: StoreWrite): void {
    const value = write.type === 'put' ? write.value : new Uint8Array();
    const entry: StoreEntry = { key: write.key, value, modRevision: this.revision };
    if (write.type === 'put') this.entries.set(write.key, entry);
    else this.entries.delete(write.key);
    this.changes.fire({ type: write.type, entry });
  }

  private failRandomly(share: number): void {
    if (share > 0 && this.random() < share) {
      throw new StoreError('the answer was lost', 'unknown', { step: 'fake.transact' });
    }
  }

  private async simulateNetworkDelay(
    step: string,
    outcome: 'not-applied' | 'unknown' = 'not-applied',
  ) {
    this.calls += step === 'transact' && outcome === 'unknown' ? 0 : 1;
    if (this.fault.isUnavailable) {
      throw new StoreError('the store is unavailable', outcome, { step: `fake.${step}` });
    }
    if (this.fault.delay === 0) return;
    await new Promise<void>((resolve) => {
      const timer: Disposable = this.clock.after(this.fault.delay * this.random(), resolve);
      void timer;
    });
  }
}
