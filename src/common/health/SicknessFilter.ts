import type { Clock } from '../base/index.js';
import type { RouteTimes } from './RouteTimes.js';

/** Share of requests that a sick target loses; gray failures lose most, but not all. */
export const lossShare = 0.75;
/** Probability of sickness of a target of which nothing is known. */
const priorProbability = 0.15;
/** Milliseconds after which old evidence counts e times less: sick spells last some seconds. */
const memory = 5_000;
/** Bound of the remembered evidence, so that a change is believed after two or three requests. */
const evidenceBound = 3.5;
/** Evidence of a failure that the target itself reported or caused; healthy ones fail one request in a hundred. */
const failureEvidence = 2.2;
/** Evidence of an answer: a sick target gives a quarter of the answers that a healthy one gives. */
const successEvidence = Math.log(1 - lossShare);

/** Log-odds of a probability. */
export function logit(probability: number): number {
  return Math.log(probability / (1 - probability));
}

/** Probability of given log-odds. */
export function probabilityOf(odds: number): number {
  return 1 / (1 + Math.exp(-odds));
}

const priorOdds = logit(priorProbability);

/** Log-odds after `age` milliseconds without new evidence; they return to those of an unknown target. */
export function fadeOdds(odds: number, age: number): number {
  return priorOdds + (odds - priorOdds) * Math.exp(-Math.max(0, age) / memory);
}

/** Log-odds of a target of which nothing is known. */
export const unknownOdds = priorOdds;

/** A request that runs at the target. */
export interface RunningRequest {
  readonly startedAt: number;
  readonly times: RouteTimes;
}

/**
 * Estimates whether a target hangs or fails most of its requests. Answers and failures move remembered
 * log-odds that fade; each running request adds evidence by its age, so that a silent target is suspected
 * before any of its requests has failed.
 */
export class SicknessFilter {
  private odds = priorOdds;

  private at: number;

  private readonly running = new Set<RunningRequest>();

  public constructor(private readonly clock: Clock) {
    this.at = clock.elapsed();
  }

  /** Log-odds of sickness now. */
  public get now(): number {
    const time = this.clock.elapsed();
    let odds = fadeOdds(this.odds, time - this.at);
    this.running.forEach(({ startedAt, times }) => {
      const survival = times.survival(time - startedAt);
      odds += Math.log((lossShare + (1 - lossShare) * survival) / survival);
    });
    return odds;
  }

  /** Adds a request that starts now. */
  public start(times: RouteTimes): RunningRequest {
    const request = { startedAt: this.clock.elapsed(), times };
    this.running.add(request);
    return request;
  }

  /** Takes a whole answer as evidence. */
  public succeed(request: RunningRequest): void {
    this.settle(request, successEvidence);
    request.times.record(this.clock.elapsed() - request.startedAt);
  }

  /** Takes a failure of the target as evidence. */
  public fail(request: RunningRequest): void {
    this.settle(request, failureEvidence);
  }

  /** Forgets a request that was cancelled; what its age showed stays as evidence. */
  public cancel(request: RunningRequest): void {
    const survival = request.times.survival(this.clock.elapsed() - request.startedAt);
    this.settle(request, Math.log((lossShare + (1 - lossShare) * survival) / survival));
  }

  /** Forgets a request that the target has refused. */
  public refuse(request: RunningRequest): void {
    this.running.delete(request);
  }

  private settle(request: RunningRequest, evidence: number): void {
    if (!this.running.delete(request)) return;
    const time = this.clock.elapsed();
    const odds = fadeOdds(this.odds, time - this.at) + evidence;
    this.odds = Math.min(evidenceBound, Math.max(-evidenceBound, odds));
    this.at = time;
  }
}
