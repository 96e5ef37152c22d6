import type { Clock, Disposable, LogSink, RandomSource } from '../base/index.js';
import { LeaseExpiredError } from './errors.js';
import type { PolledStore } from './Types.js';

const millisecondsPerSecond = 1_000;
/** Renewals in the time of one lease: two may fail before it lapses. */
const renewalsPerLease = 3;
/** Milliseconds between two tries while the store does not answer. */
const retryPause = 700;

/** What a registration depends on. */
export interface RegistrationSettings {
  readonly store: PolledStore;
  readonly key: string;
  /** Seconds of the lease. */
  readonly leaseSeconds: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
}

/** Keeps one leased key of this process in the store and writes it again whenever it was lost. */
export class Registration implements Disposable {
  private wanted: string | undefined;

  private written: string | undefined;

  private lease: string | undefined;

  private modRevision = 0;

  private timer: Disposable | undefined;

  private isBusy = false;

  private isDisposed = false;

  private failures = 0;

  public constructor(private readonly settings: RegistrationSettings) {}

  /** Whether the value that was published last stands in the store, as far as is known. */
  public get isWritten(): boolean {
    return this.wanted !== undefined && this.written === this.wanted;
  }

  /** Writes a new value as soon as the store takes it. */
  public publish(value: string): void {
    if (value === this.wanted) return;
    this.wanted = value;
    this.kick();
  }

  /** Tells that the key is not in the store any more: the lease was taken away without notice. */
  public markLost(): void {
    if (this.written === undefined) return;
    this.written = undefined;
    this.lease = undefined;
    this.modRevision = 0;
    this.write('warn', 'the key of this daemon is gone from the store; writing it again');
    this.kick();
  }

  /** Ends the lease, which removes the key. */
  public async withdraw(): Promise<void> {
    const { lease } = this;
    this.dispose();
    if (lease === undefined) return;
    try {
      await this.settings.store.revokeLease(lease);
    } catch (error) {
      this.write('info', 'the lease could not be ended and lapses by itself', error);
    }
  }

  public dispose(): void {
    this.isDisposed = true;
    this.timer?.dispose();
  }

  private kick(): void {
    this.timer?.dispose();
    void this.step();
  }

  private async step(): Promise<void> {
    if (this.isBusy || this.isDisposed || this.wanted === undefined) return;
    this.isBusy = true;
    const period = (this.settings.leaseSeconds * millisecondsPerSecond) / renewalsPerLease;
    let pause = period;
    try {
      await this.synchronize(this.wanted);
      if (this.failures > 0) this.write('info', 'the registration in the store is renewed again');
      this.failures = 0;
      // A value that was published meanwhile goes out at once.
      if (!this.isWritten) pause = 0;
    } catch (error) {
      pause = this.noteFailure(error);
    } finally {
      this.isBusy = false;
    }
    if (this.isDisposed) return;
    this.timer = this.settings.clock.after(pause * (0.8 + 0.4 * this.settings.random()), () => {
      void this.step();
    });
  }

  private noteFailure(error: unknown): number {
    if (error instanceof LeaseExpiredError) {
      this.lease = undefined;
      this.written = undefined;
      this.write('warn', 'the lease of this daemon has lapsed', error);
      return 0;
    }
    this.failures += 1;
    if (this.failures === 1) this.write('warn', 'the registration cannot be renewed', error);
    return retryPause;
  }

  private async synchronize(value: string): Promise<void> {
    const { store, leaseSeconds: leaseTime } = this.settings;
    if (this.lease === undefined) {
      this.written = undefined;
      this.lease = await store.grantLease(leaseTime);
    } else if (this.written === value) {
      await store.keepAlive(this.lease);
      return;
    }
    await this.put(value, this.lease);
  }

  /** A conditional write, so that a late execution of an older one cannot replace a newer value. */
  private async put(value: string, lease: string): Promise<void> {
    const { store, key } = this.settings;
    const content = new TextEncoder().encode(value);
    const result = await store.transact(
      [{ key, modRevision: this.modRevision }],
      [{ type: 'put', key, value: content, lease }],
    );
    if (result.applied) {
      this.modRevision = result.revision;
      if (this.lease === lease) this.written = value;
    } else {
      this.modRevision = result.present.find((entry) => entry.key === key)?.modRevision ?? 0;
    }
  }

  private write(level: 'info' | 'warn', message: string, error?: unknown): void {
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
