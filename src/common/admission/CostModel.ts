import { RouteCost } from './RouteCost.js';
import type { CostEstimate } from './Types.js';

/** Work is long if its route takes more than this many times the median of the service. */
export const longRouteFactor = 4;

/** Assumed cost of a route before anything has been measured, in milliseconds. */
const initialCost = 10;

/** Smallest service time that is told apart, in milliseconds; a ratio of zeros says nothing. */
const smallestTime = 0.05;

/** Learns the time in a slot of each route of one service. Shared by the gates of the service in a daemon. */
export class CostModel implements CostEstimate {
  private readonly routes = new Map<string, RouteCost>();

  private readonly service = new RouteCost();

  public expected(route: string): number {
    return this.find(route)?.mean ?? initialCost;
  }

  public p90(route: string): number {
    return this.find(route)?.p90.value ?? initialCost;
  }

  public isLong(route: string): boolean {
    const cost = this.routes.get(route);
    if (cost === undefined || !cost.hasEnoughSamples) return false;
    return cost.median.value > longRouteFactor * this.service.median.value;
  }

  public record(route: string, time: number): void {
    const sample = Math.max(smallestTime, time);
    this.service.record(sample);
    this.ensure(route).record(sample);
  }

  private find(route: string): RouteCost | undefined {
    const cost = this.routes.get(route);
    if (cost?.hasEnoughSamples) return cost;
    return this.service.hasEnoughSamples ? this.service : undefined;
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
