import type { Disposable } from '../common/base/index.js';
import type { StoreCore } from './StoreCore.js';
import type { KeyRange, KeyVersion } from './Types.js';

/** Receives the output of a watcher. */
export interface WatchSink {
  /** Whether changes can be delivered now; those held back are delivered by a later `deliverPending`. */
  canDeliver(): boolean;
  deliver(changes: readonly KeyVersion[], revision: number): void;
  /** Called when the requested changes have been compacted; `revision` is the oldest available one. */
  compacted(revision: number): void;
}

/** Reads the change log for one watch. Keeps a position instead of a queue, so a slow client uses no memory. */
export class Watcher implements Disposable {
  private readonly subscription: Disposable;

  /** @param nextRevision First revision to deliver; 0 starts after the current one. */
  public constructor(
    private readonly core: StoreCore,
    private readonly range: KeyRange,
    private nextRevision: number,
    private readonly sink: WatchSink,
  ) {
    if (nextRevision === 0) this.nextRevision = core.revision + 1;
    this.subscription = core.onChange(() => this.deliverPending());
  }

  /** Delivers the changes since the last delivery. */
  public deliverPending(): void {
    if (!this.sink.canDeliver()) return;
    if (this.nextRevision < this.core.compactRevision) {
      this.sink.compacted(this.core.compactRevision);
      this.dispose();
      return;
    }
    const changes = this.core.changesFrom(this.nextRevision, this.range);
    this.nextRevision = this.core.revision + 1;
    if (changes.length > 0) this.sink.deliver(changes, this.core.revision);
  }

  public dispose(): void {
    this.subscription.dispose();
  }
}
