import { LatencyDistribution } from '../health/LatencyDistribution.js';
import type { TrafficRoute } from '../routing/TrafficTypes.js';

/** Size in kilobytes assumed for a route before its first answer. */
const assumedKilobytes = 4;
/** Weight of the newest sample in the mean size. */
const sizeWeight = 0.1;
/** Bytes of headers of a request and its answer between daemons. */
const headerBytes = 1_000;
const bytesPerKilobyte = 1_000;

/** Learned latency and size of one route. */
export interface RouteEstimate {
  readonly latencies: LatencyDistribution;
  /** Mean size of a request with its answer in kilobytes. */
  kilobytes: number;
}

/** Learned latencies and sizes of all routes. */
export class RouteStatistics {
  private readonly records = new Map<string, RouteEstimate>();

  /** Returns the estimate of a route, which is created at the first call. */
  public get({ name, goal }: Pick<TrafficRoute, 'name' | 'goal'>): RouteEstimate {
    let record = this.records.get(name);
    if (record === undefined) {
      record = { latencies: new LatencyDistribution(goal), kilobytes: assumedKilobytes };
      this.records.set(name, record);
    }
    return record;
  }

  /** Records the size of a request with its answer in bytes. */
  public recordSize(route: Pick<TrafficRoute, 'name' | 'goal'>, bytes: number): void {
    const record = this.get(route);
    record.kilobytes += sizeWeight * ((bytes + headerBytes) / bytesPerKilobyte - record.kilobytes);
  }

  /** Drops the routes that are not in `names`. */
  public retain(names: ReadonlySet<string>): void {
    this.records.forEach((_, name) => {
      if (!names.has(name)) this.records.delete(name);
    });
  }
}
