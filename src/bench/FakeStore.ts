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

/** Faults of a fake store. */
export interface StoreFault {
  /** Every call fails without effect. */
  readonly isAway: boolean;
  /** Share of transactions whose answer is lost after they took effect. */
  readonly lostAnswerShare: number;
  /** Share of transactions that fail without the caller knowing that they had no effect. */
  readonly lostWriteShare: number;
  /** Longest delay of a call in milliseconds; each call takes a random part of it, before and after its effect. */
  readonly delay: number;
}

/** No fault. */
export const reliable: StoreFault = {
  isAway: false,
  lostAnswerShare: 0,
  lostWriteShare: 0,
  delay: 0,
};

/** The platform's store in memory, on a virtual clock, without leases. */
export class FakeStore implements Store {
  public fault: StoreFault = reliable;

  private readonly entries = new Map<string, StoreEntry>();

  private readonly changes = new Emitter<StoreChange>();

  /** Fires at the moment a write takes effect, before the caller learns of it. */
  public readonly onApplied = this.changes.event;

  private revision = 0;

  /** Calls so far. */
  public calls = 0;

  public constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  public async get(key: string): Promise<StoreEntry | undefined> {
    await this.travel('get');
    const entry = this.entries.get(key);
    await this.travel('get');
    return entry;
  }

  public async range({ prefix }: StoreRange): Promise<readonly StoreEntry[]> {
    await this.travel('range');
    return [...this.entries.values()].filter(({ key }) => key.startsWith(prefix));
  }

  public async transact(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): Promise<StoreTransactionResult> {
    await this.travel('transact');
    this.loseWith(this.fault.lostWriteShare);
    const result = this.apply(compares, writes);
    await this.travel('transact', 'unknown');
    this.loseWith(this.fault.lostAnswerShare);
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

  private loseWith(share: number): void {
    if (share > 0 && this.random() < share) {
      throw new StoreError('the answer was lost', 'unknown', { step: 'fake.transact' });
    }
  }

  private async travel(step: string, outcome: 'not-applied' | 'unknown' = 'not-applied') {
    this.calls += step === 'transact' && outcome === 'unknown' ? 0 : 1;
    if (this.fault.isAway) {
      throw new StoreError('the store is away', outcome, { step: `fake.${step}` });
    }
    if (this.fault.delay === 0) return;
    await new Promise<void>((resolve) => {
      const timer: Disposable = this.clock.after(this.fault.delay * this.random(), resolve);
      void timer;
    });
  }
}
