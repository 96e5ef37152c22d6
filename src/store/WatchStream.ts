import { status } from '@grpc/grpc-js';
import type { ServerDuplexStream } from '@grpc/grpc-js';
import type { Disposable } from '../common/base/index.js';
import type { CallCounters } from './CallCounters.js';
import { createCallError } from './CallHandler.js';
import type { CallHandler } from './CallHandler.js';
import type { FaultInjector } from './FaultInjector.js';
import { decodeRange, encodeEvent } from './messages.js';
import type { WatchMessage } from './messages.js';
import type { StoreCore } from './StoreCore.js';
import type { KeyVersion, Peer } from './Types.js';
import { Watcher } from './Watcher.js';

/** gRPC call of the `Watch` method. */
export type WatchCall = ServerDuplexStream<WatchMessage, object>;

/** Watches that share one gRPC stream of a client. */
export class WatchStream implements Disposable {
  private readonly watchers = new Map<number, Watcher>();

  private lastId = -1;

  public constructor(
    private readonly call: WatchCall,
    private readonly peer: Peer,
    private readonly core: StoreCore,
    private readonly handler: CallHandler,
    private readonly counters: CallCounters,
    private readonly faults: FaultInjector,
  ) {}

  public receive(message: WatchMessage): void {
    if (message.create_request) this.create(message.create_request);
    else if (message.cancel_request) this.cancel(Number(message.cancel_request.watch_id), {});
  }

  /** Applies changed faults: ends the stream of a refused client, otherwise delivers the changes held back. */
  public applyFaults(): void {
    if (this.faults.isRefused(this.peer)) {
      this.call.emit('error', createCallError(status.UNAVAILABLE, 'the store refuses this client'));
      this.dispose();
      return;
    }
    this.watchers.forEach((watcher) => watcher.deliverPending());
  }

  public dispose(): void {
    this.watchers.forEach((watcher) => {
      watcher.dispose();
      this.counters.addWaiting(this.peer, -1);
    });
    this.watchers.clear();
  }

  private create(request: NonNullable<WatchMessage['create_request']>): void {
    const disposition = this.faults.decide(this.peer, 'watch');
    if (disposition === 'refuse') {
      this.call.emit('error', createCallError(status.UNAVAILABLE, 'the store refuses this client'));
      return;
    }
    if (disposition === 'lose-request') return;
    this.counters.count(this.peer, 'watch');
    const id = this.nextId();
    const watcher = new Watcher(this.core, decodeRange(request), Number(request.start_revision), {
      canDeliver: () => this.faults.canDeliver(this.peer),
      deliver: (changes, revision) => this.deliver(id, changes, revision),
      compacted: (revision) => this.cancel(id, { compact_revision: revision }),
    });
    this.watchers.set(id, watcher);
    this.counters.addWaiting(this.peer, 1);
    if (disposition === 'answer') this.send({ watch_id: id, created: true });
    watcher.deliverPending();
  }

  private nextId(): number {
    this.lastId += 1;
    return this.lastId;
  }

  private cancel(id: number, reason: object): void {
    const watcher = this.watchers.get(id);
    if (watcher === undefined) return;
    watcher.dispose();
    this.watchers.delete(id);
    this.counters.addWaiting(this.peer, -1);
    this.send({ watch_id: id, canceled: true, ...reason });
  }

  private deliver(id: number, changes: readonly KeyVersion[], revision: number): void {
    this.send({ header: { revision }, watch_id: id, events: changes.map(encodeEvent) });
  }

  private send(message: object): void {
    const complete = { header: { revision: this.core.revision }, ...message };
    this.handler.runDelayed(() => this.call.write(complete));
  }
}
