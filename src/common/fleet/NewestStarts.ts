import type { TargetId } from '../base/index.js';
import type { TargetReport } from './Types.js';

/** Number of targets that are remembered, so that a late report does not add one again. */
const maxTargets = 1_024;

/** Incarnations of targets: of each target, all that started up to the newest start time that was added. */
export class NewestStarts {
  private readonly starts = new Map<TargetId, number>();

  /** Newest start time that was added for a target. */
  public get(id: TargetId): number | undefined {
    return this.starts.get(id);
  }

  /** Whether an incarnation is one of them. */
  public includes({ id, startedAt }: Pick<TargetReport, 'id' | 'startedAt'>): boolean {
    return startedAt <= (this.starts.get(id) ?? -Infinity);
  }

  /** Adds an incarnation and all earlier ones. */
  public add(id: TargetId, startedAt: number): void {
    const newest = Math.max(startedAt, this.starts.get(id) ?? -Infinity);
    this.starts.delete(id);
    this.starts.set(id, newest);
    const [oldest] = this.starts.keys();
    if (this.starts.size > maxTargets && oldest !== undefined) this.starts.delete(oldest);
  }
}
