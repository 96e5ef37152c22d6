import { brandAs, type Incarnation, type TargetId } from '../base/index.js';
import { NewestStarts } from './NewestStarts.js';
import type { TargetReport } from './Types.js';

/** Effect of a report. */
export type ReportEffect =
  | { readonly type: 'added' | 'updated' | 'replaced' | 'drained'; readonly report: TargetReport }
  | { readonly type: 'repeated' | 'stale' };

/** Incarnation of a target, derived from its start time. */
export function targetIncarnation({ startedAt }: Pick<TargetReport, 'startedAt'>): Incarnation {
  return brandAs<Incarnation>(String(startedAt));
}

function isOlder(report: TargetReport, known: TargetReport): boolean {
  if (report.startedAt !== known.startedAt) return report.startedAt < known.startedAt;
  return report.sequence <= known.sequence;
}

/** Targets of this home by their latest report; reports that arrive late or twice are ignored. */
export class TargetRegistry {
  private readonly reports = new Map<TargetId, TargetReport>();

  /** Targets that deregistered, whether they were known or not. */
  private readonly ended = new NewestStarts();

  /** Targets that started to leave while an earlier process of this daemon ran. */
  private readonly departed = new NewestStarts();

  /** Targets that have not ended. */
  public get targets(): readonly TargetReport[] {
    return [...this.reports.values()];
  }

  /** Start time of the newest known incarnation of a target, running or ended; undefined if none is known. */
  public newestStart(id: TargetId): number | undefined {
    return this.reports.get(id)?.startedAt ?? this.ended.get(id);
  }

  /** Applies a report and returns its effect. */
  public record(report: TargetReport): ReportEffect {
    if (this.ended.includes(report)) return { type: 'stale' };
    if (report.state === 'ready' && this.departed.includes(report)) return { type: 'stale' };
    const known = this.reports.get(report.id);
    if (known !== undefined) {
      if (isOlder(report, known)) return { type: 'stale' };
      if (known.startedAt === report.startedAt) return this.update(known, report);
    }
    this.reports.set(report.id, report);
    return { type: known === undefined ? 'added' : 'replaced', report };
  }

  /**
   * Marks a target as ended, up to the incarnation that started at `startedAt`, and returns its last report; undefined if
   * it is unknown or a later incarnation runs. Reports of an ended incarnation are ignored even if it was unknown.
   */
  public remove(id: TargetId, startedAt: number): TargetReport | undefined {
    this.ended.add(id, startedAt);
    const known = this.reports.get(id);
    if (known === undefined || startedAt < known.startedAt) return undefined;
    this.reports.delete(id);
    return known;
  }

  /**
   * Marks an incarnation as draining, whatever it announces later; undefined if another one is known or it drains already.
   */
  public drain(id: TargetId, startedAt: number): TargetReport | undefined {
    const known = this.reports.get(id);
    if (known?.startedAt !== startedAt || known.state === 'draining') return undefined;
    const report: TargetReport = { ...known, state: 'draining' };
    this.reports.set(id, report);
    return report;
  }

  /**
   * Records that a target started to leave before this process started, up to the incarnation that started at `startedAt`.
   * Returns its report as draining if it was taken for ready.
   */
  public restoreDeparture(id: TargetId, startedAt: number): TargetReport | undefined {
    this.departed.add(id, startedAt);
    const known = this.reports.get(id);
    return known !== undefined && this.departed.includes(known)
      ? this.drain(id, known.startedAt)
      : undefined;
  }

  private update(known: TargetReport, report: TargetReport): ReportEffect {
    // Within one incarnation, a target cannot return after it has started to drain.
    if (known.state === 'draining' && report.state !== 'draining') return { type: 'stale' };
    this.reports.set(report.id, report);
    if (report.state !== known.state) return { type: 'drained', report };
    const isSame = report.address === known.address && report.slots === known.slots;
    return isSame ? { type: 'repeated' } : { type: 'updated', report };
  }
}
