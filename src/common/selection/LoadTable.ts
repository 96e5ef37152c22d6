import type { Clock, TargetId } from '../base/index.js';
import type { TargetEntry, TargetLoad } from '../services/Types.js';
import type { LoadEstimate, LoadRecorder } from './Types.js';

/** Milliseconds after which half of the load that others caused is taken to be gone. */
const halfLife = 500;

/** Assumed service time before the first report, in milliseconds. */
const initialServiceTime = 10;

interface Row {
  /** Requests of this entry that have not ended. */
  outstanding: number;
  /** Requests of others at the time of the report. */
  others: number;
  serviceTime: number;
  reportedAt: number;
}

/**
 * Last known load of each target, with its age. A report ages: the part caused by other entries fades,
 * while requests of this entry that are still outstanding always count in full.
 */
export class LoadTable implements LoadRecorder {
  private readonly rows = new Map<TargetId, Row>();

  public constructor(private readonly clock: Clock) {}

  public sent(target: TargetId): void {
    this.ensure(target).outstanding += 1;
  }

  public ended(target: TargetId, load?: TargetLoad): void {
    const row = this.ensure(target);
    row.outstanding = Math.max(0, row.outstanding - 1);
    if (load === undefined) return;
    row.others = Math.max(0, load.queued + load.running - row.outstanding);
    row.serviceTime = load.serviceTime;
    row.reportedAt = this.clock.elapsed();
  }

  public estimate(target: TargetEntry): LoadEstimate {
    const row = this.rows.get(target.id);
    if (row === undefined) return LoadTable.unknown(target);
    const age = this.clock.elapsed() - row.reportedAt;
    const others = row.others * 0.5 ** (age / halfLife);
    return {
      total: row.outstanding + others,
      slots: target.slots,
      serviceTime: row.serviceTime || initialServiceTime,
      age,
    };
  }

  /** Forgets targets that are no longer listed and have no request outstanding. */
  public retain(known: ReadonlySet<TargetId>): void {
    [...this.rows]
      .filter(([id, row]) => !known.has(id) && row.outstanding === 0)
      .forEach(([id]) => this.rows.delete(id));
  }

  private static unknown(target: TargetEntry): LoadEstimate {
    return { total: 0, slots: target.slots, serviceTime: initialServiceTime, age: Infinity };
  }

  private ensure(target: TargetId): Row {
    let row = this.rows.get(target);
    if (row === undefined) {
      row = { outstanding: 0, others: 0, serviceTime: 0, reportedAt: -Infinity };
      this.rows.set(target, row);
    }
    return row;
  }
}
