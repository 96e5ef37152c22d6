import type { Clock, LogLevel, LogLine, LogSink } from '../api/index.js';

/** Lines that wait for the output; more are counted and dropped. */
const maxWaiting = 2_000;
/** Lines of kind `route` in a second; more are counted and dropped. Ten times the load of a busy daemon. */
const maxRoutesPerSecond = 400;
const millisecondsPerSecond = 1_000;

const order: Readonly<Record<LogLevel, number>> = { debug: 0, info: 1, warn: 2, error: 3 };

/** Writes a chunk and calls back when the next one may follow. */
export type ChunkWriter = (chunk: string, done: (error?: unknown) => void) => void;

/** Writes JSON lines without blocking: what the output does not take in time is dropped and counted. */
export class JsonLineSink implements LogSink {
  private waiting: string[] = [];

  private dropped = 0;

  private isWriting = false;

  private second = 0;

  private routes = 0;

  public constructor(
    private level: LogLevel,
    private readonly clock: Clock,
    private readonly writeChunk: ChunkWriter,
  ) {}

  /** Changes the least level that is written. */
  public setLevel(level: LogLevel): void {
    this.level = level;
  }

  public write(line: LogLine): void {
    if (order[line.level] < order[this.level]) return;
    if (this.waiting.length >= maxWaiting || (line.kind === 'route' && this.isRouteExcess())) {
      this.dropped += 1;
      return;
    }
    this.waiting.push(this.format(line));
    this.flush();
  }

  private isRouteExcess(): boolean {
    const second = Math.floor(this.clock.elapsed() / millisecondsPerSecond);
    if (second !== this.second) {
      this.second = second;
      this.routes = 0;
    }
    this.routes += 1;
    return this.routes > maxRoutesPerSecond;
  }

  private format({ level, kind, message, fields }: LogLine): string {
    const time = this.clock.now().toISOString();
    return `${JSON.stringify({ time, level, kind, message, ...fields })}\n`;
  }

  private flush(): void {
    if (this.isWriting || this.waiting.length === 0) return;
    if (this.dropped > 0) {
      const fields = { step: 'log', dropped: this.dropped };
      this.waiting.push(
        this.format({
          level: 'warn',
          kind: 'lifecycle',
          message: 'log lines were dropped',
          fields,
        }),
      );
      this.dropped = 0;
    }
    const chunk = this.waiting.join('');
    this.waiting = [];
    this.isWriting = true;
    this.writeChunk(chunk, () => {
      this.isWriting = false;
      this.flush();
    });
  }
}
