import type { Clock, TargetId } from '../base/index.js';
import type { LoadPart, TargetEntry, TargetLoad } from '../services/Types.js';
import { FailureRate } from './FailureRate.js';
import type { LoadEstimate, LoadRecorder } from './Types.js';

/** Half-life of the load caused by other entries, in service times. */
const halfLifeFactor = 2;

/** Minimum half-life in milliseconds. */
const minHalfLife = 100;

/** Assumed service time before the first report, in milliseconds. */
const initialServiceTime = 10;

type Kind = 'short' | 'long';

interface LoadCounts {
  /** Outstanding requests of this entry. */
  outstanding: number;
  /** Requests of other entries at the time of the report. */
  others: number;
  serviceTime: number;
}

interface Row {
  readonly short: LoadCounts;
  readonly long: LoadCounts;
  readonly failureRate: FailureRate;
  reportedAt: number;
}

/**
 * Last reported load of each target. The load caused by other entries decays with the age of the report,
 * while outstanding requests of this entry always count in full.
 */
export class LoadTable implements LoadRecorder {
  private readonly rows = new Map<TargetId, Row>();

  private readonly longRoutes = new Set<string>();

  public constructor(private readonly clock: Clock) {}

  public sent(target: TargetId, route?: string): void {
    this.ensure(target)[this.kindOf(route)].outstanding += 1;
  }

  public failed(target: TargetId): void {
    this.ensure(target).failureRate.record(true, this.clock.elapsed());
  }

  public succeeded(target: TargetId): void {
    this.ensure(target).failureRate.record(false, this.clock.elapsed());
  }

  public ended(target: TargetId, load?: TargetLoad, route?: string): void {
    const row = this.ensure(target);
    const counts = row[this.kindOf(route)];
    counts.outstanding = Math.max(0, counts.outstanding - 1);
    if (load === undefined) return;
    const { short = load, long } = load;
    LoadTable.update(row.short, short);
    if (long !== undefined) LoadTable.update(row.long, long);
    row.reportedAt = this.clock.elapsed();
    if (route !== undefined && load.isLong !== undefined) this.updateKind(route, load.isLong);
  }

  public estimate(target: TargetEntry, route?: string): LoadEstimate {
    const row = this.rows.get(target.id) ?? LoadTable.createRow();
    const age = this.clock.elapsed() - row.reportedAt;
    const kind = this.kindOf(route);
    const counts = row[kind];
    const long = LoadTable.count(row.long, age);
    // Long work leaves one slot to short work, while short work may use every free slot.
    const longLimit = Math.max(1, target.slots - 1);
    const slots = kind === 'long' ? longLimit : Math.max(1, target.slots - long);
    const total = kind === 'long' ? long : LoadTable.count(counts, age);
    const serviceTime = counts.serviceTime || initialServiceTime;
    const failureShare = row.failureRate.at(this.clock.elapsed());
    return { total, slots, serviceTime, age, failureShare };
  }

  /** Drops targets that are no longer listed and have no outstanding requests. */
  public retain(known: ReadonlySet<TargetId>): void {
    [...this.rows]
      .filter(
        ([id, { short, long }]) => !known.has(id) && short.outstanding + long.outstanding === 0,
      )
      .forEach(([id]) => this.rows.delete(id));
  }

  private kindOf(route: string | undefined): Kind {
    return route !== undefined && this.longRoutes.has(route) ? 'long' : 'short';
  }

  /** Outstanding requests are not moved: if the kind of their route changes, they end under the new kind. */
  private updateKind(route: string, isLong: boolean): void {
    if (isLong) this.longRoutes.add(route);
    else this.longRoutes.delete(route);
  }

  private static update(counts: LoadCounts, { queued, running, serviceTime }: LoadPart): void {
    counts.others = Math.max(0, queued + running - counts.outstanding);
    counts.serviceTime = serviceTime;
  }

  private static count({ outstanding, others, serviceTime }: LoadCounts, age: number): number {
    const halfLife = Math.max(minHalfLife, halfLifeFactor * serviceTime);
    return outstanding + (others === 0 ? 0 : others * 0.5 ** (age / halfLife));
  }

  private static createRow(): Row {
    const createCounts = (): LoadCounts => ({ outstanding: 0, others: 0, serviceTime: 0 });
    const failures = new FailureRate();
    return {
      short: createCounts(),
      long: createCounts(),
      failureRate: failures,
      reportedAt: -Infinity,
    };
  }

  private ensure(target: TargetId): Row {
    let row = this.rows.get(target);
    if (row === undefined) {
      row = LoadTable.createRow();
      this.rows.set(target, row);
    }
    return row;
  }
}
