import type { Disposable } from '../common/base/index.js';
import type { CallCounters } from './CallCounters.js';
import { identifyPeer } from './CallHandler.js';
import type { CallHandler } from './CallHandler.js';
import type { FaultInjector } from './FaultInjector.js';
import type { WatchMessage } from './messages.js';
import type { StoreCore } from './StoreCore.js';
import { WatchStream } from './WatchStream.js';
import type { WatchCall } from './WatchStream.js';

/** Serves the `Watch` calls of all clients. */
export class WatchService implements Disposable {
  private readonly streams = new Set<WatchStream>();

  private readonly subscription: Disposable;

  public constructor(
    private readonly core: StoreCore,
    private readonly handler: CallHandler,
    private readonly counters: CallCounters,
    private readonly faults: FaultInjector,
  ) {
    this.subscription = faults.onChange(() =>
      this.streams.forEach((stream) => stream.applyFaults()),
    );
  }

  /** Serves one stream until the client closes it. */
  public accept(call: WatchCall): void {
    const stream = new WatchStream(
      call,
      identifyPeer(call),
      this.core,
      this.handler,
      this.counters,
      this.faults,
    );
    this.streams.add(stream);
    const close = (): void => {
      stream.dispose();
      this.streams.delete(stream);
    };
    call.on('data', (message: WatchMessage) => stream.receive(message));
    call.on('end', () => {
      close();
      call.end();
    });
    call.on('cancelled', close);
    call.on('error', close);
  }

  public dispose(): void {
    this.subscription.dispose();
    this.streams.forEach((stream) => stream.dispose());
    this.streams.clear();
  }
}
