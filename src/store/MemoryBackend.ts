import { VirtualClock } from '../common/base/index.js';
import type { Clock } from '../common/base/index.js';
import { CallCounters } from './CallCounters.js';
import { FaultInjector } from './FaultInjector.js';
import { StoreCore } from './StoreCore.js';

/** In-process store shared by several `MemoryStore` clients. */
export class MemoryBackend {
  public readonly core: StoreCore;

  public readonly faults = new FaultInjector();

  public readonly counters = new CallCounters();

  /** @param clock Clock for lease expiry and for the `slow` fault. */
  public constructor(public readonly clock: Clock = new VirtualClock()) {
    this.core = new StoreCore(clock);
  }
}
