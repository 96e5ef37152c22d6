import type { Location } from '../services/Types.js';
import type { RandomSource } from '../base/index.js';
import { decayLogOdds, logistic, priorLogOdds } from '../health/HealthEstimator.js';
import type { Candidate, IncomingCall } from './Types.js';

/** Milliseconds that a hop to another data centre of the region adds, to it and back. */
const dataCentreDelay = 2;
/**
 * Milliseconds of wait that are accepted to keep one kilobyte off the links between data centres: at the deployments' prices
 * it costs as much as this part of the worth of an answer in time.
 */
const dataCentreCostPerKilobyte = 5;
/** Milliseconds of a hop to the other region and back. */
const regionDelay = 40;
/** Milliseconds of wait that are accepted to keep one kilobyte off the link between regions. */
const regionCostPerKilobyte = 60;
/** Milliseconds within which two targets count as equal, so that entries do not all choose the same one. */
const tieRange = 15;
/** Milliseconds after which a reported load tells half as much. */
const loadHalfLife = 700;
/** Slots that are reckoned with when all are held by stuck requests: they are given up one after the other. */
const leastServing = 0.2;
/** Part of the mean work that a full target costs, even with a free slot: targets slow down when nearly full. */
const crowdingCost = 0.5;
/** A lost request that is not asked for elsewhere costs this many times the latency that the operators ask for. */
const lossCost = 3;
/** Share of repeatable requests that ask a doubtful target, to learn of its recovery. */
const scoutShare = 0.2;
/** Homes refuse all but scouts above this probability of sickness. */
const refusedSickness = 0.5;
/** Targets above this probability of sickness are worth a scout; their homes bound how many they get. */
const scoutSickness = 0.3;

/** A candidate with what a request is expected to pay there. */
export interface RankedCandidate {
  readonly candidate: Candidate;
  /** Expected cost in milliseconds. */
  readonly cost: number;
  /** Milliseconds until a slot is expected to be free. */
  readonly wait: number;
  /** Probability that the target is sick. */
  readonly unhealthyProbability: number;
  readonly isRemote: boolean;
  /** Whether the request is to show if the target has recovered. */
  readonly isTrial: boolean;
}

/** Expected wait for a slot in milliseconds, from the last report of the home and own requests since. */
function expectedWait({ slots, inFlight, condition, age }: Candidate): number {
  if (condition === undefined) return inFlight < slots ? 0 : inFlight * 100;
  const trust = 0.5 ** (age / loadHalfLife);
  const reported = condition.running + condition.queued;
  const serving = slots - (slots - condition.slots) * trust;
  // Own requests may be the stuck ones, so they count only where nothing else is known.
  const busy = Math.max(Math.min(inFlight, serving), reported * trust);
  const excess = busy + 1 - serving;
  return excess > 0 ? (excess * condition.work) / Math.max(leastServing, serving) : 0;
}

/** Load of the slots between 0 and 1. */
function occupancy({ slots, inFlight, condition, age }: Candidate): number {
  const reported = condition === undefined ? 0 : condition.running * 0.5 ** (age / loadHalfLife);
  return Math.min(1, Math.max(inFlight, reported) / Math.max(1, slots));
}

/** Facts of a request that decide what a place costs. */
export interface PlacementContext {
  readonly call: IncomingCall;
  /** Kilobytes that the answer is expected to have. */
  readonly kilobytes: number;
  /** Milliseconds after which a request is asked elsewhere if its target hangs. */
  readonly hedgeDelay: number;
  /** Whether no other target is asked after this one. */
  readonly isLast: boolean;
}

/**
 * Orders targets by what a request is expected to pay: wait, crowding, distance, and the loss if the target is sick.
 * Answers the load in which some targets hang at any time while the others have room.
 */
export class Placement {
  public constructor(
    private readonly here: Location,
    private readonly random: RandomSource,
  ) {}

  /** Weighs the candidates, cheapest first. */
  public rank(candidates: readonly Candidate[], facts: PlacementContext): RankedCandidate[] {
    const offers = candidates.map((candidate) => this.weigh(candidate, facts));
    offers.sort((left, right) => left.cost - right.cost);
    return facts.isLast ? offers : this.scout(offers);
  }

  private weigh(candidate: Candidate, facts: PlacementContext): RankedCandidate {
    const { call, kilobytes, hedgeDelay, isLast } = facts;
    const wait = expectedWait(candidate);
    const sickness = logistic(
      candidate.condition === undefined
        ? priorLogOdds
        : decayLogOdds(candidate.condition.sickness, candidate.age),
    );
    const work = candidate.condition?.work ?? 0;
    // Homes refuse what they suspect, so that a second round there comes after waiting at a healthy target.
    const isRisk = isLast || sickness > refusedSickness;
    const loss = isRisk ? lossCost * call.route.goal : hedgeDelay;
    const isRemote = candidate.region !== this.here.region;
    const cost =
      wait +
      occupancy(candidate) * work * crowdingCost +
      sickness * loss +
      this.distance(candidate, kilobytes) +
      this.random() * tieRange;
    return { candidate, cost, wait, unhealthyProbability: sickness, isRemote, isTrial: false };
  }

  private distance({ region, dataCentre }: Candidate, kilobytes: number): number {
    if (region !== this.here.region) return regionDelay + kilobytes * regionCostPerKilobyte;
    if (dataCentre === this.here.dataCentre) return 0;
    return dataCentreDelay + kilobytes * dataCentreCostPerKilobyte;
  }

  /** Puts a doubtful target of this region first for some requests that another target can answer as well. */
  private scout(offers: RankedCandidate[]): RankedCandidate[] {
    if (this.random() >= scoutShare) return offers;
    const doubtful = offers.filter(
      ({ unhealthyProbability: sickness, isRemote, wait }) =>
        !isRemote && wait === 0 && sickness > scoutSickness,
    );
    const [chosen] = doubtful.sort((left, right) => right.candidate.age - left.candidate.age);
    if (chosen === undefined) return offers;
    return [{ ...chosen, isTrial: true }, ...offers.filter((offer) => offer !== chosen)];
  }
}
