/** Interfaces used by every module. */

/** A resource that can be released; a second call does nothing. */
export interface Disposable {
  dispose(): void;
}

/** Subscribes a listener; disposing the result ends the subscription. */
export type Event<Payload> = (listener: (payload: Payload) => void) => Disposable;

/** Source of time; virtual in tests. */
export interface Clock {
  /** Wall-clock time. It can jump, so it must not be used to order events. */
  now(): Date;
  /** Monotonic time in milliseconds since an arbitrary start. */
  elapsed(): number;
  /** Calls `callback` once after `delay` milliseconds unless disposed before. */
  after(delay: number, callback: () => void): Disposable;
}

/** Uniform random number in [0, 1). */
export type RandomSource = () => number;

/** Severity of a log line. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Kind of a log line; `route` lines can be sampled, the others never are. */
export type LogKind =
  | 'route'
  | 'refusal'
  | 'ejection'
  | 'placement'
  | 'membership'
  | 'configuration'
  | 'operation'
  | 'lifecycle';

/** One structured log line. */
export interface LogLine {
  readonly level: LogLevel;
  readonly kind: LogKind;
  readonly message: string;
  readonly fields: Readonly<Record<string, string | number | boolean | undefined>>;
}

/** Receives log lines. */
export interface LogSink {
  write(line: LogLine): void;
}
