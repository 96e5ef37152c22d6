export * from './FailureDetector.js';
export * from './GossipTask.js';
export * from './MemberOrder.js';
export * from './MemberTable.js';
export * from './Prober.js';
export * from './TargetAnnouncements.js';
export * from './TargetDirectory.js';
export type * from './Types.js';
