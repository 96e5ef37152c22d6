import {
  Emitter,
  type Clock,
  type Disposable,
  type LogSink,
  type RandomSource,
} from '../base/index.js';
import type { StoreChange } from '../services/Types.js';
import { RevisionCompactedError } from './errors.js';
import type { PolledStore, StoreSnapshot } from './Types.js';

/** Milliseconds of the first pause after a failed call; the next ones are twice as long. */
const firstPause = 150;
/** Longest pause in milliseconds: a returned store is noticed well within two seconds. */
const longestPause = 1_000;

/** Changes after a snapshot that are read with the early rest; a fleet that starts together settles within them. */
const earlyChanges = 6;

/** What a follower depends on. */
export interface PrefixWatcherSettings {
  readonly store: PolledStore;
  readonly prefix: string;
  /** Milliseconds for which one poll waits in the store. */
  readonly pollTimeout: number;
  /** Milliseconds of rest after a change, so that a series of changes costs one call. */
  readonly batchDelay: number;
  /** The same for the first changes after a snapshot: others may be starting as well. */
  readonly earlyBatchDelay: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
}

/** Follows all entries below a prefix: one snapshot, then polls; a new snapshot when the history is lost. */
export class PrefixWatcher implements Disposable {
  private readonly snapshotEmitter = new Emitter<StoreSnapshot>();

  private readonly changeEmitter = new Emitter<readonly StoreChange[]>();

  /** Fires with all entries, at the start and after lost history. */
  public readonly onSnapshot = this.snapshotEmitter.event;

  /** Fires with the changes since the last event, oldest first. */
  public readonly onChanges = this.changeEmitter.event;

  private revision: number | undefined;

  private failures = 0;

  private changesSinceSnapshot = 0;

  private isDisposed = false;

  private poll: AbortController | undefined;

  private pause: { readonly timer: Disposable; readonly resolve: () => void } | undefined;

  public constructor(private readonly settings: PrefixWatcherSettings) {}

  /** Whether the last call to the store was answered. */
  public get isConnected(): boolean {
    return this.revision !== undefined && this.failures === 0;
  }

  /** Starts following; returns at once. */
  public start(): void {
    void this.run();
  }

  /** Asks the store again at once, on a new connection if the present poll hangs. */
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
        const hasChanged = await this.step();
        this.noteSuccess();
        if (hasChanged) await this.rest();
      } catch (error) {
        await this.recover(error);
      }
    }
  }

  private async step(): Promise<boolean> {
    const { store, prefix, pollTimeout: wait } = this.settings;
    if (this.revision === undefined) {
      const snapshot = await store.snapshot(prefix);
      this.revision = snapshot.revision;
      this.changesSinceSnapshot = 0;
      if (!this.isDisposed) this.snapshotEmitter.fire(snapshot);
      return true;
    }
    this.poll = new AbortController();
    const { changes, revision } = await store.changes(
      prefix,
      this.revision,
      wait,
      this.poll.signal,
    );
    this.revision = Math.max(this.revision, revision);
    if (changes.length > 0 && !this.isDisposed) this.changeEmitter.fire(changes);
    return changes.length > 0;
  }

  private async rest(): Promise<void> {
    const isEarly = this.changesSinceSnapshot < earlyChanges;
    this.changesSinceSnapshot += 1;
    const rest = isEarly ? this.settings.earlyBatchDelay : this.settings.batchDelay;
    if (rest > 0) await this.sleep(rest);
  }

  private async recover(error: unknown): Promise<void> {
    if (this.isDisposed) return;
    if (error instanceof RevisionCompactedError) {
      this.revision = undefined;
      this.write('info', 'the history of the store is lost; reading all entries again', error);
      return;
    }
    // An aborted poll was cut by `refresh` and says nothing of the store.
    if (this.poll?.signal.aborted === true) {
      this.poll = undefined;
      return;
    }
    this.failures += 1;
    if (this.failures === 1) this.write('warn', 'lost the store', error);
    const pause = Math.min(longestPause, firstPause * 2 ** (this.failures - 1));
    await this.sleep(pause * (0.5 + this.settings.random()));
  }

  private noteSuccess(): void {
    if (this.failures > 0) this.write('info', 'regained the store');
    this.failures = 0;
  }

  private sleep(delay: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.settings.clock.after(delay, () => this.wake());
      this.pause = { timer, resolve };
    });
  }

  private wake(): void {
    const { pause } = this;
    this.pause = undefined;
    pause?.timer.dispose();
    pause?.resolve();
  }

  private write(level: 'info' | 'warn', message: string, error?: unknown): void {
    const { log, prefix } = this.settings;
    log.write({
      level,
      kind: 'membership',
      message,
      fields: {
        step: 'store.follow',
        prefix,
        revision: this.revision,
        failures: this.failures,
        error: error === undefined ? undefined : String(error),
      },
    });
  }
}
