import { left, right, type Either } from 'fp-ts/lib/Either.js';
import { RunningQuantile } from '../admission/RunningQuantile.js';
import type { RequestContext } from '../services/Types.js';
import type { Hedging, HedgeRefusal, HedgeSettings } from './Types.js';

/** Quantile of the route's latency after which a request is hedged. */
const hedgeQuantile = 0.95;

/** Minimum number of answers of a route before its quantile is used. */
const minimumSamples = 50;

/** Hedges idempotent requests after a learned latency quantile of their route. */
export class HedgePolicy implements Hedging {
  private readonly latencies = new Map<string, RunningQuantile>();

  public constructor(private readonly settings: HedgeSettings) {}

  public delayFor(context: RequestContext): Either<HedgeRefusal, number> {
    if (!this.settings.isEnabled(context.service)) return left('off');
    if (!context.isIdempotent) return left('not-idempotent');
    const latency = this.latencies.get(context.route);
    if (latency === undefined || latency.samples < minimumSamples) return left('not-learned');
    // Hedging a long request costs as much as many short requests.
    if (this.settings.isLong(context.route)) return left('long');
    // The second request takes about as long again.
    if (2 * latency.value > context.timeout) return left('deadline');
    return right(latency.value);
  }

  public record(route: string, latency: number): void {
    let quantile = this.latencies.get(route);
    if (quantile === undefined) {
      quantile = new RunningQuantile(hedgeQuantile);
      this.latencies.set(route, quantile);
    }
    quantile.record(latency);
  }
}
