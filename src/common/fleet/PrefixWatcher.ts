import {
  Emitter,
  type Clock,
  type Disposable,
  type LogSink,
  type RandomSource,
} from '../base/index.js';
import type { StoreChange } from '../services/Types.js';
import { RevisionCompactedError } from './errors.js';
import { comparePositions, positionOf, type StorePosition } from './StorePosition.js';
import type { PolledStore, StoreSnapshot } from './Types.js';

/** Delay in milliseconds after the first failed call; it doubles with each further failure. */
const minBackoff = 150;
/** Maximum delay in milliseconds, so that a recovery of the store is detected well within two seconds. */
const maxBackoff = 1_000;

/** Number of polls with changes after a snapshot that use `earlyBatchDelay`; a fleet that starts up settles within them. */
const earlyChanges = 6;

/** Settings and dependencies of a watcher. */
export interface PrefixWatcherSettings {
  readonly store: Pick<PolledStore, 'snapshot' | 'changes'>;
  readonly prefix: string;
  /** Milliseconds that the store holds a poll without changes. */
  readonly pollTimeout: number;
  /** Milliseconds before the next poll after a change, so that a series of changes needs one call. */
  readonly batchDelay: number;
  /** As `batchDelay`, for the first changes after a snapshot, since other daemons may be starting too. */
  readonly earlyBatchDelay: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
}

/** Watches all entries under a prefix: one snapshot, then long polls; a new snapshot after a compaction. */
export class PrefixWatcher implements Disposable {
  private readonly snapshotEmitter = new Emitter<StoreSnapshot>();

  private readonly changeEmitter = new Emitter<readonly StoreChange[]>();

  /** Fires with all entries, at the start and after a compaction. */
  public readonly onSnapshot = this.snapshotEmitter.event;

  /** Fires with the changes since the last event, oldest first. */
  public readonly onChanges = this.changeEmitter.event;

  private position: StorePosition | undefined;

  private failures = 0;

  private changesSinceSnapshot = 0;

  private isDisposed = false;

  private poll: AbortController | undefined;

  private pendingSleep: { readonly timer: Disposable; readonly resolve: () => void } | undefined;

  public constructor(private readonly settings: PrefixWatcherSettings) {}

  /** Whether the last call to the store succeeded. */
  public get isConnected(): boolean {
    return this.position !== undefined && this.failures === 0;
  }

  /** Starts watching; returns at once. */
  public start(): void {
    void this.run();
  }

  /** Polls again at once, on a new connection if the current poll hangs. */
  public refresh(): void {
    this.poll?.abort();
    this.wake();
  }

  public dispose(): void {
    this.isDisposed = true;
    this.refresh();
    this.snapshotEmitter.dispose();
    this.changeEmitter.dispose();
  }

  private async run(): Promise<void> {
    while (!this.isDisposed) {
      try {
        const hasChanged = await this.pollOnce();
        this.handleSuccess();
        if (hasChanged) await this.waitForBatch();
      } catch (error) {
        await this.handleFailure(error);
      }
    }
  }

  private async pollOnce(): Promise<boolean> {
    const { store, prefix, pollTimeout } = this.settings;
    if (this.position === undefined) {
      const snapshot = await store.snapshot(prefix);
      this.position = positionOf(snapshot);
      this.changesSinceSnapshot = 0;
      if (!this.isDisposed) this.snapshotEmitter.fire(snapshot);
      return true;
    }
    this.poll = new AbortController();
    const found = await store.changes(prefix, this.position, pollTimeout, this.poll.signal);
    const { changes } = found;
    if (comparePositions(found, this.position) > 0) this.position = positionOf(found);
    if (changes.length > 0 && !this.isDisposed) this.changeEmitter.fire(changes);
    return changes.length > 0;
  }

  private async waitForBatch(): Promise<void> {
    const isEarly = this.changesSinceSnapshot < earlyChanges;
    this.changesSinceSnapshot += 1;
    const delay = isEarly ? this.settings.earlyBatchDelay : this.settings.batchDelay;
    if (delay > 0) await this.sleep(delay);
  }

  private async handleFailure(error: unknown): Promise<void> {
    if (this.isDisposed) return;
    if (error instanceof RevisionCompactedError) {
      this.position = undefined;
      this.logEvent(
        'info',
        'the store has compacted the requested revision; reading all entries again',
        error,
      );
      return;
    }
    // The poll was aborted by `refresh`, so this is no failure of the store.
    if (this.poll?.signal.aborted === true) {
      this.poll = undefined;
      return;
    }
    this.failures += 1;
    if (this.failures === 1) this.logEvent('warn', 'store is unavailable', error);
    const backoff = Math.min(maxBackoff, minBackoff * 2 ** (this.failures - 1));
    await this.sleep(backoff * (0.5 + this.settings.random()));
  }

  private handleSuccess(): void {
    if (this.failures > 0) this.logEvent('info', 'store is available again');
    this.failures = 0;
  }

  private sleep(delay: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.settings.clock.after(delay, () => this.wake());
      this.pendingSleep = { timer, resolve };
    });
  }

  private wake(): void {
    const { pendingSleep } = this;
    this.pendingSleep = undefined;
    pendingSleep?.timer.dispose();
    pendingSleep?.resolve();
  }

  private logEvent(level: 'info' | 'warn', message: string, error?: unknown): void {
    const { log, prefix } = this.settings;
    log.write({
      level,
      kind: 'membership',
      message,
      fields: {
        step: 'store.follow',
        prefix,
        epoch: this.position?.epoch,
        revision: this.position?.revision,
        failures: this.failures,
        error: error === undefined ? undefined : String(error),
      },
    });
  }
}
