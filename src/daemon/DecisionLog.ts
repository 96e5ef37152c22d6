import type { LogLine, LogSink, RandomSource } from '../api/index.js';

/** Lines kept in memory. */
const defaultCapacity = 20_000;

/** A log line with the time at which it was written. */
export interface RecentDecision extends LogLine {
  /** ISO 8601 time. */
  readonly time: string;
}

/** Writes lines to a sink, samples those of kind `route`, and keeps the last ones in memory for the `/why` endpoint. */
export class DecisionLog implements LogSink {
  private readonly entries: RecentDecision[] = [];

  private next = 0;

  public constructor(
    private readonly sink: LogSink,
    /** Fraction of `route` lines that are written, in [0, 1]; other kinds are always written. */
    private readonly routeSample: number,
    private readonly random: RandomSource,
    private readonly now: () => Date,
    private readonly capacity = defaultCapacity,
  ) {}

  public write(line: LogLine): void {
    this.entries[this.next] = { ...line, time: this.now().toISOString() };
    this.next = (this.next + 1) % this.capacity;
    const isSampledOut =
      line.kind === 'route' && line.level !== 'error' && this.random() >= this.routeSample;
    if (!isSampledOut) this.sink.write(line);
  }

  /** Lines that have this value in some field, oldest first. */
  public find(id: string): RecentDecision[] {
    const ordered = [...this.entries.slice(this.next), ...this.entries.slice(0, this.next)];
    return ordered.filter(({ fields }) => Object.values(fields).includes(id));
  }
}
