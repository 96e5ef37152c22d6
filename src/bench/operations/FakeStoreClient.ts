import {
  StoreError,
  type Clock,
  type RandomSource,
  type Store,
  type StoreCompare,
  type StoreEntry,
  type StoreRange,
  type StoreTransactionResult,
  type StoreWatch,
  type StoreWrite,
} from '../../api/index.js';
import type { FakeStore } from './FakeStore.js';
import type { StoreFaults } from './Types.js';

/** Mean one-way latency to the store. */
const oneWayLatencyMs = 1.5;
/** Time after which a client gives up a call. */
const clientTimeoutMs = 1000;
/** Maximum time by which a delayed write takes effect after the client has given up. */
const maxWriteDelayMs = 8000;

/** Faults of a healthy connection to the store: none. */
export function noFaults(): StoreFaults {
  return {
    areRequestsLost: false,
    areAnswersLost: false,
    lostAnswerShare: 0,
    delayedWriteShare: 0,
    slowness: 1,
  };
}

/** Connection of one process to the store. Answers are delivered on the clock of the process. */
export class FakeStoreClient implements Store {
  public constructor(
    private readonly store: FakeStore,
    private readonly clock: Clock,
    private readonly faults: StoreFaults,
    private readonly random: RandomSource,
  ) {}

  public get(key: string): Promise<StoreEntry | undefined> {
    return this.call('store.get', false, () => this.store.get(key));
  }

  public range(range: StoreRange): Promise<readonly StoreEntry[]> {
    return this.call('store.range', false, () => this.store.range(range));
  }

  public transact(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): Promise<StoreTransactionResult> {
    return this.call('store.transact', true, () => this.store.transact(compares, writes));
  }

  public grantLease(duration: number): Promise<string> {
    return this.call('store.grantLease', false, () => this.store.grantLease(duration));
  }

  public keepAlive(lease: string): Promise<void> {
    return this.call('store.keepAlive', false, () => this.store.keepAlive(lease));
  }

  public revokeLease(lease: string): Promise<void> {
    return this.call('store.revokeLease', false, () => this.store.revokeLease(lease));
  }

  public watch(prefix: string): StoreWatch {
    return this.store.watch(prefix);
  }

  public dispose(): void {}

  private call<Value>(step: string, canBeDelayed: boolean, apply: () => Value): Promise<Value> {
    return new Promise((resolve, reject) => {
      this.clock.after(clientTimeoutMs, () => {
        reject(new StoreError('the store did not answer', 'unknown', { step }));
      });
      const isDelayed = canBeDelayed && this.random() < this.faults.delayedWriteShare;
      const extraDelay = isDelayed ? clientTimeoutMs + this.random() * maxWriteDelayMs : 0;
      // The network and the store keep running while the process is paused, so they use the store's clock.
      this.store.clock.after(this.delay() + extraDelay, () => this.serve(apply, resolve, reject));
    });
  }

  private serve<Value>(
    apply: () => Value,
    resolve: (value: Value) => void,
    reject: (error: unknown) => void,
  ): void {
    if (this.store.isDown || this.faults.areRequestsLost) return;
    const answer = FakeStoreClient.applyAndCapture(apply, resolve, reject);
    const isLost = this.faults.areAnswersLost || this.random() < this.faults.lostAnswerShare;
    if (!isLost) this.store.clock.after(this.delay(), () => this.clock.after(0, answer));
  }

  private static applyAndCapture<Value>(
    apply: () => Value,
    resolve: (value: Value) => void,
    reject: (error: unknown) => void,
  ): () => void {
    try {
      const value = apply();
      return () => resolve(value);
    } catch (error) {
      return () => reject(error);
    }
  }

  private delay(): number {
    return oneWayLatencyMs * this.faults.slowness * (0.5 + this.random());
  }
}
