import { build, type Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';
import { NotRunError, type WorkClass } from '../api/index.js';
import type { FinishedRequest } from './CallerServer.js';

const microsecondsPerMillisecond = 1_000;
const maxTrackableMicroseconds = 3_600_000_000;
const quantiles = [0.5, 0.9, 0.99, 0.999];

/** Latencies of one class in milliseconds. */
export interface LatencySummary {
  readonly workClass: WorkClass;
  readonly service: string;
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: maxTrackableMicroseconds,
    numberOfSignificantValueDigits: 3,
  });
}

/** Counts requests and keeps their latencies. */
export class RequestMetrics {
  public readonly registry = new Registry();

  private readonly histograms = new Map<string, Histogram>();

  private readonly requests = new Counter({
    name: 'limpettrack_requests_total',
    help: 'Finished requests by service, class and result',
    labelNames: ['service', 'class', 'result'],
    registers: [this.registry],
  });

  private readonly durations = new Gauge({
    name: 'limpettrack_request_duration_milliseconds',
    help: 'Quantiles of the request duration by service and class',
    labelNames: ['service', 'class', 'quantile'],
    registers: [this.registry],
  });

  private readonly storeCalls = new Gauge({
    name: 'limpettrack_store_calls',
    help: 'Calls to the store since the start by kind',
    labelNames: ['kind'],
    registers: [this.registry],
  });

  /** `countStoreCalls` returns the number of store calls since the start by kind. */
  public constructor(private readonly countStoreCalls: () => Readonly<Record<string, number>>) {}

  /** All metrics in the Prometheus text format. */
  public async text(): Promise<string> {
    this.histograms.forEach((histogram, key) => {
      const [service = '', workClass = ''] = key.split(' ');
      quantiles.forEach((quantile) => {
        const value = histogram.getValueAtPercentile(quantile * 100) / microsecondsPerMillisecond;
        this.durations.set({ service, class: workClass, quantile: String(quantile) }, value);
      });
    });
    Object.entries(this.countStoreCalls()).forEach(([kind, value]) => {
      this.storeCalls.set({ kind }, value);
    });
    return this.registry.metrics();
  }

  /** Records a finished request. */
  public record({ context, status, duration, error }: FinishedRequest): void {
    const { service, workClass } = context;
    const result = error instanceof NotRunError ? error.reason : String(status);
    this.requests.inc({ service, class: workClass, result });
    if (error !== undefined) return;
    const key = `${service} ${workClass}`;
    let histogram = this.histograms.get(key);
    if (histogram === undefined) {
      histogram = createHistogram();
      this.histograms.set(key, histogram);
    }
    histogram.recordValue(
      Math.min(duration * microsecondsPerMillisecond, maxTrackableMicroseconds),
    );
  }

  /** Requests by service, class and result. */
  public async requestCounts(): Promise<readonly { labels: object; value: number }[]> {
    return (await this.requests.get()).values;
  }

  /** Latencies by service and class. */
  public latencies(): readonly LatencySummary[] {
    return [...this.histograms].map(([key, histogram]) => {
      const [service = '', workClass = ''] = key.split(' ');
      return {
        service,
        workClass: workClass as WorkClass,
        count: histogram.totalCount,
        p50: histogram.getValueAtPercentile(50) / microsecondsPerMillisecond,
        p99: histogram.getValueAtPercentile(99) / microsecondsPerMillisecond,
      };
    });
  }
}
