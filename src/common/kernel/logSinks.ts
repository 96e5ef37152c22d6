import type { LogLevel, LogSink } from '../base/index.js';
import { Registry } from './Registry.js';

/** Creates a log sink that discards lines below a level. */
export type LogSinkFactory = (level: LogLevel) => LogSink;

/** Log sinks by name. */
export const logSinks = new Registry<LogSinkFactory>('log sink');
