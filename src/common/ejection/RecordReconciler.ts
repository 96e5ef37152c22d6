import type { Clock, RandomSource, ServiceName, TargetId } from '../base/index.js';
import type { TargetAnnouncement } from '../services/Types.js';
import { Backoff } from './Backoff.js';
import type { EjectionRecord } from './EjectionRecord.js';

/** Milliseconds between tries while the store does not answer. */
const retryWait = { shortest: 1_000, longest: 30_000 };
/** Milliseconds after first contact of the second look: a former home may have ejected the target meanwhile. */
const secondLook = 10_000;

/** What the keeper works with. */
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
 * Brings the store's record in line with what the home has already done: removes entries of released targets and
 * finds entries of targets that came from another home. Both wait for the store as long as it takes.
 */
export class RecordReconciler {
  private readonly removals = new Map<TargetId, Removal>();

  private readonly lookUps = new Map<TargetId, LookUp>();

  private readonly backoff: Backoff;

  private isRunning = false;

  public constructor(private readonly options: RecordReconcilerOptions) {
    this.backoff = new Backoff(retryWait.shortest, retryWait.longest, options.random);
  }

  /** Removes the entry of a target when the store answers; `isFencing` as in `EjectionRecord.remove`. */
  public remove({ id, service }: TargetAnnouncement, isFencing = false): void {
    const isFenced = isFencing || this.removals.get(id)?.isFencing === true;
    this.removals.set(id, { service, isFencing: isFenced });
  }

  /** Whether an entry is still to be removed; a new ejection must wait, or the removal could take its entry out. */
  public isRemoving(id: TargetId): boolean {
    return this.removals.has(id);
  }

  /** Calls `onListed` if the record lists the target, now or at a second look. */
  public lookUp({ id, service }: TargetAnnouncement, onListed: () => void): void {
    const dueAt = this.options.clock.elapsed();
    this.lookUps.set(id, { service, dueAt, isLast: false, onListed });
  }

  /** Drops what is still to be done for a target. */
  public forget(id: TargetId): void {
    this.removals.delete(id);
    this.lookUps.delete(id);
  }

  /** Does what is due; called regularly. */
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
      // The store is away; what is left stays in the maps for the next try.
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
        .forEach(([id, lookUp]) => this.conclude(id, lookUp, listed.has(id)));
    }
  }

  private conclude(id: TargetId, lookUp: LookUp, isListed: boolean): void {
    if (this.lookUps.get(id) !== lookUp) return;
    const dueAt = this.options.clock.elapsed() + secondLook;
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
