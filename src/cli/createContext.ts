import { Cli } from 'clipanion';
import { storeAdapters } from '../api/index.js';
import { StoreConfigurationEditor } from '../common/configuration/StoreConfigurationEditor.js';
import { sha256 } from '../node/sha256.js';
import { SystemClock } from '../node/SystemClock.js';
import '../daemon/plugins.js';
import type { OperatorContext } from './Types.js';

/** Creates the commands' context with the system clock and the real store adapters. */
export function createContext(readFile: OperatorContext['readFile']): OperatorContext {
  const clock = new SystemClock();
  return {
    ...Cli.defaultContext,
    clock,
    readFile,
    openStore: ({ adapter, store, author }) =>
      storeAdapters.get(adapter).createStore(store, `operator ${author}`),
    createEditor: (store) => new StoreConfigurationEditor(store, sha256, () => clock.now()),
  };
}
