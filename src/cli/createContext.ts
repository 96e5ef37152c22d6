import { createHash } from 'node:crypto';
import { Cli } from 'clipanion';
import { storeAdapters } from '../api/index.js';
import { StoreConfigurationEditor } from '../common/configuration/StoreConfigurationEditor.js';
import { SystemClock } from '../node/SystemClock.js';
import '../daemon/plugins.js';
import type { OperatorContext } from './Types.js';

function digest(content: Uint8Array): string {
  return createHash('sha256').update(content).digest('hex');
}

/** Wires the commands to the process. */
export function createContext(readFile: OperatorContext['readFile']): OperatorContext {
  const clock = new SystemClock();
  return {
    ...Cli.defaultContext,
    clock,
    readFile,
    openStore: ({ adapter, store, author }) =>
      storeAdapters.get(adapter).createStore(store, `operator ${author}`),
    createEditor: (store) => new StoreConfigurationEditor(store, digest, () => clock.now()),
  };
}
