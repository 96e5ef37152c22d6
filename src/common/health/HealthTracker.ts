import type { TargetOutcome } from '../services/Types.js';
import { noPeers } from './PeerSummary.js';
import { RecentLatencies } from './RecentLatencies.js';
import { OutcomeWindow } from './OutcomeWindow.js';
import { RouteBaseline } from './RouteBaseline.js';
import { SequentialTest } from './SequentialTest.js';
import type {
  InFlightRequest,
  PeerView,
  ProbeOutcome,
  RouteLatency,
  Verdict,
  VerdictCause,
  VerdictReason,
} from './Types.js';

/** Scores at which the health changes: natural logarithms of likelihood ratios. */
export const thresholds = {
  /** Below, a suspect is cleared. */
  clear: 3,
  /** About 8,000 to 1. */
  suspect: 9,
  /** About 65 million to 1. */
  sick: 18,
};

/** Milliseconds after which evidence that nothing renews counts half. */
const halfLife = 10_000;
/** A target that fails 1 request in 4 is sick, one that fails 1 in 100 is not. */
const errorHypotheses = { healthy: 0.01, sick: 0.25 };
/**
 * Slow means above the route's limit: up to 10% is the spread of a healthy target, 70% is sickness. With these, 5 slow
 * requests in a row, as many as a target of the auction has slots, are a suspicion; with 60% it took 6.
 */
const slowHypotheses = { healthy: 0.1, sick: 0.7 };
/** Above this share of errors at the peers, errors say nothing about one target. */
const peerErrorLimit = 0.5;
/** What makes a target stand out from its peers: twice their errors and 5 in 100 more, or 4 slow requests in 10. */
const outlier = { errorFactor: 2, errorMargin: 0.05, slowShare: 0.4 };
/** A target's own past may be at most this many times its peers' present, so a slow past is no excuse. */
const ownPastLimit = 2;
/** Ages at which a running request counts as slow, in multiples of its route's limit. */
const ageMarks = [1, 4];
/** Evidence from running requests needs a limit; without any past and peers this one is used, in milliseconds. */
const unknownRouteLimit = 5_000;
/** The health endpoint can lag or lie: its words weigh a quarter, and never more than half of a suspicion. */
const reportWeight = 0.25;
const reportLimit = thresholds.suspect / 2;
/** A probe that is answered says little about real work. */
const probeGoodWeight = 0.1;
/** Milliseconds after a start during which slowness alone does not make a target sick. */
const warmUp = 30_000;
/** Milliseconds without an answer after which a target with running requests is probed. */
const silence = 500;
/** Milliseconds after which a request is no longer followed, so that one whose end was missed is not kept. */
const longestFlight = 900_000;
const windowLength = 10;
const maximumRoutes = 64;
const summaryRoutes = 8;
/** Learning slows down tenfold while the score is raised, so that sickness does not become the baseline. */
const doubtfulRate = 0.1;

type Weight = 'good' | 'bad' | 'none';

function classify(outcome: TargetOutcome, limit: number | undefined): Weight {
  switch (outcome.kind) {
    case 'success':
      return 'good';
    case 'shed':
    case 'cancelled':
      return 'none';
    case 'timeout':
      // A timeout below the slow limit tells of the caller's impatience, not of the target.
      return limit !== undefined && outcome.latency < limit ? 'none' : 'bad';
    default:
      return 'bad';
  }
}

/** Evidence on one target at its home. The caller passes times of a monotonic clock in milliseconds. */
export class HealthTracker {
  private readonly errors = new SequentialTest(errorHypotheses, halfLife);

  private readonly slowness = new SequentialTest(slowHypotheses, halfLife);

  private readonly reports = new SequentialTest(errorHypotheses, halfLife);

  private readonly window = new OutcomeWindow(windowLength);

  private readonly latencies = new RecentLatencies();

  private readonly baselines = new Map<string, RouteBaseline>();

  private readonly flights = new Set<InFlightRequest>();

  private peers: PeerView = noPeers;

  private serviceSlowdown = 1;

  private warmUntil: number;

  private resetAt = -Infinity;

  private endedAt = -Infinity;

  /** `isCold`: the target has just started, so slowness is expected for a while. */
  public constructor(now: number, isCold = false) {
    this.warmUntil = isCold ? now + warmUp : now;
  }

  /** Requests that are running at the target. */
  public get inFlight(): number {
    return this.flights.size;
  }

  /** Notes that a request was sent to the target; pass the result to `record`. */
  public begin(route: string, now: number): InFlightRequest {
    const flight: InFlightRequest = { route, startedAt: now, slowCount: 0 };
    this.flights.add(flight);
    return flight;
  }

  /** Notes that the request has ended without adding evidence, for outcomes that await a second opinion. */
  public end(flight: InFlightRequest): void {
    this.flights.delete(flight);
  }

  /** Adds the outcome of a request. */
  public record(outcome: TargetOutcome, now: number, flight?: InFlightRequest): void {
    if (flight !== undefined) this.flights.delete(flight);
    if (outcome.kind !== 'timeout' && outcome.kind !== 'cancelled') this.endedAt = now;
    if (flight !== undefined && flight.startedAt < this.resetAt) return;
    const baseline = this.baselineOf(outcome.route);
    const limit = this.slowLimit(outcome.route);
    const weight = classify(outcome, limit);
    if (weight === 'none') return;
    const isSlow = limit !== undefined && outcome.latency > limit;
    this.errors.add(weight === 'bad', now);
    this.window.add(now, weight === 'bad', isSlow);
    if (weight === 'bad') return;
    // A request whose age was counted while it ran is not counted again.
    const isCounted = flight !== undefined && flight.slowCount > 0;
    if (limit !== undefined && !isCounted) this.slowness.add(isSlow, now);
    this.latencies.addFinished(outcome.route, outcome.latency, now);
    baseline.add(outcome.latency, now, this.isDoubtful(now) ? doubtfulRate : 1);
  }

  /** Adds the outcome of a probe. */
  public recordProbe({ kind }: ProbeOutcome, now: number): void {
    if (kind === 'unreachable') {
      this.errors.add(true, now);
      this.window.add(now, true, false);
    } else {
      this.errors.add(false, now, probeGoodWeight);
      this.reports.add(kind === 'unhealthy', now, reportWeight);
    }
  }

  /** Replaces the view of the peers. */
  public setPeers(peers: PeerView): void {
    this.peers = peers;
    this.serviceSlowdown = this.measureSlowdown();
    const healthy = Math.min(0.9, Math.max(errorHypotheses.healthy, peers.errorRate * 1.5));
    const sick = Math.min(0.99, Math.max(errorHypotheses.sick, healthy * 2));
    this.errors.setHypotheses({ healthy, sick });
  }

  /**
   * Forgets evidence but not the routes' past: for a new incarnation (`isCold`) or a trial. Requests that were sent
   * before are no evidence any more, as they tell of the target before its hold.
   */
  public reset(now: number, isCold: boolean): void {
    this.resetAt = now;
    this.errors.reset();
    this.slowness.reset();
    this.reports.reset();
    if (isCold) this.warmUntil = now + warmUp;
  }

  /** Whether requests are running and none has ended for half a second, so that only a probe can tell more. */
  public isSilent(now: number): boolean {
    if (now - this.endedAt < silence) return false;
    for (const flight of this.flights) if (now - flight.startedAt >= silence) return true;
    return false;
  }

  /** Requests of the last `seconds`, to decide whether probes must fill in. */
  public requests(now: number, seconds: number): number {
    return this.window.counts(now, seconds).total;
  }

  /** Judges the target. Counts running requests that have become too old, so it must be called regularly. */
  public verdict(now: number): Verdict {
    this.markOldFlights(now);
    const scores = this.scores(now);
    const cause = HealthTracker.strongest(scores);
    const severity = cause === 'none' ? 0 : scores[cause];
    return {
      health: this.grade(cause, severity, now),
      severity,
      reason: this.reason(cause, severity, now),
    };
  }

  /**
   * Whether the target stands out from the present view of its peers. The scores rest on the view at the time of each
   * outcome, so they overshoot when a whole service slows down within a second; this judges the last outcomes again.
   */
  public isOutlier(now: number): boolean {
    if (this.peers.peers === 0) return true;
    const { rate } = this.errorRate(now);
    if (rate > outlier.errorFactor * this.peers.errorRate + outlier.errorMargin) return true;
    const limitOf = (route: string) => this.slowLimit(route) ?? unknownRouteLimit;
    const share = this.latencies.slowShare(limitOf, (flight) => this.flights.has(flight), now);
    return share !== undefined && share >= outlier.slowShare;
  }

  /** Recent medians of the routes used most recently. */
  public routeSummaries(now: number): readonly RouteLatency[] {
    const used = [...this.baselines.values()]
      .filter((baseline) => now - baseline.usedAt <= windowLength * 1000)
      .sort((left, right) => right.usedAt - left.usedAt);
    return used
      .slice(0, summaryRoutes)
      .map((baseline) => baseline.summary())
      .filter((summary) => summary !== undefined);
  }

  /** Share of errors and number of outcomes in the window. */
  public errorRate(now: number): { readonly rate: number; readonly samples: number } {
    const { total, bad } = this.window.counts(now);
    return { rate: total === 0 ? 0 : bad / total, samples: total };
  }

  private scores(now: number): Record<Exclude<VerdictCause, 'none'>, number> {
    const isErrorTelling = this.peers.errorRate < peerErrorLimit;
    return {
      errors: isErrorTelling ? this.errors.score(now) : 0,
      slow: this.slowness.score(now),
      'health-report': Math.min(reportLimit, this.reports.score(now)),
    };
  }

  private static strongest(scores: Record<Exclude<VerdictCause, 'none'>, number>): VerdictCause {
    let cause: VerdictCause = 'none';
    let highest = 0;
    for (const name of ['errors', 'slow', 'health-report'] as const) {
      if (scores[name] > highest) {
        cause = name;
        highest = scores[name];
      }
    }
    return cause;
  }

  private grade(cause: VerdictCause, severity: number, now: number): Verdict['health'] {
    if (severity < thresholds.clear) return 'healthy';
    if (severity < thresholds.suspect) return 'uncertain';
    if (severity < thresholds.sick) return 'suspect';
    return cause === 'slow' && now < this.warmUntil ? 'suspect' : 'sick';
  }

  private reason(cause: VerdictCause, score: number, now: number): VerdictReason {
    const { total, bad, slow } = this.window.counts(now);
    return {
      cause,
      score,
      errorRate: total === 0 ? 0 : bad / total,
      slowShare: total === 0 ? 0 : slow / total,
      samples: total,
      peers: this.peers.peers,
    };
  }

  private isDoubtful(now: number): boolean {
    return this.slowness.score(now) >= thresholds.clear || now < this.warmUntil;
  }

  private markOldFlights(now: number): void {
    for (const flight of this.flights) {
      if (now - flight.startedAt > longestFlight) this.flights.delete(flight);
      const limit = this.slowLimit(flight.route) ?? unknownRouteLimit;
      const mark = ageMarks[flight.slowCount];
      if (mark === undefined || now - flight.startedAt <= mark * limit) continue;
      if (flight.startedAt < this.resetAt) continue;
      flight.slowCount += 1;
      this.slowness.add(true, now);
      this.latencies.addRunning(flight, now);
    }
  }

  /** Milliseconds above which a request of this route is slow; undefined while nothing is known. */
  private slowLimit(route: string): number | undefined {
    const baseline = this.baselines.get(route);
    const own = baseline?.median;
    const peer = this.peers.routes.get(route);
    if (baseline === undefined || own === undefined)
      return peer === undefined ? undefined : 3 * peer;
    // Slow since ever is no excuse: the peers bound the own past.
    const past = peer === undefined ? own : Math.min(own, ownPastLimit * peer);
    // Slow as a whole is one: the present of the peers raises the reference.
    return Math.max(peer ?? 0, past * this.serviceSlowdown) * baseline.slowFactor;
  }

  /**
   * How much slower the peers are than the own past, on the route where they are slowest. It stands in for routes
   * whose long requests have not ended yet since the service became slow.
   */
  private measureSlowdown(): number {
    let slowdown = 1;
    this.peers.routes.forEach((median, route) => {
      const own = this.baselines.get(route)?.median;
      if (own !== undefined) slowdown = Math.max(slowdown, median / own);
    });
    return slowdown;
  }

  private baselineOf(route: string): RouteBaseline {
    const known = this.baselines.get(route);
    if (known !== undefined) return known;
    if (this.baselines.size >= maximumRoutes) this.dropOldestBaseline();
    const created = new RouteBaseline(route);
    this.baselines.set(route, created);
    return created;
  }

  private dropOldestBaseline(): void {
    let oldest: string | undefined;
    let usedAt = Infinity;
    this.baselines.forEach((baseline, route) => {
      if (baseline.usedAt >= usedAt) return;
      oldest = route;
      usedAt = baseline.usedAt;
    });
    if (oldest !== undefined) this.baselines.delete(oldest);
  }
}
