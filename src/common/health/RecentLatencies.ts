import type { InFlightRequest } from './Types.js';

interface Entry {
  readonly route: string;
  readonly at: number;
  /** Milliseconds; of a running request, its age when it was noted. */
  readonly latency: number;
  /** Set while the request runs, so that its present age counts. */
  readonly flight: InFlightRequest | undefined;
}

const capacity = 12;
const fewest = 3;
/** Milliseconds; older entries say nothing about the present. */
const lifetime = 10_000;

/** The last latencies, kept raw so that they can be judged again by a newer limit. */
export class RecentLatencies {
  private readonly entries: Entry[] = [];

  private position = 0;

  /** Adds the latency of a finished request. */
  public addFinished(route: string, latency: number, now: number): void {
    this.add({ route, at: now, latency, flight: undefined });
  }

  /** Adds a request that is still running. */
  public addRunning(flight: InFlightRequest, now: number): void {
    this.add({ route: flight.route, at: now, latency: now - flight.startedAt, flight });
  }

  /** Share above the limits that `limitOf` gives in milliseconds; undefined if there are too few to tell. */
  public slowShare(
    limitOf: (route: string) => number,
    isRunning: (flight: InFlightRequest) => boolean,
    now: number,
  ): number | undefined {
    const fresh = this.entries.filter(({ at }) => now - at <= lifetime);
    if (fresh.length < fewest) return undefined;
    const slow = fresh.filter(({ route, latency, flight }) => {
      const hasAged = flight !== undefined && isRunning(flight);
      return (hasAged ? now - flight.startedAt : latency) > limitOf(route);
    });
    return slow.length / fresh.length;
  }

  private add(entry: Entry): void {
    this.entries[this.position] = entry;
    this.position = (this.position + 1) % capacity;
  }
}
