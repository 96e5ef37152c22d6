import type { InFlightRequest } from './Types.js';

interface Entry {
  readonly route: string;
  readonly at: number;
  /** Milliseconds; for a running request, its age when it was added. */
  readonly latency: number;
  /** The request if it was added while running, so that its current age is used. */
  readonly request: InFlightRequest | undefined;
}

const maxEntries = 12;
const minEntries = 3;
/** Milliseconds; older entries say nothing about the current state. */
const maxAge = 10_000;

/** The most recent latencies, kept so that they can be compared with updated limits. */
export class RecentLatencies {
  private readonly entries: Entry[] = [];

  private position = 0;

  /** Adds the latency of a finished request. */
  public addFinished(route: string, latency: number, now: number): void {
    this.add({ route, at: now, latency, request: undefined });
  }

  /** Adds a request that is still running, with its age as its latency. */
  public addRunning(request: InFlightRequest, now: number): void {
    this.add({ route: request.route, at: now, latency: now - request.startedAt, request });
  }

  /** Share of latencies above the limit that `limitOf` gives in milliseconds; undefined if there are too few. */
  public slowShare(
    limitOf: (route: string) => number,
    isRunning: (request: InFlightRequest) => boolean,
    now: number,
  ): number | undefined {
    const fresh = this.entries.filter(({ at }) => now - at <= maxAge);
    if (fresh.length < minEntries) return undefined;
    const slow = fresh.filter(({ route, latency, request }) => {
      const isStillRunning = request !== undefined && isRunning(request);
      return (isStillRunning ? now - request.startedAt : latency) > limitOf(route);
    });
    return slow.length / fresh.length;
  }

  private add(entry: Entry): void {
    this.entries[this.position] = entry;
    this.position = (this.position + 1) % maxEntries;
  }
}
