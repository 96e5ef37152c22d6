/** Adapter for stores that implement the etcd v3 API; registers itself under the name `etcd`. */
import { storeAdapters } from '../../src/api/index.js';
import type { Store } from '../../src/api/index.js';
import { EtcdStore } from './EtcdStore.js';

/** Creates a client for the members at `endpoints` (`host:port`); `clientName` is sent with each call as metadata. */
export function createStore(endpoints: readonly string[], clientName: string): Store {
  return new EtcdStore(endpoints, clientName);
}

storeAdapters.register('etcd', { createStore });
