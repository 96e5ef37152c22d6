import type { LogLine, LogSink, RandomSource } from '../api/index.js';

const defaultMemory = 20_000;

/** A log line with the time at which it was written. */
export interface RecentDecision extends LogLine {
  /** ISO 8601 time. */
  readonly time: string;
}

/** Passes lines to the sink, samples those of kind `route`, and keeps the last ones in memory for `why`. */
export class DecisionLog implements LogSink {
  private readonly recent: RecentDecision[] = [];

  private next = 0;

  public constructor(
    private readonly sink: LogSink,
    /** Share of `route` lines that is written, in [0, 1]; other kinds are never dropped. */
    private readonly routeSample: number,
    private readonly random: RandomSource,
    private readonly now: () => Date,
    private readonly memory = defaultMemory,
  ) {}

  public write(line: LogLine): void {
    this.recent[this.next] = { ...line, time: this.now().toISOString() };
    this.next = (this.next + 1) % this.memory;
    const isSampledOut =
      line.kind === 'route' && line.level !== 'error' && this.random() >= this.routeSample;
    if (!isSampledOut) this.sink.write(line);
  }

  /** Decisions of which a field has this value, oldest first. */
  public find(id: string): RecentDecision[] {
    const ordered = [...this.recent.slice(this.next), ...this.recent.slice(0, this.next)];
    return ordered.filter(({ fields }) => Object.values(fields).includes(id));
  }
}
