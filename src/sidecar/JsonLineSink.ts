import type { Clock, LogLevel, LogLine, LogSink } from '../api/index.js';

/** Maximum buffered lines; further ones are dropped and counted. */
const maxBufferedLines = 2_000;
/** Maximum lines of kind `route` per second, ten times the load of a busy daemon; further ones are dropped and counted. */
const maxRoutesPerSecond = 400;
const millisecondsPerSecond = 1_000;

const severity: Readonly<Record<LogLevel, number>> = { debug: 0, info: 1, warn: 2, error: 3 };

/** Writes a chunk and calls `done` when the next one may follow. */
export type ChunkWriter = (chunk: string, done: (error?: unknown) => void) => void;

/** Writes JSON lines without blocking; lines are dropped and counted if the output is too slow. */
export class JsonLineSink implements LogSink {
  private buffered: string[] = [];

  private dropped = 0;

  private isWriting = false;

  private second = 0;

  private routeLines = 0;

  private idleListeners: (() => void)[] = [];

  public constructor(
    private level: LogLevel,
    private readonly clock: Clock,
    private readonly writeChunk: ChunkWriter,
  ) {}

  /** Sets the minimum level of written lines. */
  public setLevel(level: LogLevel): void {
    this.level = level;
  }

  public write(line: LogLine): void {
    if (severity[line.level] < severity[this.level]) return;
    if (
      this.buffered.length >= maxBufferedLines ||
      (line.kind === 'route' && this.exceedsRouteLimit())
    ) {
      this.dropped += 1;
      return;
    }
    this.buffered.push(this.format(line));
    this.flush();
  }

  /** Resolves when all buffered lines are written. */
  public flushed(): Promise<void> {
    if (!this.isWriting) return Promise.resolve();
    return new Promise((resolve) => {
      this.idleListeners.push(resolve);
    });
  }

  private exceedsRouteLimit(): boolean {
    const second = Math.floor(this.clock.elapsed() / millisecondsPerSecond);
    if (second !== this.second) {
      this.second = second;
      this.routeLines = 0;
    }
    this.routeLines += 1;
    return this.routeLines > maxRoutesPerSecond;
  }

  private format({ level, kind, message, fields }: LogLine): string {
    const time = this.clock.now().toISOString();
    return `${JSON.stringify({ time, level, kind, message, ...fields })}\n`;
  }

  private flush(): void {
    if (this.isWriting || this.buffered.length === 0) return;
    if (this.dropped > 0) {
      const fields = { step: 'log', dropped: this.dropped };
      this.buffered.push(
        this.format({
          level: 'warn',
          kind: 'lifecycle',
          message: 'log lines were dropped',
          fields,
        }),
      );
      this.dropped = 0;
    }
    const chunk = this.buffered.join('');
    this.buffered = [];
    this.isWriting = true;
    this.writeChunk(chunk, () => {
      this.isWriting = false;
      this.flush();
      if (!this.isWriting) this.notifyIdle();
    });
  }

  private notifyIdle(): void {
    const listeners = this.idleListeners;
    this.idleListeners = [];
    listeners.forEach((listener) => listener());
  }
}
