import type { LogLine, LogSink } from '../api/index.js';

/** Log sink that keeps the lines in memory, for tests. */
export class MemoryLog implements LogSink {
  public readonly lines: LogLine[] = [];

  public write(line: LogLine): void {
    this.lines.push(line);
  }

  /** Messages of all lines. */
  public get messages(): string[] {
    return this.lines.map(({ message }) => message);
  }
}
