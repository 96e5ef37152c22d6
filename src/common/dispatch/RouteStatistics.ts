import { LatencyDistribution } from '../health/LatencyDistribution.js';
import type { TrafficRoute } from '../routing/TrafficTypes.js';

/** Kilobytes that an answer is assumed to have before the first one of its route. */
const assumedKilobytes = 4;
/** Weight of the newest answer in the mean size. */
const sizeWeight = 0.1;
/** Bytes of headers that travel with each request and answer between daemons. */
const headerBytes = 1_000;
const bytesPerKilobyte = 1_000;

/** What was learned of one route. */
export interface RouteEstimate {
  readonly latencies: LatencyDistribution;
  /** Mean kilobytes of a request with its answer. */
  kilobytes: number;
}

/** Latencies and sizes of routes; those of routes that are gone are dropped. */
export class RouteStatistics {
  private readonly records = new Map<string, RouteEstimate>();

  /** Returns what is known of a route. */
  public get({ name, goal }: Pick<TrafficRoute, 'name' | 'goal'>): RouteEstimate {
    let record = this.records.get(name);
    if (record === undefined) {
      record = { latencies: new LatencyDistribution(goal), kilobytes: assumedKilobytes };
      this.records.set(name, record);
    }
    return record;
  }

  /** Learns the size of a request and its answer in bytes. */
  public recordSize(route: Pick<TrafficRoute, 'name' | 'goal'>, bytes: number): void {
    const record = this.get(route);
    record.kilobytes += sizeWeight * ((bytes + headerBytes) / bytesPerKilobyte - record.kilobytes);
  }

  /** Keeps only the routes that still exist. */
  public retain(names: ReadonlySet<string>): void {
    this.records.forEach((_, name) => {
      if (!names.has(name)) this.records.delete(name);
    });
  }
}
