/** Types of the extension points. */
import type { Store } from '../services/Types.js';

/** Creates clients of one kind of store. */
export interface StoreAdapter {
  /**
   * Creates a store client that connects on first use.
   *
   * @param endpoints `host:port` of each member of the store.
   * @param clientName Name under which the store counts the calls of this client.
   */
  createStore(endpoints: readonly string[], clientName: string): Store;
}
