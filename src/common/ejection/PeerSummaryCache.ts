import type { ServiceName, TargetId } from '../base/index.js';
import type { TargetSummary } from '../health/index.js';

/** Milliseconds for which a summary is fresh enough for a comparison. */
const lifetime = 5_000;

interface Remembered {
  readonly summary: TargetSummary;
  readonly at: number;
}

/** Fresh summaries of other homes. Four homes are asked each second, so a few seconds cover most of a service. */
export class PeerSummaryCache {
  private readonly services = new Map<ServiceName, Map<TargetId, Remembered>>();

  /** Adds answers received at `now`. */
  public add(service: ServiceName, summaries: readonly TargetSummary[], now: number): void {
    let known = this.services.get(service);
    if (known === undefined) {
      known = new Map();
      this.services.set(service, known);
    }
    for (const summary of summaries) known.set(summary.target, { summary, at: now });
  }

  /** Summaries that are still fresh at `now`; drops the others. */
  public fresh(service: ServiceName, now: number): readonly TargetSummary[] {
    const known = this.services.get(service);
    if (known === undefined) return [];
    known.forEach(({ at }, target) => {
      if (now - at > lifetime) known.delete(target);
    });
    return [...known.values()].map(({ summary }) => summary);
  }
}
