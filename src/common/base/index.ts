export * from './DisposableStore.js';
export * from './Emitter.js';
export * from './Errors.js';
export * from './Hash.js';
export * from './Ids.js';
export * from './Random.js';
export * from './Types.js';
export * from './VirtualClock.js';
