import { HealthTracker } from '../health/index.js';
import type { RouteLatency, TargetSummary, Verdict } from '../health/index.js';
import type { TargetAnnouncement } from '../services/Types.js';
import { TargetLifecycle } from './TargetLifecycle.js';

/** Milliseconds for which the medians of the routes are cached, because many homes request them. */
const routesLifetime = 500;

/** State that a home keeps of one of its targets: announcement, evidence and lifecycle. */
export class HomeTarget {
  public readonly tracker: HealthTracker;

  public readonly lifecycle: TargetLifecycle;

  private latest: TargetAnnouncement;

  private announcedAt: number;

  private routes: readonly RouteLatency[] = [];

  private routesAt = -Infinity;

  /** Last verdict, cached for the summaries. */
  public verdict: Verdict;

  public constructor(announcement: TargetAnnouncement, now: number) {
    this.latest = announcement;
    this.announcedAt = now;
    this.tracker = new HealthTracker(now, announcement.state === 'starting');
    this.lifecycle = new TargetLifecycle(announcement.id, announcement.service);
    this.verdict = this.tracker.verdict(now);
  }

  public get announcement(): TargetAnnouncement {
    return this.latest;
  }

  /** Handles a renewed announcement. A new incarnation starts cold and without evidence. */
  public announce(announcement: TargetAnnouncement, now: number): void {
    const isNew = announcement.incarnation !== this.latest.incarnation;
    if (isNew) this.tracker.reset(now, true);
    this.latest = announcement;
    this.announcedAt = now;
    this.lifecycle.announce(announcement.state, isNew, now);
  }

  /** Updates and returns the verdict. */
  public evaluate(now: number): Verdict {
    this.verdict = this.tracker.verdict(now);
    return this.verdict;
  }

  /** Summary of the target for other homes. */
  public summary(now: number): TargetSummary {
    const { rate, samples } = this.tracker.errorRate(now);
    return {
      target: this.latest.id,
      status: this.lifecycle.state,
      slots: this.latest.slots,
      share: this.lifecycle.share,
      age: now - this.announcedAt,
      errorRate: rate,
      samples,
      severity: this.verdict.severity,
      routes: this.recentRoutes(now),
    };
  }

  private recentRoutes(now: number): readonly RouteLatency[] {
    if (now - this.routesAt >= routesLifetime) {
      this.routes = this.tracker.routeSummaries(now);
      this.routesAt = now;
    }
    return this.routes;
  }
}
