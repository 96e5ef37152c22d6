import { brandAs, type Incarnation, type TargetId } from '../base/index.js';
import type { TargetReport } from './Types.js';

/** Ended targets that are remembered, so that a late report does not bring one back. */
const endedLimit = 64;

/** Last word of a target. */
interface Standing {
  readonly report: TargetReport;
  readonly hasEnded: boolean;
}

/** What a report changed. */
export type ReportEffect =
  | { readonly type: 'added' | 'updated' | 'replaced' | 'drained'; readonly report: TargetReport }
  | { readonly type: 'repeated' | 'stale' };

/** Incarnation of a target by the time of its start. */
export function targetIncarnation({ startedAt }: Pick<TargetReport, 'startedAt'>): Incarnation {
  return brandAs<Incarnation>(String(startedAt));
}

function isOlder(report: TargetReport, known: TargetReport): boolean {
  if (report.startedAt !== known.startedAt) return report.startedAt < known.startedAt;
  return report.sequence <= known.sequence;
}

/** Orders what targets say of themselves, whatever the order in which it arrives. */
export class TargetRegistry {
  private readonly standings = new Map<TargetId, Standing>();

  /** Targets that have not ended. */
  public get targets(): readonly TargetReport[] {
    return [...this.standings.values()]
      .filter(({ hasEnded }) => !hasEnded)
      .map(({ report }) => report);
  }

  /** Takes a report and tells what it changed. */
  public record(report: TargetReport): ReportEffect {
    const known = this.standings.get(report.id);
    if (known !== undefined) {
      if (isOlder(report, known.report)) return { type: 'stale' };
      if (known.report.startedAt === report.startedAt) return this.renew(known, report);
    }
    this.standings.set(report.id, { report, hasEnded: false });
    return { type: known === undefined || known.hasEnded ? 'added' : 'replaced', report };
  }

  /** Takes the farewell of a target; `startedAt` is absent if it does not say which incarnation ends. */
  public remove(id: TargetId, startedAt?: number): TargetReport | undefined {
    const known = this.standings.get(id);
    if (known === undefined || known.hasEnded) return undefined;
    if (startedAt !== undefined && startedAt < known.report.startedAt) return undefined;
    this.standings.delete(id);
    this.standings.set(id, { report: known.report, hasEnded: true });
    this.forgetOldest();
    return known.report;
  }

  private renew(known: Standing, report: TargetReport): ReportEffect {
    // A target that has left or drains does not take that back within one incarnation.
    if (known.hasEnded) return { type: 'stale' };
    if (known.report.state === 'draining' && report.state !== 'draining') return { type: 'stale' };
    this.standings.set(report.id, { report, hasEnded: false });
    if (report.state !== known.report.state) return { type: 'drained', report };
    const isSame = report.address === known.report.address && report.slots === known.report.slots;
    return isSame ? { type: 'repeated' } : { type: 'updated', report };
  }

  private forgetOldest(): void {
    const ended = [...this.standings].filter(([, { hasEnded }]) => hasEnded);
    const [oldest] = ended;
    if (ended.length > endedLimit && oldest !== undefined) this.standings.delete(oldest[0]);
  }
}
