import type { Clock, TargetId } from '../base/index.js';
import type { LoadPart, TargetEntry, TargetLoad } from '../services/Types.js';
import { FailureRate } from './FailureRate.js';
import type { LoadEstimate, LoadRecorder } from './Types.js';

/** Service times after which half of the load that others caused is taken to be gone. */
const halfLifeFactor = 2;

/** Shortest half-life in milliseconds. */
const leastHalfLife = 100;

/** Assumed service time before the first report, in milliseconds. */
const initialServiceTime = 10;

type Kind = 'short' | 'long';

interface Part {
  /** Requests of this entry that have not ended. */
  outstanding: number;
  /** Requests of others at the time of the report. */
  others: number;
  serviceTime: number;
}

interface Row {
  readonly short: Part;
  readonly long: Part;
  readonly failures: FailureRate;
  reportedAt: number;
}

/**
 * Last known load of each target, with its age. A report ages: the part caused by other entries fades,
 * while requests of this entry that are still outstanding always count in full.
 */
export class LoadTable implements LoadRecorder {
  private readonly rows = new Map<TargetId, Row>();

  private readonly longRoutes = new Set<string>();

  public constructor(private readonly clock: Clock) {}

  public sent(target: TargetId, route?: string): void {
    this.ensure(target)[this.kindOf(route)].outstanding += 1;
  }

  public failed(target: TargetId): void {
    this.ensure(target).failures.record(true, this.clock.elapsed());
  }

  public succeeded(target: TargetId): void {
    this.ensure(target).failures.record(false, this.clock.elapsed());
  }

  public ended(target: TargetId, load?: TargetLoad, route?: string): void {
    const row = this.ensure(target);
    const part = row[this.kindOf(route)];
    part.outstanding = Math.max(0, part.outstanding - 1);
    if (load === undefined) return;
    const { short = load, long } = load;
    LoadTable.update(row.short, short);
    if (long !== undefined) LoadTable.update(row.long, long);
    row.reportedAt = this.clock.elapsed();
    if (route !== undefined && load.isLong !== undefined) this.learnKind(route, load.isLong);
  }

  public estimate(target: TargetEntry, route?: string): LoadEstimate {
    const row = this.rows.get(target.id) ?? LoadTable.createRow();
    const age = this.clock.elapsed() - row.reportedAt;
    const kind = this.kindOf(route);
    const part = row[kind];
    const long = LoadTable.count(row.long, age);
    // Long work leaves one slot to short work, and short work is not kept from any free slot.
    const longLimit = Math.max(1, target.slots - 1);
    const slots = kind === 'long' ? longLimit : Math.max(1, target.slots - long);
    const total = kind === 'long' ? long : LoadTable.count(part, age);
    const serviceTime = part.serviceTime || initialServiceTime;
    const failureShare = row.failures.at(this.clock.elapsed());
    return { total, slots, serviceTime, age, failureShare };
  }

  /** Forgets targets that are no longer listed and have no request outstanding. */
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

  /** Requests that are out keep the kind with which they were sent only if the route keeps it. */
  private learnKind(route: string, isLong: boolean): void {
    if (isLong) this.longRoutes.add(route);
    else this.longRoutes.delete(route);
  }

  private static update(part: Part, { queued, running, serviceTime }: LoadPart): void {
    part.others = Math.max(0, queued + running - part.outstanding);
    part.serviceTime = serviceTime;
  }

  private static count({ outstanding, others, serviceTime }: Part, age: number): number {
    const halfLife = Math.max(leastHalfLife, halfLifeFactor * serviceTime);
    return outstanding + (others === 0 ? 0 : others * 0.5 ** (age / halfLife));
  }

  private static createRow(): Row {
    const createPart = (): Part => ({ outstanding: 0, others: 0, serviceTime: 0 });
    const failures = new FailureRate();
    return { short: createPart(), long: createPart(), failures, reportedAt: -Infinity };
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
