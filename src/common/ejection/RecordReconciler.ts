import type { Clock, RandomSource, ServiceName, TargetId } from '../base/index.js';
import type { TargetAnnouncement } from '../services/Types.js';
import { Backoff } from './Backoff.js';
import type { EjectionRecord } from './EjectionRecord.js';

/** Milliseconds between attempts while the store does not respond. */
const retryDelay = { shortest: 1_000, longest: 30_000 };
/** Milliseconds until the record is checked again for a new target: its former home may have ejected it meanwhile. */
const recheckDelay = 10_000;

/** Dependencies of the reconciler. */
export interface RecordReconcilerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly record: (service: ServiceName) => EjectionRecord;
}

interface Removal {
  readonly service: ServiceName;
  readonly isFencing: boolean;
}

interface LookUp {
  readonly service: ServiceName;
  readonly dueAt: number;
  readonly isLast: boolean;
  readonly onListed: () => void;
}

/**
 * Reconciles the ejection record in the store with the state of the home: removes entries of released targets and
 * finds entries of targets that came from another home. Retries until the store responds.
 */
export class RecordReconciler {
  private readonly removals = new Map<TargetId, Removal>();

  private readonly lookUps = new Map<TargetId, LookUp>();

  private readonly backoff: Backoff;

  private isRunning = false;

  public constructor(private readonly options: RecordReconcilerOptions) {
    this.backoff = new Backoff(retryDelay.shortest, retryDelay.longest, options.random);
  }

  /** Schedules the removal of the entry of a target; `isFencing` as in `EjectionRecord.remove`. */
  public remove({ id, service }: TargetAnnouncement, isFencing = false): void {
    const isFenced = isFencing || this.removals.get(id)?.isFencing === true;
    this.removals.set(id, { service, isFencing: isFenced });
  }

  /** Whether a removal is pending. A new ejection must wait, or the removal could delete its entry. */
  public isRemoving(id: TargetId): boolean {
    return this.removals.has(id);
  }

  /** Calls `onListed` if the record lists the target, now or at the second check. */
  public lookUp({ id, service }: TargetAnnouncement, onListed: () => void): void {
    const dueAt = this.options.clock.elapsed();
    this.lookUps.set(id, { service, dueAt, isLast: false, onListed });
  }

  /** Cancels the pending work for a target. */
  public forget(id: TargetId): void {
    this.removals.delete(id);
    this.lookUps.delete(id);
  }

  /** Runs the work that is due; called periodically. */
  public advance(): void {
    const hasWork = this.removals.size > 0 || this.dueLookUps().length > 0;
    if (this.isRunning || !hasWork || !this.backoff.isDue(this.options.clock.elapsed())) return;
    void this.run();
  }

  private dueLookUps(): readonly (readonly [TargetId, LookUp])[] {
    const now = this.options.clock.elapsed();
    return [...this.lookUps].filter(([, lookUp]) => lookUp.dueAt <= now);
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    try {
      await this.runLookUps();
      await this.runRemovals();
      this.backoff.succeeded();
    } catch {
      // The store is unavailable; the remaining work stays in the maps for the next attempt.
      this.backoff.failed(this.options.clock.elapsed());
    }
    this.isRunning = false;
  }

  private async runLookUps(): Promise<void> {
    const due = this.dueLookUps();
    const services = new Set(due.map(([, { service }]) => service));
    for (const service of services) {
      const { entries } = await this.options.record(service).read();
      const listed = new Set(entries.map((entry) => entry.target));
      due
        .filter(([, lookUp]) => lookUp.service === service)
        .forEach(([id, lookUp]) => this.finishLookUp(id, lookUp, listed.has(id)));
    }
  }

  private finishLookUp(id: TargetId, lookUp: LookUp, isListed: boolean): void {
    if (this.lookUps.get(id) !== lookUp) return;
    const dueAt = this.options.clock.elapsed() + recheckDelay;
    if (lookUp.isLast || isListed) this.lookUps.delete(id);
    else this.lookUps.set(id, { ...lookUp, dueAt, isLast: true });
    if (isListed) lookUp.onListed();
  }

  private async runRemovals(): Promise<void> {
    for (const [id, removal] of [...this.removals]) {
      await this.options.record(removal.service).remove(id, removal.isFencing);
      if (this.removals.get(id) === removal) this.removals.delete(id);
    }
  }
}
