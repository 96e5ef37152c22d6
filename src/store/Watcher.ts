import type { Disposable } from '../common/base/index.js';
import type { StoreCore } from './StoreCore.js';
import type { KeyRange, KeyVersion } from './Types.js';

/** How a watcher reaches its client. */
export interface WatchSink {
  /** Whether a message can be delivered now; what is held back is delivered by a later `pump`. */
  canDeliver(): boolean;
  deliver(changes: readonly KeyVersion[], revision: number): void;
  /** The changes from the requested revision on are no longer there. */
  compacted(revision: number): void;
}

/** Follows the log of changes for one watch. It keeps a position and no queue, so a slow client costs no memory. */
export class Watcher implements Disposable {
  private readonly subscription: Disposable;

  /** @param next First revision to deliver; 0 means the next one. */
  public constructor(
    private readonly core: StoreCore,
    private readonly range: KeyRange,
    private next: number,
    private readonly sink: WatchSink,
  ) {
    if (next === 0) this.next = core.revision + 1;
    this.subscription = core.onChange(() => this.pump());
  }

  /** Delivers what has changed since the last delivery. */
  public pump(): void {
    if (!this.sink.canDeliver()) return;
    if (this.next < this.core.compactRevision) {
      this.sink.compacted(this.core.compactRevision);
      this.dispose();
      return;
    }
    const changes = this.core.changesFrom(this.next, this.range);
    this.next = this.core.revision + 1;
    if (changes.length > 0) this.sink.deliver(changes, this.core.revision);
  }

  public dispose(): void {
    this.subscription.dispose();
  }
}
