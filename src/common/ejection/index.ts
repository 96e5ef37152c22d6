export * from './EjectionRecord.js';
export * from './EjectionTask.js';
export * from './FloorRule.js';
export * from './IndirectProber.js';
export * from './StateCatalogue.js';
export * from './TargetLifecycle.js';
export type * from './Types.js';
