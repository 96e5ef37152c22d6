export * from './HealthTracker.js';
export * from './PathTracker.js';
export * from './PeerSummary.js';
export * from './SequentialTest.js';
export type * from './Types.js';
