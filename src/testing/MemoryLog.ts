import type { LogLine, LogSink } from '../api/index.js';

/** Keeps log lines for tests. */
export class MemoryLog implements LogSink {
  public readonly lines: LogLine[] = [];

  public write(line: LogLine): void {
    this.lines.push(line);
  }

  /** Messages so far. */
  public get messages(): string[] {
    return this.lines.map(({ message }) => message);
  }
}
