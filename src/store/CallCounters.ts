import type { CallCounts, CallKind, Peer } from './Types.js';

interface Counts {
  calls: number;
  byKind: Record<CallKind, number>;
  waitingWatches: number;
}

function createCounts(): Counts {
  return {
    calls: 0,
    byKind: { read: 0, write: 0, lease: 0, keepalive: 0, watch: 0 },
    waitingWatches: 0,
  };
}

/** Counts calls in total and by client name. */
export class CallCounters {
  private readonly total = createCounts();

  private readonly clients = new Map<string, Counts>();

  public count(peer: Peer, kind: CallKind): void {
    [this.total, this.countsOf(peer)].forEach((counts) => {
      counts.calls += 1;
      counts.byKind[kind] += 1;
    });
  }

  /** Adds `change` to the number of open watches. */
  public addWaiting(peer: Peer, change: 1 | -1): void {
    [this.total, this.countsOf(peer)].forEach((counts) => {
      counts.waitingWatches += change;
    });
  }

  /** Returns a copy of the counts, in total and by client name. */
  public read(): CallCounts & { readonly clients: Readonly<Record<string, CallCounts>> } {
    return structuredClone({ ...this.total, clients: Object.fromEntries(this.clients) });
  }

  private countsOf(peer: Peer): Counts {
    const counts = this.clients.get(peer.client) ?? createCounts();
    this.clients.set(peer.client, counts);
    return counts;
  }
}
