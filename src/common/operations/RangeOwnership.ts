import {
  Emitter,
  type Clock,
  type DaemonId,
  type Disposable,
  type Incarnation,
  type LogSink,
  type RandomSource,
} from '../base/index.js';
import type { Store } from '../services/Types.js';
import { withDeadline } from './timeouts.js';
import { Journal } from './Journal.js';
import { preferredOwner, rangeCount } from './KeyRanges.js';
import { OperationLedger, type LedgerLimits } from './OperationLedger.js';
import { ownerLeaseSeconds, OwnerRecords } from './OwnerRecords.js';
import type { AuthorityMember, RangeNumber, TextHash } from './Types.js';

/** Milliseconds between two checks for ranges without an owner. */
const checkInterval = 1000;
const renewInterval = (ownerLeaseSeconds * 1000) / 3;
/**
 * Milliseconds between two checks of a range that another live daemon reports as its own. That daemon may be
 * disconnected from the store, so its report alone is not enough.
 */
const claimedCheckInterval = ownerLeaseSeconds * 1000;
/** Milliseconds between two deletions of old segments. 100 segments are 12.5 s of writing at the full rate. */
const deletionInterval = 10_000;
/** Milliseconds between two generations of the archives. */
const generationInterval = 60 * 60 * 1000;

/** Dependencies of `RangeOwnership`. */
export interface OwnershipContext {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly hash: TextHash;
  readonly log: LogSink;
  readonly daemon: DaemonId;
  readonly incarnation: Incarnation;
  /** All other known members. */
  readonly others: () => readonly AuthorityMember[];
  /** Limits on the operations and answer bytes of all ranges together, and on the recent answers of each range. */
  readonly limits: LedgerLimits;
  /** Milliseconds for which finished operations are kept. */
  readonly retention: number;
}

/** Range that this daemon owns. */
export interface OwnedRange {
  readonly ledger: OperationLedger;
  readonly log: Journal;
}

/** Takes over the key ranges for which this daemon is the preferred owner and gives them up on a planned stop. */
export class RangeOwnership implements Disposable {
  private readonly owned = new Map<RangeNumber, OwnedRange>();

  private readonly acquiring = new Set<RangeNumber>();

  private readonly checkedAt = new Map<RangeNumber, number>();

  private readonly journals = new Set<Journal>();

  private readonly changes = new Emitter<readonly RangeNumber[]>();

  private readonly records: OwnerRecords;

  private timers: Disposable[] = [];

  private term = 0;

  private isStopping = false;

  /** Fires with the owned ranges after each change. */
  public readonly onChange = this.changes.event;

  public constructor(private readonly context: OwnershipContext) {
    const { store, clock, daemon, incarnation } = context;
    this.records = new OwnerRecords(store, clock, { daemon, incarnation });
  }

  /** Ranges that this daemon owns, ascending. */
  public get ranges(): readonly RangeNumber[] {
    return [...this.owned.keys()].sort((left, right) => left - right);
  }

  /** Ledger and journal of an owned range; undefined for any other range and during a planned stop. */
  public recordsOf(range: RangeNumber): OwnedRange | undefined {
    return this.isStopping ? undefined : this.owned.get(range);
  }

  /** Starts to take over ranges. */
  public start(): void {
    this.runPeriodically(checkInterval, () => this.check());
    this.runPeriodically(renewInterval, () => this.renew());
    this.runPeriodically(deletionInterval, () => this.deleteExpired());
    this.runPeriodically(generationInterval, () => this.startGenerations());
  }

  /** Planned stop: flushes the journals, then gives the ranges up. Waits until `deadline` at the latest. */
  public async stop(deadline: number): Promise<void> {
    this.isStopping = true;
    const flushed = Promise.all([...this.owned.values()].map(({ log }) => log.flush()));
    await withDeadline(this.context.clock, deadline, flushed);
    this.dispose();
    const released = this.records.release().catch((error: unknown) => this.warn('release', error));
    await withDeadline(this.context.clock, deadline, released);
  }

  public dispose(): void {
    this.isStopping = true;
    this.timers.forEach((timer) => timer.dispose());
    this.timers = [];
    [...this.journals].forEach((journal) => journal.dispose());
  }

  private runPeriodically(interval: number, task: () => Promise<void> | void): void {
    const { random } = this.context;
    const run = async (): Promise<void> => {
      await task();
      if (!this.isStopping) this.schedule(interval * (0.75 + random() / 2), run);
    };
    // Spreads the first run of daemons that start together over one interval.
    this.schedule(interval * random(), run);
  }

  private schedule(delay: number, run: () => Promise<void>): void {
    const timer = this.context.clock.after(delay, () => {
      this.timers = this.timers.filter((other) => other !== timer);
      void run();
    });
    this.timers.push(timer);
  }

  private check(): void {
    const { clock, daemon, hash } = this.context;
    const others = this.context.others();
    const live = others.filter(({ isLive }) => isLive);
    const ids = [daemon, ...live.map(({ id }) => id)];
    for (let range = 0; range < rangeCount; range += 1) {
      const isClaimed = live.some(({ ranges }) => ranges.includes(range));
      const pause = isClaimed ? claimedCheckInterval : 0;
      const isDue = clock.elapsed() - (this.checkedAt.get(range) ?? -Infinity) >= pause;
      if (isDue && preferredOwner(range, ids, hash) === daemon) void this.acquire(range);
    }
  }

  private async acquire(range: RangeNumber): Promise<void> {
    if (this.owned.has(range) || this.acquiring.has(range) || this.isStopping) return;
    this.acquiring.add(range);
    this.checkedAt.set(range, this.context.clock.elapsed());
    try {
      if (await this.records.claim(range)) await this.takeOver(range);
    } catch (error) {
      this.warn('take over', error, range);
    } finally {
      this.acquiring.delete(range);
    }
  }

  private async takeOver(range: RangeNumber): Promise<void> {
    const ledger = new OperationLedger(this.context.hash, this.createLimits());
    const log = this.createJournal(range, ledger);
    try {
      await log.takeOver((record, sequence) => ledger.replay(record, sequence));
    } catch (error) {
      log.dispose();
      throw error;
    }
    if (this.isStopping) return;
    this.owned.set(range, { ledger, log });
    this.report(range, 'took over a key range', ledger.size);
  }

  /** Limits of one ledger: an equal part of the limits of this daemon. */
  private createLimits(): LedgerLimits {
    const { owned } = this;
    const { operations, recentAnswers, answerBytes } = this.context.limits;
    return {
      get operations() {
        return Math.floor(operations / Math.max(1, owned.size));
      },
      recentAnswers,
      get answerBytes() {
        return Math.floor(answerBytes / Math.max(1, owned.size));
      },
    };
  }

  private createJournal(range: RangeNumber, ledger: OperationLedger): Journal {
    const { store, clock, random, incarnation, retention } = this.context;
    this.term += 1;
    const writer = `${incarnation}.${this.term}`;
    const journal: Journal = new Journal(
      range,
      { store, clock, random, writer },
      {
        retention,
        onWritten: (key, sequence) => ledger.markWritten(key, sequence),
        onFenced: () => this.giveUp(range, ledger, journal),
      },
    );
    this.journals.add(journal);
    return journal;
  }

  private giveUp(range: RangeNumber, ledger: OperationLedger, journal: Journal): void {
    this.journals.delete(journal);
    ledger.releaseUnstarted();
    if (this.owned.get(range)?.log !== journal) return;
    this.owned.delete(range);
    this.report(range, 'gave up a key range', ledger.size);
  }

  private async renew(): Promise<void> {
    if (this.owned.size === 0 || (await this.records.renew())) return;
    for (const [range, { log }] of [...this.owned]) await this.claimAgain(range, log);
  }

  /** Renews the record of an owned range after the lease has expired. */
  private async claimAgain(range: RangeNumber, journal: Journal): Promise<void> {
    try {
      if (!(await this.records.claim(range))) journal.dispose();
    } catch (error) {
      // While the store is unavailable no other daemon can take over, and if one has, the journal fences this daemon.
      this.warn('renew', error, range);
    }
  }

  private async deleteExpired(): Promise<void> {
    for (const [range, { ledger, log }] of [...this.owned]) {
      try {
        ledger.pruneThrough(await log.deleteExpired());
      } catch (error) {
        this.warn('delete old segments', error, range);
      }
    }
  }

  private startGenerations(): void {
    this.owned.forEach(({ ledger }) => ledger.startGeneration());
  }

  private report(range: RangeNumber, message: string, operations: number): void {
    const fields = { range, operations, step: 'operations.ownership' };
    this.context.log.write({ level: 'info', kind: 'operation', message, fields });
    this.changes.fire(this.ranges);
  }

  private warn(step: string, error: unknown, range?: RangeNumber): void {
    const fields = { range, error: String(error), step: `operations.${step.replaceAll(' ', '-')}` };
    const message = `cannot ${step}`;
    this.context.log.write({ level: 'warn', kind: 'operation', message, fields });
  }
}
