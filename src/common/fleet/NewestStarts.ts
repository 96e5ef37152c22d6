import type { TargetId } from '../base/index.js';
import type { TargetReport } from './Types.js';

/** Number of targets that are remembered, so that a late report does not add one again. */
const maxTargets = 1_024;

/** Start time of the newest incarnation of each target that something holds for, and for all earlier ones. */
export class NewestStarts {
  private readonly starts = new Map<TargetId, number>();

  public get(id: TargetId): number | undefined {
    return this.starts.get(id);
  }

  public includes({ id, startedAt }: Pick<TargetReport, 'id' | 'startedAt'>): boolean {
    return startedAt <= (this.starts.get(id) ?? -Infinity);
  }

  public add(id: TargetId, startedAt: number): void {
    const newest = Math.max(startedAt, this.starts.get(id) ?? -Infinity);
    this.starts.delete(id);
    this.starts.set(id, newest);
    const [oldest] = this.starts.keys();
    if (this.starts.size > maxTargets && oldest !== undefined) this.starts.delete(oldest);
  }
}
