import type { WorkClass } from '../services/Types.js';

/** Part of the slot time beside critical work that bulk work gets at least, so that it waits but arrives. */
export const minBulkShare = 1 / 8;

/** Weight of one start in the running share; about the last hundred starts count. */
const startWeight = 0.01;

/** Follows how interactive and bulk work share the slot time that critical work leaves. */
export class ClassShare {
  /** Starts above the share, so that the first few starts do not owe bulk work anything. */
  private bulk: number = 2 * minBulkShare;

  /** Whether bulk work has had less than its share of the last starts. */
  public get isBulkBelowShare(): boolean {
    return this.bulk < minBulkShare;
  }

  /** Counts a start with its expected cost in milliseconds, weighed against the mean cost of a start. */
  public record(workClass: WorkClass, cost: number, meanCost: number): void {
    if (workClass === 'critical') return;
    // Before the first answer there is no mean to weigh against.
    const relativeCost = meanCost > 0 ? cost / meanCost : 1;
    const weight = Math.min(1, startWeight * relativeCost);
    const sample = workClass === 'bulk' ? 1 : 0;
    this.bulk += weight * (sample - this.bulk);
  }
}
