/** Types of the extension points. */
import type { Store } from '../services/Types.js';

/** Connects a process to a store product. */
export interface StoreAdapter {
  /**
   * Opens a connection lazily; no call is made before the first use.
   *
   * @param endpoints `host:port` of each member of the store.
   * @param clientName Name under which the store counts the calls of this process.
   */
  createStore(endpoints: readonly string[], clientName: string): Store;
}
