import { RouteCost } from './RouteCost.js';
import type { CostEstimate } from './Types.js';

/** A route is long if its median time exceeds this multiple of the median of the service. */
export const longRouteFactor = 4;

/** Assumed cost of a route in milliseconds before the first measurement. */
const initialCost = 10;

/** Lower bound of recorded times in milliseconds, because a ratio of zeros is undefined. */
const minServiceTime = 0.05;

/** Learns how long requests of each route of a service hold a slot. Shared by its admission controllers in a daemon. */
export class CostModel implements CostEstimate {
  private readonly routes = new Map<string, RouteCost>();

  private readonly serviceCost = new RouteCost();

  public expected(route: string): number {
    return this.find(route)?.mean ?? initialCost;
  }

  public p90(route: string): number {
    return this.find(route)?.p90.value ?? initialCost;
  }

  public isLong(route: string): boolean {
    const cost = this.routes.get(route);
    if (cost === undefined || !cost.hasEnoughSamples) return false;
    return cost.median.value > longRouteFactor * this.serviceCost.median.value;
  }

  public record(route: string, time: number): void {
    const sample = Math.max(minServiceTime, time);
    this.serviceCost.record(sample);
    this.ensure(route).record(sample);
  }

  private find(route: string): RouteCost | undefined {
    const cost = this.routes.get(route);
    if (cost?.hasEnoughSamples) return cost;
    return this.serviceCost.hasEnoughSamples ? this.serviceCost : undefined;
  }

  private ensure(route: string): RouteCost {
    let cost = this.routes.get(route);
    if (cost === undefined) {
      cost = new RouteCost();
      this.routes.set(route, cost);
    }
    return cost;
  }
}
