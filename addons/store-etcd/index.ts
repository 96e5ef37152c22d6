/** Adapter to stores that speak the etcd v3 protocol; registers itself under the name `etcd`. */
import { storeAdapters } from '../../src/api/index.js';
import type { Store } from '../../src/api/index.js';
import { EtcdStore } from './EtcdStore.js';

/** Creates a store from the `host:port` of its members; `clientName` appears in the store's counters. */
export function createStore(endpoints: readonly string[], clientName: string): Store {
  return new EtcdStore(endpoints, clientName);
}

storeAdapters.register('etcd', { createStore });
