import type { WorkClass } from '../services/Types.js';

/** Minimum share of bulk work in the slot time left by critical work, so that it is delayed but not starved. */
export const minBulkShare = 1 / 8;

/** Weight of one start in the moving average, which covers about the last 100 starts. */
const smoothingFactor = 0.01;

/** Tracks how interactive and bulk work share the slot time left by critical work. */
export class ClassShare {
  /** Starts above the minimum, so that bulk work gets no preference during the first few starts. */
  private bulkShare: number = 2 * minBulkShare;

  /** Whether bulk work got less than its minimum share of the recent starts. */
  public get isBulkBelowShare(): boolean {
    return this.bulkShare < minBulkShare;
  }

  /** Counts a start, weighted by its expected cost relative to the mean cost, both in milliseconds. */
  public record(workClass: WorkClass, cost: number, meanCost: number): void {
    if (workClass === 'critical') return;
    // Before the first response the mean cost is unknown.
    const relativeCost = meanCost > 0 ? cost / meanCost : 1;
    const weight = Math.min(1, smoothingFactor * relativeCost);
    const sample = workClass === 'bulk' ? 1 : 0;
    this.bulkShare += weight * (sample - this.bulkShare);
  }
}
