import { left, right, type Either } from 'fp-ts/lib/Either.js';
import { RunningQuantile } from '../admission/RunningQuantile.js';
import type { RequestContext } from '../services/Types.js';
import type { Hedging, HedgeRefusal, HedgeSettings } from './Types.js';

/** A second copy follows when the request is slower than this share of its route. */
const hedgeShare = 0.95;

/** Answers of a route that are needed before its quantile is used. */
const minimumSamples = 50;

/** Hedges idempotent requests after the learned quantile of their route. */
export class HedgePolicy implements Hedging {
  private readonly latencies = new Map<string, RunningQuantile>();

  public constructor(private readonly settings: HedgeSettings) {}

  public delayFor(context: RequestContext): Either<HedgeRefusal, number> {
    if (!this.settings.isEnabled(context.service)) return left('off');
    if (!context.isIdempotent) return left('not-idempotent');
    const latency = this.latencies.get(context.route);
    if (latency === undefined || latency.samples < minimumSamples) return left('not-learned');
    // A copy of long work costs as much as many short requests.
    if (this.settings.isLong(context.route)) return left('long');
    // The copy needs about as long again.
    if (2 * latency.value > context.timeout) return left('deadline');
    return right(latency.value);
  }

  public record(route: string, latency: number): void {
    let quantile = this.latencies.get(route);
    if (quantile === undefined) {
      quantile = new RunningQuantile(hedgeShare);
      this.latencies.set(route, quantile);
    }
    quantile.record(latency);
  }
}
