import type { Clock, Disposable, LogSink, RandomSource, StoreEpoch } from '../base/index.js';
import { LeaseExpiredError } from './errors.js';
import type { StorePosition } from './StorePosition.js';
import type { PolledStore } from './Types.js';

const millisecondsPerSecond = 1_000;
/** Renewals per lease duration: two may fail before the lease expires. */
const renewalsPerLease = 3;
/** Milliseconds between retries while the store does not respond. */
const retryDelay = 700;

/** Settings and dependencies of a registration. */
export interface RegistrationSettings {
  readonly store: PolledStore;
  readonly key: string;
  /** Duration of the lease in seconds. */
  readonly leaseSeconds: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
}

/** Keeps one leased key of this process in the store and writes it again when it was removed. */
export class Registration implements Disposable {
  private desired: string | undefined;

  private written: string | undefined;

  private lease: string | undefined;

  private modRevision = 0;

  private timer: Disposable | undefined;

  private isBusy = false;

  private isDisposed = false;

  private failures = 0;

  private epoch: StoreEpoch | undefined;

  private readonly epochs: Disposable;

  public constructor(private readonly settings: RegistrationSettings) {
    this.epochs = settings.store.onEpoch((epoch) => this.observeEpoch(epoch));
  }

  /** Whether the last published value is in the store, as far as is known. */
  public get isWritten(): boolean {
    return this.desired !== undefined && this.written === this.desired;
  }

  /** Writes a new value as soon as the store is available. */
  public publish(value: string): void {
    if (value === this.desired) return;
    this.desired = value;
    this.schedule();
  }

  /**
   * Reports the epoch of the store. What was written in an earlier one may be gone, and the number of its lease may have
   * been given to another daemon, so that a renewal proves nothing.
   */
  public observeEpoch(epoch: StoreEpoch): void {
    if (this.epoch !== undefined && epoch <= this.epoch) return;
    const isFirst = this.epoch === undefined;
    this.epoch = epoch;
    if (isFirst || this.desired === undefined) return;
    this.forget();
    this.logEvent('warn', 'the store is in a new epoch; writing the key of this daemon again');
    this.schedule();
  }

  /**
   * Reports that the key was not in the store at a position, since the lease was revoked without notice. A state from
   * before the last write tells nothing.
   */
  public markLost({ epoch, revision }: StorePosition): void {
    this.observeEpoch(epoch);
    if (this.written === undefined || epoch !== this.epoch || revision < this.modRevision) return;
    this.forget();
    this.logEvent('warn', 'the key of this daemon was removed from the store; writing it again');
    this.schedule();
  }

  /** Removes the key. The lease is left to expire: its number may be another daemon's in an epoch that is not known yet. */
  public async withdraw(): Promise<void> {
    const { key, store } = this.settings;
    const { modRevision } = this;
    this.dispose();
    if (modRevision === 0) return;
    try {
      await store.transact([{ key, modRevision }], [{ type: 'delete', key }]);
    } catch (error) {
      this.logEvent('info', 'could not remove the key; it will expire with its lease', error);
    }
  }

  public dispose(): void {
    this.isDisposed = true;
    this.epochs.dispose();
    this.timer?.dispose();
  }

  private forget(): void {
    this.written = undefined;
    this.lease = undefined;
    this.modRevision = 0;
  }

  private schedule(): void {
    this.timer?.dispose();
    void this.renew();
  }

  private async renew(): Promise<void> {
    if (this.isBusy || this.isDisposed || this.desired === undefined) return;
    this.isBusy = true;
    const period = (this.settings.leaseSeconds * millisecondsPerSecond) / renewalsPerLease;
    let delay = period;
    try {
      await this.synchronize(this.desired);
      if (this.failures > 0)
        this.logEvent('info', 'the registration in the store is renewed again after failures');
      this.failures = 0;
      // A value that was published meanwhile is written at once.
      if (!this.isWritten) delay = 0;
    } catch (error) {
      delay = this.handleFailure(error);
    } finally {
      this.isBusy = false;
    }
    if (this.isDisposed) return;
    this.timer = this.settings.clock.after(delay * (0.8 + 0.4 * this.settings.random()), () => {
      void this.renew();
    });
  }

  private handleFailure(error: unknown): number {
    if (error instanceof LeaseExpiredError) {
      this.lease = undefined;
      this.written = undefined;
      this.logEvent('warn', 'the lease of this daemon has expired', error);
      return 0;
    }
    this.failures += 1;
    if (this.failures === 1)
      this.logEvent('warn', 'could not renew the registration; retrying', error);
    return retryDelay;
  }

  private async synchronize(value: string): Promise<void> {
    const { store, leaseSeconds } = this.settings;
    if (this.lease !== undefined && this.written === value) {
      await store.keepAlive(this.lease);
      return;
    }
    const lease = this.lease ?? (await this.grantLease(leaseSeconds));
    if (lease !== undefined) await this.put(value, lease);
  }

  /** Grants a lease; undefined if the epoch has changed meanwhile, so that it may be of the earlier one. */
  private async grantLease(duration: number): Promise<string | undefined> {
    this.written = undefined;
    const { epoch } = this;
    const lease = await this.settings.store.grantLease(duration);
    if (epoch !== undefined && epoch !== this.epoch) return undefined;
    this.lease = lease;
    return lease;
  }

  /** Writes the key conditionally, so that a delayed write of an older value cannot replace a newer one. */
  private async put(value: string, lease: string): Promise<void> {
    const { store, key } = this.settings;
    const { epoch } = this;
    const content = new TextEncoder().encode(value);
    const result = await store.transact(
      [{ key, modRevision: this.modRevision }],
      [{ type: 'put', key, value: content, lease }],
    );
    if (epoch !== this.epoch) return;
    if (result.applied) {
      this.modRevision = result.revision;
      if (this.lease === lease) this.written = value;
    } else {
      this.modRevision = result.present.find((entry) => entry.key === key)?.modRevision ?? 0;
    }
  }

  private logEvent(level: 'info' | 'warn', message: string, error?: unknown): void {
    const { log, key } = this.settings;
    log.write({
      level,
      kind: 'membership',
      message,
      fields: {
        step: 'store.register',
        key,
        lease: this.lease,
        error: error === undefined ? undefined : String(error),
      },
    });
  }
}
