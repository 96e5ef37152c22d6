import type { ServiceName, TargetId } from '../base/index.js';
import type { TargetSummary } from '../health/index.js';

/** Milliseconds for which a summary is fresh enough for a comparison. */
const lifetime = 5_000;

interface CachedSummary {
  readonly summary: TargetSummary;
  readonly receivedAt: number;
}

/** Recent summaries of other homes. Four homes are asked per second, so a few seconds cover most of a service. */
export class PeerSummaryCache {
  private readonly services = new Map<ServiceName, Map<TargetId, CachedSummary>>();

  /** Adds summaries received at `now`. */
  public add(service: ServiceName, summaries: readonly TargetSummary[], now: number): void {
    let cached = this.services.get(service);
    if (cached === undefined) {
      cached = new Map();
      this.services.set(service, cached);
    }
    for (const summary of summaries) cached.set(summary.target, { summary, receivedAt: now });
  }

  /** Summaries that are still fresh at `now`; drops the others. */
  public fresh(service: ServiceName, now: number): readonly TargetSummary[] {
    const cached = this.services.get(service);
    if (cached === undefined) return [];
    cached.forEach(({ receivedAt }, target) => {
      if (now - receivedAt > lifetime) cached.delete(target);
    });
    return [...cached.values()].map(({ summary }) => summary);
  }
}
