import { brandAs, type Incarnation, type TargetId } from '../base/index.js';
import type { TargetReport } from './Types.js';

/** Number of ended targets that are kept, so that a late report does not add one again. */
const maxEnded = 64;

/** Last report of a target. */
interface RegisteredTarget {
  readonly report: TargetReport;
  readonly hasEnded: boolean;
}

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
  private readonly entries = new Map<TargetId, RegisteredTarget>();

  /** Targets that have not ended. */
  public get targets(): readonly TargetReport[] {
    return [...this.entries.values()]
      .filter(({ hasEnded }) => !hasEnded)
      .map(({ report }) => report);
  }

  /** Applies a report and returns its effect. */
  public record(report: TargetReport): ReportEffect {
    const known = this.entries.get(report.id);
    if (known !== undefined) {
      if (isOlder(report, known.report)) return { type: 'stale' };
      if (known.report.startedAt === report.startedAt) return this.update(known, report);
    }
    this.entries.set(report.id, { report, hasEnded: false });
    return { type: known === undefined || known.hasEnded ? 'added' : 'replaced', report };
  }

  /**
   * Marks a target as ended and returns its last report; undefined if it is unknown or a later incarnation runs.
   * `startedAt` identifies the incarnation that ends, if known.
   */
  public remove(id: TargetId, startedAt?: number): TargetReport | undefined {
    const known = this.entries.get(id);
    if (known === undefined || known.hasEnded) return undefined;
    if (startedAt !== undefined && startedAt < known.report.startedAt) return undefined;
    this.entries.delete(id);
    this.entries.set(id, { report: known.report, hasEnded: true });
    this.removeOldestEnded();
    return known.report;
  }

  /**
   * Marks an incarnation as draining, whatever it announces later; undefined if another one is known or it drains already.
   */
  public drain(id: TargetId, startedAt: number): TargetReport | undefined {
    const known = this.entries.get(id);
    if (known === undefined || known.hasEnded || known.report.startedAt !== startedAt) {
      return undefined;
    }
    if (known.report.state === 'draining') return undefined;
    const report: TargetReport = { ...known.report, state: 'draining' };
    this.entries.set(id, { report, hasEnded: false });
    return report;
  }

  private update(known: RegisteredTarget, report: TargetReport): ReportEffect {
    // Within one incarnation, a target cannot return after it has ended or started to drain.
    if (known.hasEnded) return { type: 'stale' };
    if (known.report.state === 'draining' && report.state !== 'draining') return { type: 'stale' };
    this.entries.set(report.id, { report, hasEnded: false });
    if (report.state !== known.report.state) return { type: 'drained', report };
    const isSame = report.address === known.report.address && report.slots === known.report.slots;
    return isSame ? { type: 'repeated' } : { type: 'updated', report };
  }

  private removeOldestEnded(): void {
    const ended = [...this.entries].filter(([, { hasEnded }]) => hasEnded);
    const [oldest] = ended;
    if (ended.length > maxEnded && oldest !== undefined) this.entries.delete(oldest[0]);
  }
}
