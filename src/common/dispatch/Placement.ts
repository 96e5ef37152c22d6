import type { Location } from '../services/Types.js';
import type { RandomSource } from '../base/index.js';
import { decayLogOdds, logistic, priorLogOdds } from '../health/HealthEstimator.js';
import type { Candidate, IncomingCall } from './Types.js';

/** Random cost in milliseconds, so that entries do not all choose the same one of nearly equal targets. */
const tieRange = 15;
/** Half-life of the weight of a reported load in milliseconds. */
const loadHalfLife = 700;
/** Minimum number of slots assumed to serve when all are held by stuck requests, which are given up one by one. */
const minServingSlots = 0.2;
/** Cost of full occupancy, as a share of the mean service time: targets slow down when nearly full. */
const occupancyCost = 0.5;
/** Free slots cost little until few are left. */
const occupancyExponent = 3;
/** Cost of a lost request that is not retried, in multiples of its route's latency goal. */
const lossCost = 3;
/** Share of idempotent requests that may be sent to a suspected or unproven target, to learn of its health. */
const trialShare = 0.2;
/** Unhealthy probability above which homes refuse all requests except trial requests. */
const refusedProbability = 0.5;
/** Share of the prior probability of being unhealthy from which nothing is known of a target. */
const unprovenShare = 0.8;
/** Milliseconds without a request after which a target gets the next one that can be retried elsewhere. */
const maxIdleTime = 400;
/** The same for a target of another data centre, which that one should have used by then. */
const maxDistantIdleTime = 1_200;
/** Unhealthy probability above which a target gets trial requests; its home limits their rate. */
const trialProbability = 0.3;

/** Cost of leaving a data centre or a region, as the milliseconds of waiting that are as bad. */
export interface DistanceCost {
  /** Milliseconds for each request, the round trip included. */
  readonly fixed: number;
  /** Milliseconds for each kilobyte of the request and its answer. */
  readonly perKilobyte: number;
}

/** Costs of distance, set by the operators. */
export interface Locality {
  /** To another data centre of the region. */
  readonly dataCentre: DistanceCost;
  /** To another region. */
  readonly region: DistanceCost;
}

/** Costs of distance without settings. */
export const defaultLocality: Locality = {
  dataCentre: { fixed: 120, perKilobyte: 30 },
  region: { fixed: 150, perKilobyte: 80 },
};

/** A candidate with the expected cost of a request there. */
export interface RankedCandidate {
  readonly candidate: Candidate;
  /** Expected cost in milliseconds. */
  readonly cost: number;
  /** Expected wait for a slot in milliseconds. */
  readonly wait: number;
  /** Probability that the target is unhealthy. */
  readonly unhealthyProbability: number;
  readonly isRemote: boolean;
  /** Whether this is a trial request, sent to detect whether the target has recovered. */
  readonly isTrial: boolean;
}

/** Expected wait in milliseconds by the rate limit of a target. */
function limitWait({ condition, age, idle = Infinity }: Candidate): number {
  const limit = condition?.limit;
  if (limit === undefined) return 0;
  // The report does not count a request that this daemon sent since.
  const ownWait = idle < age ? limit.interval - idle : 0;
  return Math.max(0, limit.wait - age, ownWait);
}

/** Expected wait for a slot in milliseconds, from the last condition reported by the home and the own requests. */
function slotWait({ slots, inFlight, condition, age }: Candidate): number {
  if (condition === undefined) return inFlight < slots ? 0 : inFlight * 100;
  const weight = 0.5 ** (age / loadHalfLife);
  const reported = condition.running + condition.queued;
  const serving = slots - (slots - condition.slots) * weight;
  // Own requests may be the stuck ones, so at most the serving slots are counted as busy with them.
  const busy = Math.max(Math.min(inFlight, serving), reported * weight);
  const waiting = busy + 1 - serving;
  return waiting > 0 ? (waiting * condition.work) / Math.max(minServingSlots, serving) : 0;
}

function expectedWait(candidate: Candidate): number {
  return Math.max(slotWait(candidate), limitWait(candidate));
}

/** Share of occupied slots, 0 to 1. */
function occupancy({ slots, inFlight, condition, age }: Candidate): number {
  const reported = condition === undefined ? 0 : condition.running * 0.5 ** (age / loadHalfLife);
  return Math.min(1, Math.max(inFlight, reported) / Math.max(1, slots));
}

/** Candidate whose condition was learned first. */
function oldest(ranked: readonly RankedCandidate[]): RankedCandidate | undefined {
  return [...ranked].sort((left, right) => right.candidate.age - left.candidate.age)[0];
}

/** Whether there is hardly more evidence of a target's health than there is of any target. */
export function isUnproven({ unhealthyProbability }: RankedCandidate): boolean {
  return unhealthyProbability >= unprovenShare * logistic(priorLogOdds);
}

/** Candidate that has got no request for longest, if that is longer than `threshold` milliseconds. */
function longestIdle(
  ranked: readonly RankedCandidate[],
  threshold: number,
): RankedCandidate | undefined {
  // A rate limit keeps its target idle for the time between two requests.
  const idleTime = ({ candidate: { idle = 0, condition } }: RankedCandidate): number =>
    idle - (condition?.limit?.interval ?? 0);
  return ranked
    .filter((candidate) => idleTime(candidate) > threshold)
    .sort((left, right) => idleTime(right) - idleTime(left))[0];
}

function isSuspected({ unhealthyProbability }: RankedCandidate): boolean {
  return unhealthyProbability > trialProbability;
}

/** Properties of a request that determine its cost at a candidate. */
export interface PlacementContext {
  readonly call: IncomingCall;
  /** Expected size of the request and its answer in kilobytes. */
  readonly kilobytes: number;
  /** Milliseconds after which the request is hedged if its target hangs. */
  readonly hedgeDelay: number;
  /** Milliseconds for which the request may wait for a slot. */
  readonly maxQueueWait: number;
  /** Whether this is the last attempt. */
  readonly isLast: boolean;
}

/**
 * Ranks targets by the expected cost of a request: wait, occupancy, network distance, and loss if the target is unhealthy.
 * Designed for fleets in which some targets hang at any time while others have free slots.
 */
export class Placement {
  public constructor(
    private readonly location: Location,
    private readonly locality: Locality,
    private readonly random: RandomSource,
  ) {}

  /** Returns the candidates ordered by expected cost, lowest first. */
  public rank(candidates: readonly Candidate[], context: PlacementContext): RankedCandidate[] {
    const ranked = candidates.map((candidate) => this.rate(candidate, context));
    ranked.sort((left, right) => left.cost - right.cost);
    return context.isLast ? ranked : this.preferTrial(ranked);
  }

  private rate(candidate: Candidate, context: PlacementContext): RankedCandidate {
    const { call, kilobytes, hedgeDelay, maxQueueWait, isLast } = context;
    const wait = expectedWait(candidate);
    const unhealthyProbability = logistic(
      candidate.condition === undefined
        ? priorLogOdds
        : decayLogOdds(candidate.condition.sickness, candidate.age),
    );
    const work = candidate.condition?.work ?? 0;
    // The home refuses requests above this probability, so waiting at a healthy target is cheaper than asking there again.
    const isLostIfUnhealthy = isLast || unhealthyProbability > refusedProbability;
    const loss = isLostIfUnhealthy ? lossCost * call.route.goal : hedgeDelay;
    const isRemote = candidate.region !== this.location.region;
    // A home refuses what would wait longer, however near it is.
    const refusal = wait > maxQueueWait ? lossCost * call.route.goal : 0;
    const cost =
      wait +
      refusal +
      occupancy(candidate) ** occupancyExponent * work * occupancyCost +
      unhealthyProbability * loss +
      this.distance(candidate, kilobytes, call.route.goal) +
      this.random() * tieRange;
    return {
      candidate,
      cost,
      wait,
      unhealthyProbability,
      isRemote,
      isTrial: false,
    };
  }

  /** Cost of the distance, which for a large answer is at most that of an answer that is late or lost. */
  private distance({ region, dataCentre }: Candidate, kilobytes: number, goal: number): number {
    const isSameRegion = region === this.location.region;
    if (isSameRegion && dataCentre === this.location.dataCentre) return 0;
    const { fixed, perKilobyte } = isSameRegion ? this.locality.dataCentre : this.locality.region;
    return Math.min(fixed + kilobytes * perKilobyte, isSameRegion ? goal : lossCost * goal);
  }

  /**
   * Ranks another target first for requests that can be retried elsewhere, to learn of its health: a suspected target for
   * a share of the requests; then one that gets no requests, since otherwise the entries, which know the same few targets
   * to be healthy, would leave the others unused; then one of which nothing is known, such as one that has just joined.
   */
  private preferTrial(ranked: RankedCandidate[]): RankedCandidate[] {
    const near = ranked.filter(({ isRemote, wait }) => !isRemote && wait === 0);
    const own = this.ownTargets(ranked, near);
    const isInTrialShare = this.random() < trialShare;
    const suspected = isInTrialShare ? oldest(own.filter(isSuspected)) : undefined;
    const chosen =
      suspected ??
      this.idleTarget(own, near) ??
      (isInTrialShare ? oldest(own.filter(isUnproven)) : undefined);
    if (chosen === undefined) return ranked;
    const isTrial = chosen === suspected;
    return [{ ...chosen, isTrial }, ...ranked.filter((candidate) => candidate !== chosen)];
  }

  /** Each data centre tries its own targets; one that has none of the service tries those of its region. */
  private ownTargets(
    ranked: readonly RankedCandidate[],
    near: readonly RankedCandidate[],
  ): readonly RankedCandidate[] {
    const isOwn = ({ candidate }: RankedCandidate): boolean =>
      candidate.dataCentre === this.location.dataCentre;
    return ranked.some(isOwn) ? near.filter(isOwn) : near;
  }

  private idleTarget(
    own: readonly RankedCandidate[],
    near: readonly RankedCandidate[],
  ): RankedCandidate | undefined {
    const unsuspected = (candidates: readonly RankedCandidate[]): readonly RankedCandidate[] =>
      candidates.filter((candidate) => !isSuspected(candidate));
    return (
      longestIdle(unsuspected(own), maxIdleTime) ??
      longestIdle(unsuspected(near), maxDistantIdleTime)
    );
  }
}
