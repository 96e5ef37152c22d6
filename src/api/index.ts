/** Public API: the interfaces that plug-ins are typed against. */
export * from '../common/base/index.js';
export { Registry } from '../common/kernel/Registry.js';
export * from '../common/kernel/logSinks.js';
export { storeAdapters } from '../common/kernel/storeAdapters.js';
export type * from '../common/kernel/Types.js';
export type * from '../common/services/Types.js';
export type * from '../common/configuration/Types.js';
