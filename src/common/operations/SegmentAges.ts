/** Milliseconds of writing that one span covers. Segments are deleted late by at most this much. */
const spanLength = 60 * 60 * 1000;

interface Span {
  readonly oldestAt: number;
  newestAt: number;
  last: number;
}

/** Write times of the segments of a range, summarized in spans of time to save memory. */
export class SegmentAges {
  private spans: Span[] = [];

  private firstSequence = 1;

  /** Lowest sequence that has not been dropped. */
  public get first(): number {
    return this.firstSequence;
  }

  /** Adds the next segment. */
  public add(sequence: number, writtenAt: number): void {
    const span = this.spans[this.spans.length - 1];
    if (span === undefined) this.firstSequence = sequence;
    if (span !== undefined && writtenAt - span.oldestAt < spanLength) {
      span.last = sequence;
      span.newestAt = Math.max(span.newestAt, writtenAt);
    } else this.spans.push({ oldestAt: writtenAt, newestAt: writtenAt, last: sequence });
  }

  /** Last sequence of the spans that were completely written before `time`; 0 if there are none. */
  public lastSequenceBefore(time: number): number {
    const kept = this.spans.findIndex(({ newestAt }) => newestAt >= time);
    const count = kept < 0 ? this.spans.length : kept;
    return this.spans[count - 1]?.last ?? 0;
  }

  /** Drops the segments up to and including `sequence`. */
  public dropThrough(sequence: number): void {
    this.firstSequence = Math.max(this.firstSequence, sequence + 1);
    this.spans = this.spans.filter(({ last }) => last > sequence);
  }
}
