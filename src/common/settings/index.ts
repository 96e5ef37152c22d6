export * from './kinds.js';
export * from './readFields.js';
export * from './schema.js';
export * from './SettingsReader.js';
export type * from './Types.js';
