export * from './ConfigurationCodec.js';
export * from './ConfigurationKeys.js';
export * from './ConfigurationState.js';
export * from './ConfigurationTask.js';
export * from './ConfigurationValidation.js';
export * from './EffectiveLimits.js';
export * from './createMembershipView.js';
export * from './StoreConfigurationEditor.js';
export type * from './Types.js';
