import type { Clock } from '../base/index.js';
import type { LatencyDistribution } from './LatencyDistribution.js';

/** Share of requests that an unhealthy target loses; a partial failure affects most requests, but not all. */
export const unhealthyLossShare = 0.8;
/** Probability that a target is unhealthy when there is no evidence about it. */
const priorProbability = 0.15;
/** Time constant of the decay of evidence, in milliseconds; unhealthy periods last a few seconds. */
const decayTime = 8_000;
/** Likelihood ratio, unhealthy to healthy, of a failure that the target reported or caused. */
const failureRatio = 9;
/** Lower bound of the probability of either state, so that a few requests can show a change. */
const minProbability = 0.002;
/** Requests whose evidence is kept individually; twice the slots of large targets. */
const maxEvidence = 32;

/** Log-odds of a probability. */
export function logit(probability: number): number {
  return Math.log(probability / (1 - probability));
}

/** Probability for the given log-odds; the inverse of `logit`. */
export function logistic(logOdds: number): number {
  return 1 / (1 + Math.exp(-logOdds));
}

/** Unhealthy probability `age` milliseconds later; it decays to the prior since the state can change meanwhile. */
function decay(probability: number, age: number): number {
  return (
    priorProbability + (probability - priorProbability) * Math.exp(-Math.max(0, age) / decayTime)
  );
}

/** Log-odds that a target without evidence is unhealthy. */
export const priorLogOdds = logit(priorProbability);

/** Log-odds after `age` milliseconds without new evidence; they decay to `priorLogOdds`. */
export function decayLogOdds(logOdds: number, age: number): number {
  return logit(decay(logistic(logOdds), age));
}

/** A request that the target is running. */
export interface RunningRequest {
  readonly startedAt: number;
  readonly latencies: LatencyDistribution;
}

/** A request and what its outcome says about the target. */
interface Evidence extends RunningRequest {
  /** Likelihood ratio of the outcome, unhealthy to healthy; undefined while the request runs and its age is the evidence. */
  ratio: number | undefined;
  /** Undefined while the request runs. */
  endedAt: number | undefined;
  isAnswered: boolean;
}

/** Likelihood ratio, unhealthy to healthy, of a request that has no answer at this age. */
function pendingRatio(latencies: LatencyDistribution, age: number): number {
  const survival = latencies.survival(age);
  return (unhealthyLossShare + (1 - unhealthyLossShare) * survival) / survival;
}

/**
 * Estimates the probability that a target hangs or fails most of its requests, as a two-state Markov chain. The outcome
 * of a request is evidence for the time at which it started: answers to older requests do not show that a target is
 * healthy if its newer requests get none. The age of running requests counts too, so that an unresponsive target is
 * suspected before any of its requests has failed.
 */
export class HealthEstimator {
  /** Ordered by start time. */
  private evidence: Evidence[] = [];

  /** Unhealthy probability at `baseTime`, from the requests that are no longer kept. */
  private baseProbability = priorProbability;

  private baseTime: number;

  public constructor(private readonly clock: Clock) {
    this.baseTime = clock.elapsed();
  }

  /** Log-odds that the target is unhealthy now. */
  public get logOdds(): number {
    const time = this.clock.elapsed();
    let probability = this.baseProbability;
    let { baseTime: lastStart } = this;
    // While the newest requests have no answer, the estimate decays only from the end of the last of them.
    let unansweredUntil = lastStart;
    this.evidence.forEach((entry) => {
      const { startedAt, isAnswered, endedAt = time } = entry;
      probability = HealthEstimator.update(decay(probability, startedAt - lastStart), entry, time);
      lastStart = startedAt;
      unansweredUntil = isAnswered ? startedAt : Math.max(unansweredUntil, endedAt);
    });
    return logit(decay(probability, time - Math.max(lastStart, unansweredUntil)));
  }

  /** Adds a request that starts now. */
  public start(latencies: LatencyDistribution): RunningRequest {
    const request: Evidence = {
      startedAt: this.clock.elapsed(),
      latencies,
      ratio: undefined,
      endedAt: undefined,
      isAnswered: false,
    };
    this.evidence.push(request);
    if (this.evidence.length > maxEvidence) this.mergeOldest();
    return request;
  }

  /** Records a complete answer. */
  public succeed(request: RunningRequest): void {
    this.finish(request, 1 - unhealthyLossShare, true);
    request.latencies.record(this.clock.elapsed() - request.startedAt);
  }

  /** Records a failure of the target. */
  public fail(request: RunningRequest): void {
    this.finish(request, failureRatio);
  }

  /** Records that a request was cancelled; its age at that time is kept as evidence. */
  public cancel(request: RunningRequest): void {
    this.finish(request, pendingRatio(request.latencies, this.clock.elapsed() - request.startedAt));
  }

  /** Discards a request that the target refused, since a refusal is no evidence. */
  public refuse(request: RunningRequest): void {
    this.evidence = this.evidence.filter((entry) => entry !== request);
  }

  /** Bayesian update of the unhealthy probability with one request. */
  private static update(
    probability: number,
    { ratio, latencies, startedAt }: Evidence,
    time: number,
  ) {
    const weight = probability * (ratio ?? pendingRatio(latencies, time - startedAt));
    const posterior = weight / (weight + 1 - probability);
    return Math.min(1 - minProbability, Math.max(minProbability, posterior));
  }

  private finish(request: RunningRequest, ratio: number, isAnswered = false): void {
    const entry = this.evidence.find((known) => known === request);
    if (entry === undefined) return;
    entry.ratio = ratio;
    entry.endedAt = this.clock.elapsed();
    entry.isAnswered = isAnswered;
  }

  /** Folds the oldest request into `baseProbability`. */
  private mergeOldest(): void {
    const oldest = this.evidence.shift();
    if (oldest === undefined) return;
    const probability = decay(this.baseProbability, oldest.startedAt - this.baseTime);
    this.baseProbability = HealthEstimator.update(probability, oldest, this.clock.elapsed());
    this.baseTime = oldest.startedAt;
  }
}
