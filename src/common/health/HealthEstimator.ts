import type { Clock } from '../base/index.js';
import type { LatencyDistribution } from './LatencyDistribution.js';

/** Share of requests that a sick target loses; gray failures lose most, but not all. */
export const unhealthyLossShare = 0.8;
/** Share of the time that a target is sick if nothing is known of it. */
const priorProbability = 0.15;
/** Milliseconds after which old evidence counts e times less: sick spells last some seconds. */
const memory = 8_000;
/** How much likelier a failure that the target reported or caused is if it is sick. */
const failureRatio = 9;
/** Neither health nor sickness is more certain than this, so that a few requests can show a change. */
const leastProbability = 0.002;
/** Requests of which the evidence is kept apart; twice the slots of large targets. */
const maxEvidence = 32;

/** Log-odds of a probability. */
export function logit(probability: number): number {
  return Math.log(probability / (1 - probability));
}

/** Probability of given log-odds. */
export function logistic(odds: number): number {
  return 1 / (1 + Math.exp(-odds));
}

/** Probability of sickness `age` milliseconds later: spells begin and end meanwhile. */
function drift(probability: number, age: number): number {
  return priorProbability + (probability - priorProbability) * Math.exp(-Math.max(0, age) / memory);
}

/** Log-odds of a target of which nothing is known. */
export const priorLogOdds = logit(priorProbability);

/** Log-odds after `age` milliseconds without new evidence; they return to those of an unknown target. */
export function decayLogOdds(odds: number, age: number): number {
  return logit(drift(logistic(odds), age));
}

/** A request that runs at the target. */
export interface RunningRequest {
  readonly startedAt: number;
  readonly latencies: LatencyDistribution;
}

/** A request with how much likelier its fate so far is at a sick target than at a healthy one. */
interface Evidence extends RunningRequest {
  /** Undefined while the request runs; its age is the evidence then. */
  ratio: number | undefined;
  /** Time of its end; undefined while it runs. */
  until: number | undefined;
  isAnswered: boolean;
}

/** How much likelier it is that a request still runs at this age if the target is sick. */
function silenceRatio(times: LatencyDistribution, age: number): number {
  const survival = times.survival(age);
  return (unhealthyLossShare + (1 - unhealthyLossShare) * survival) / survival;
}

/**
 * Estimates whether a target hangs or fails most of its requests. The target is taken to change between healthy and
 * sick at any time, and the fate of a request tells of the time at which it started: answers of older requests do not
 * speak for a target whose newer ones are silent. The age of running requests counts, so that a silent target is
 * suspected before any of its requests has failed.
 */
export class HealthEstimator {
  /** In the order of their starts. */
  private evidence: Evidence[] = [];

  /** Probability of sickness at `at` by the requests that are no longer kept. */
  private base = priorProbability;

  private at: number;

  public constructor(private readonly clock: Clock) {
    this.at = clock.elapsed();
  }

  /** Log-odds of sickness now. */
  public get logOdds(): number {
    const time = this.clock.elapsed();
    let probability = this.base;
    let { at } = this;
    // Silence of the requests that started last lasts until now or until they ended.
    let silentUntil = at;
    this.evidence.forEach((entry) => {
      const { startedAt, isAnswered, until = time } = entry;
      probability = HealthEstimator.update(drift(probability, startedAt - at), entry, time);
      at = startedAt;
      silentUntil = isAnswered ? startedAt : Math.max(silentUntil, until);
    });
    return logit(drift(probability, time - Math.max(at, silentUntil)));
  }

  /** Adds a request that starts now. */
  public start(times: LatencyDistribution): RunningRequest {
    const request: Evidence = {
      startedAt: this.clock.elapsed(),
      latencies: times,
      ratio: undefined,
      until: undefined,
      isAnswered: false,
    };
    this.evidence.push(request);
    if (this.evidence.length > maxEvidence) this.absorbOldest();
    return request;
  }

  /** Takes a whole answer as evidence. */
  public succeed(request: RunningRequest): void {
    this.settle(request, 1 - unhealthyLossShare, true);
    request.latencies.record(this.clock.elapsed() - request.startedAt);
  }

  /** Takes a failure of the target as evidence. */
  public fail(request: RunningRequest): void {
    this.settle(request, failureRatio);
  }

  /** Ends a request that was cancelled; what its age showed stays as evidence. */
  public cancel(request: RunningRequest): void {
    this.settle(request, silenceRatio(request.latencies, this.clock.elapsed() - request.startedAt));
  }

  /** Forgets a request that the target has refused. */
  public refuse(request: RunningRequest): void {
    this.evidence = this.evidence.filter((entry) => entry !== request);
  }

  /** Probability of sickness after the fate of one request. */
  private static update(
    probability: number,
    { ratio, latencies: times, startedAt }: Evidence,
    time: number,
  ) {
    const weight = probability * (ratio ?? silenceRatio(times, time - startedAt));
    const posterior = weight / (weight + 1 - probability);
    return Math.min(1 - leastProbability, Math.max(leastProbability, posterior));
  }

  private settle(request: RunningRequest, ratio: number, isAnswered = false): void {
    const entry = this.evidence.find((known) => known === request);
    if (entry === undefined) return;
    entry.ratio = ratio;
    entry.until = this.clock.elapsed();
    entry.isAnswered = isAnswered;
  }

  private absorbOldest(): void {
    const oldest = this.evidence.shift();
    if (oldest === undefined) return;
    const probability = drift(this.base, oldest.startedAt - this.at);
    this.base = HealthEstimator.update(probability, oldest, this.clock.elapsed());
    this.at = oldest.startedAt;
  }
}
