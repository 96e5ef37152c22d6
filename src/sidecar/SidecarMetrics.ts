import { build, type Histogram } from 'hdr-histogram-js';
import type { CompletedRequest } from './CallerServer.js';

const maxRecordedDuration = 60_000;
const percentiles = [50, 90, 99, 99.9] as const;
const firstErrorStatus = 400;

/** Reads the current values of the gauges by name. */
export type Gauges = () => Readonly<Record<string, number>>;

/** Counters and latency histograms in the Prometheus text format. */
export class SidecarMetrics {
  private readonly counts = new Map<string, number>();

  private readonly histograms = new Map<string, Histogram>();

  public constructor(private readonly gauges: Gauges) {}

  /** Counts a completed request; the duration of failed ones is not recorded. */
  public record({ service, status, duration }: CompletedRequest): void {
    const labels = `service="${service}",status="${status}"`;
    this.counts.set(labels, (this.counts.get(labels) ?? 0) + 1);
    if (status >= firstErrorStatus) return;
    let histogram = this.histograms.get(service);
    if (histogram === undefined) {
      histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: maxRecordedDuration,
        numberOfSignificantValueDigits: 2,
      });
      this.histograms.set(service, histogram);
    }
    histogram.recordValue(Math.min(maxRecordedDuration, Math.max(1, Math.round(duration))));
  }

  /** All metrics in the text format. */
  public text(): string {
    const lines = [...this.counts].map(
      ([labels, count]) => `limpettrack_requests_total{${labels}} ${count}`,
    );
    this.histograms.forEach((histogram, service) => {
      percentiles.forEach((percentile) => {
        const labels = `service="${service}",quantile="${percentile / 100}"`;
        const value = histogram.getValueAtPercentile(percentile);
        lines.push(`limpettrack_request_duration_milliseconds{${labels}} ${value}`);
      });
      const labels = `service="${service}"`;
      lines.push(
        `limpettrack_request_duration_milliseconds_count{${labels}} ${histogram.totalCount}`,
      );
    });
    Object.entries(this.gauges()).forEach(([name, value]) => {
      lines.push(`limpettrack_${name} ${value}`);
    });
    return `${lines.join('\n')}\n`;
  }
}
