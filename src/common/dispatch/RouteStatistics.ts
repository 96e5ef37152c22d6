import { LatencyDistribution } from '../health/LatencyDistribution.js';
import type { TrafficRoute } from '../routing/TrafficTypes.js';

/** Size in kilobytes assumed for a route before its first answer. */
const assumedKilobytes = 4;
/** Weight of the newest sample in the mean size. */
const sizeWeight = 0.1;
/** Bytes assumed for the headers of a request and its answer between daemons before the first exchange. */
const assumedHeaderBytes = 700;
const bytesPerKilobyte = 1_000;

/** Learned latency and size of one route. */
export interface RouteEstimate {
  readonly latencies: LatencyDistribution;
  /** Mean size of a request with its answer in kilobytes, as sent between daemons. */
  kilobytes: number;
}

/** Learned latencies and sizes of all routes. */
export class RouteStatistics {
  private readonly records = new Map<string, RouteEstimate>();

  /** Mean bytes of an exchange between daemons besides the bodies. */
  private headerBytes = assumedHeaderBytes;

  /** Returns the estimate of a route, which is created at the first call. */
  public get({ name, goal }: Pick<TrafficRoute, 'name' | 'goal'>): RouteEstimate {
    let record = this.records.get(name);
    if (record === undefined) {
      record = { latencies: new LatencyDistribution(goal), kilobytes: assumedKilobytes };
      this.records.set(name, record);
    }
    return record;
  }

  /**
   * Records the bytes of the bodies of a request and its answer, and those of the whole exchange with another daemon if
   * there was one. Requests that run on this VM are counted with the headers that an exchange would have had.
   */
  public recordSize(
    route: Pick<TrafficRoute, 'name' | 'goal'>,
    bodyBytes: number,
    transferred?: number,
  ): void {
    const record = this.get(route);
    if (transferred !== undefined) {
      this.headerBytes += sizeWeight * (transferred - bodyBytes - this.headerBytes);
    }
    const bytes = transferred ?? bodyBytes + this.headerBytes;
    record.kilobytes += sizeWeight * (bytes / bytesPerKilobyte - record.kilobytes);
  }

  /** Drops the routes that are not in `names`. */
  public retain(names: ReadonlySet<string>): void {
    this.records.forEach((_, name) => {
      if (!names.has(name)) this.records.delete(name);
    });
  }
}
