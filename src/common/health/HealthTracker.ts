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

/** Scores at which the health changes, as natural logarithms of likelihood ratios. */
export const thresholds = {
  /** Below this score, a suspect counts as healthy again. */
  clear: 3,
  /** About 8,000 to 1. */
  suspect: 9,
  /** About 65 million to 1. */
  sick: 18,
};

/** Half-life of evidence, in milliseconds. */
const halfLife = 10_000;
/** Error rates of a healthy and of a sick target. */
const errorHypotheses = { healthy: 0.01, sick: 0.25 };
/**
 * Shares of requests above the route's slow limit at a healthy and at a sick target. With 70%, 5 slow requests in a row
 * raise a suspicion, which is the number of slots of an auction target; with 60% it would take 6.
 */
const slowHypotheses = { healthy: 0.1, sick: 0.7 };
/** Error rate of the peers above which errors are no evidence against a single target. */
const peerErrorLimit = 0.5;
/** A target is an outlier above twice the error rate of its peers plus 5%, or with 40% of slow requests. */
const outlier = { errorFactor: 2, errorMargin: 0.05, slowShare: 0.4 };
/** Upper bound of a target's own median, in multiples of its peers' median, so that a slow past is no baseline. */
const ownMedianLimit = 2;
/** Ages at which a running request counts as slow once more, in multiples of its route's limit. */
const ageFactors = [1, 4];
/** Slow limit in milliseconds for running requests of a route without samples or peers. */
const defaultSlowLimit = 5_000;
/** The health endpoint can be late or wrong: its results count a quarter, and never more than half of a suspicion. */
const reportWeight = 0.25;
const reportLimit = thresholds.suspect / 2;
/** Weight of an answered probe, which is weak evidence that requests succeed. */
const probeSuccessWeight = 0.1;
/** Milliseconds after a start during which slow requests alone do not make a target sick. */
const warmUp = 30_000;
/** Milliseconds without an answer after which a target with running requests is probed. */
const silenceLimit = 500;
/** Age in milliseconds at which a request is dropped, so that one whose end was not reported is not kept forever. */
const maxRequestAge = 900_000;
const windowSeconds = 10;
const maxRoutes = 64;
const summaryRoutes = 8;
/** Learning rate while a target may be unhealthy, so that a fault does not become the baseline. */
const reducedLearningRate = 0.1;

type Evidence = 'good' | 'bad' | 'none';

function evidenceOf(outcome: TargetOutcome, limit: number | undefined): Evidence {
  switch (outcome.kind) {
    case 'success':
      return 'good';
    case 'shed':
    case 'cancelled':
      return 'none';
    case 'timeout':
      // A timeout shorter than the slow limit was set by the caller and is no evidence against the target.
      return limit !== undefined && outcome.latency < limit ? 'none' : 'bad';
    default:
      return 'bad';
  }
}

/** Assesses the health of one target at its home. All times are milliseconds of a monotonic clock. */
export class HealthTracker {
  private readonly errors = new SequentialTest(errorHypotheses, halfLife);

  private readonly slowness = new SequentialTest(slowHypotheses, halfLife);

  private readonly reports = new SequentialTest(errorHypotheses, halfLife);

  private readonly window = new OutcomeWindow(windowSeconds);

  private readonly latencies = new RecentLatencies();

  private readonly baselines = new Map<string, RouteBaseline>();

  private readonly inFlightRequests = new Set<InFlightRequest>();

  private peers: PeerView = noPeers;

  private serviceSlowdown = 1;

  private warmUpEndsAt: number;

  private resetAt = -Infinity;

  private lastEndAt = -Infinity;

  /** `isCold`: the target has just started, so slow requests are expected for a while. */
  public constructor(now: number, isCold = false) {
    this.warmUpEndsAt = isCold ? now + warmUp : now;
  }

  /** Number of requests that are running at the target. */
  public get inFlight(): number {
    return this.inFlightRequests.size;
  }

  /** Registers a request that was sent to the target; the result is passed to `record` or `end`. */
  public begin(route: string, now: number): InFlightRequest {
    const request: InFlightRequest = { route, startedAt: now, slowCount: 0 };
    this.inFlightRequests.add(request);
    return request;
  }

  /** Removes a request without adding evidence, for outcomes that await a second opinion. */
  public end(request: InFlightRequest): void {
    this.inFlightRequests.delete(request);
  }

  /** Records the outcome of a request. */
  public record(outcome: TargetOutcome, now: number, request?: InFlightRequest): void {
    if (request !== undefined) this.inFlightRequests.delete(request);
    if (outcome.kind !== 'timeout' && outcome.kind !== 'cancelled') this.lastEndAt = now;
    if (request !== undefined && request.startedAt < this.resetAt) return;
    const baseline = this.baselineOf(outcome.route);
    const limit = this.slowLimit(outcome.route);
    const evidence = evidenceOf(outcome, limit);
    if (evidence === 'none') return;
    const isSlow = limit !== undefined && outcome.latency > limit;
    this.errors.add(evidence === 'bad', now);
    this.window.add(now, evidence === 'bad', isSlow);
    if (evidence === 'bad') return;
    // A request that was counted as slow while it ran is not counted again.
    const isCounted = request !== undefined && request.slowCount > 0;
    if (limit !== undefined && !isCounted) this.slowness.add(isSlow, now);
    this.latencies.addFinished(outcome.route, outcome.latency, now);
    baseline.add(outcome.latency, now, this.isPossiblyUnhealthy(now) ? reducedLearningRate : 1);
  }

  /** Records the outcome of a probe. */
  public recordProbe({ kind }: ProbeOutcome, now: number): void {
    if (kind === 'unreachable') {
      this.errors.add(true, now);
      this.window.add(now, true, false);
    } else {
      this.errors.add(false, now, probeSuccessWeight);
      this.reports.add(kind === 'unhealthy', now, reportWeight);
    }
  }

  /** Replaces the view of the peers and adapts the hypotheses to their error rate. */
  public setPeers(peers: PeerView): void {
    this.peers = peers;
    this.serviceSlowdown = this.measureSlowdown();
    const healthy = Math.min(0.9, Math.max(errorHypotheses.healthy, peers.errorRate * 1.5));
    const sick = Math.min(0.99, Math.max(errorHypotheses.sick, healthy * 2));
    this.errors.setHypotheses({ healthy, sick });
  }

  /**
   * Clears the evidence but keeps the route baselines, for a new incarnation (`isCold`) or a trial. The outcomes of
   * requests that were sent before are ignored, since they show the state of the target before it was held.
   */
  public reset(now: number, isCold: boolean): void {
    this.resetAt = now;
    this.errors.reset();
    this.slowness.reset();
    this.reports.reset();
    if (isCold) this.warmUpEndsAt = now + warmUp;
  }

  /** Whether requests are running and none has ended for half a second, so that a probe is needed. */
  public isSilent(now: number): boolean {
    if (now - this.lastEndAt < silenceLimit) return false;
    for (const request of this.inFlightRequests)
      if (now - request.startedAt >= silenceLimit) return true;
    return false;
  }

  /** Number of requests in the last `seconds`, to decide whether probes are needed. */
  public requests(now: number, seconds: number): number {
    return this.window.counts(now, seconds).total;
  }

  /** Assesses the target. Must be called regularly, since it also counts running requests that have become slow. */
  public verdict(now: number): Verdict {
    this.countSlowRequests(now);
    const scores = this.scores(now);
    const cause = HealthTracker.strongestCause(scores);
    const severity = cause === 'none' ? 0 : scores[cause];
    return {
      health: this.healthOf(cause, severity, now),
      severity,
      reason: this.reason(cause, severity, now),
    };
  }

  /**
   * Whether the target is an outlier among its peers. The scores use the view of the peers at the time of each outcome,
   * so they overshoot when a whole service slows down within a second; this compares the last outcomes with the latest view.
   */
  public isOutlier(now: number): boolean {
    if (this.peers.peers === 0) return true;
    const { rate } = this.errorRate(now);
    if (rate > outlier.errorFactor * this.peers.errorRate + outlier.errorMargin) return true;
    const limitOf = (route: string) => this.slowLimit(route) ?? defaultSlowLimit;
    const share = this.latencies.slowShare(
      limitOf,
      (request) => this.inFlightRequests.has(request),
      now,
    );
    return share !== undefined && share >= outlier.slowShare;
  }

  /** Recent median latencies of the most recently used routes. */
  public routeSummaries(now: number): readonly RouteLatency[] {
    const used = [...this.baselines.values()]
      .filter((baseline) => now - baseline.usedAt <= windowSeconds * 1000)
      .sort((left, right) => right.usedAt - left.usedAt);
    return used
      .slice(0, summaryRoutes)
      .map((baseline) => baseline.summary())
      .filter((summary) => summary !== undefined);
  }

  /** Error rate and number of outcomes in the window. */
  public errorRate(now: number): { readonly rate: number; readonly samples: number } {
    const { total, bad } = this.window.counts(now);
    return { rate: total === 0 ? 0 : bad / total, samples: total };
  }

  private scores(now: number): Record<Exclude<VerdictCause, 'none'>, number> {
    const isErrorConclusive = this.peers.errorRate < peerErrorLimit;
    return {
      errors: isErrorConclusive ? this.errors.score(now) : 0,
      slow: this.slowness.score(now),
      'health-report': Math.min(reportLimit, this.reports.score(now)),
    };
  }

  private static strongestCause(
    scores: Record<Exclude<VerdictCause, 'none'>, number>,
  ): VerdictCause {
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

  private healthOf(cause: VerdictCause, severity: number, now: number): Verdict['health'] {
    if (severity < thresholds.clear) return 'healthy';
    if (severity < thresholds.suspect) return 'uncertain';
    if (severity < thresholds.sick) return 'suspect';
    return cause === 'slow' && now < this.warmUpEndsAt ? 'suspect' : 'sick';
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

  private isPossiblyUnhealthy(now: number): boolean {
    return this.slowness.score(now) >= thresholds.clear || now < this.warmUpEndsAt;
  }

  private countSlowRequests(now: number): void {
    for (const request of this.inFlightRequests) {
      if (now - request.startedAt > maxRequestAge) this.inFlightRequests.delete(request);
      const limit = this.slowLimit(request.route) ?? defaultSlowLimit;
      const factor = ageFactors[request.slowCount];
      if (factor === undefined || now - request.startedAt <= factor * limit) continue;
      if (request.startedAt < this.resetAt) continue;
      request.slowCount += 1;
      this.slowness.add(true, now);
      this.latencies.addRunning(request, now);
    }
  }

  /** Latency in milliseconds above which a request of this route is slow; undefined without samples and peers. */
  private slowLimit(route: string): number | undefined {
    const baseline = this.baselines.get(route);
    const own = baseline?.median;
    const peer = this.peers.routes.get(route);
    if (baseline === undefined || own === undefined)
      return peer === undefined ? undefined : 3 * peer;
    // The peers bound the own median, since the target may always have been slow.
    const expected = peer === undefined ? own : Math.min(own, ownMedianLimit * peer);
    // When the whole service is slow, the current latency of the peers raises the limit.
    return Math.max(peer ?? 0, expected * this.serviceSlowdown) * baseline.slowFactor;
  }

  /**
   * Greatest ratio of the peers' latency to the own median over all routes. It is applied to every route, since long
   * requests may not have ended since the service became slow.
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
    if (this.baselines.size >= maxRoutes) this.dropOldestBaseline();
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
