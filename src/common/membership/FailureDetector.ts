import { DisposableStore, sampleItems } from '../base/index.js';
import type { Clock, DaemonId, Disposable, LogSink, RandomSource } from '../base/index.js';
import { isGone, versionOf } from './MemberOrder.js';
import type { MemberTable } from './MemberTable.js';
import { pauseThresholdMs } from './Prober.js';
import type { Prober } from './Prober.js';
import type { MemberRecord, MemberVersion } from './Types.js';

/** Milliseconds between two probes. */
export const probePeriodMs = 1000;

/** Milliseconds that a suspected member has to refute the suspicion. */
export const suspicionTimeoutMs = 3000;

/**
 * Milliseconds after which daemons that only heard of a suspicion check the member themselves. It is longer, so that
 * normally the daemon that suspects decides, and finite, because that daemon can fail too.
 */
export const remoteSuspicionTimeoutMs = 2 * suspicionTimeoutMs;

/** Checks of a member that peers call dead start within this many milliseconds, so that a refutation can come first. */
export const deathReportCheckJitterMs = 500;

interface Suspicion {
  readonly seen: MemberVersion;
  readonly due: number;
  readonly timer: Disposable;
}

/** Parts that the detector works with. */
export interface FailureDetectorOptions {
  readonly table: MemberTable;
  readonly prober: Prober;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Passes a suspicion to the suspected member itself, so that it can refute at once. */
  readonly notify: (member: MemberRecord) => void;
  readonly log: LogSink;
}

/** Probes members, suspects those that do not answer, and declares them dead unless they refute. */
export class FailureDetector implements Disposable {
  private readonly owned = new DisposableStore();

  private readonly suspicions = new Map<DaemonId, Suspicion>();

  private cycle: DaemonId[] = [];

  private timer: Disposable | undefined;

  private isDisposed = false;

  public constructor(private readonly options: FailureDetectorOptions) {
    const { table } = options;
    this.owned.add(table.onChange(({ after }) => this.follow(after)));
    this.owned.add(table.onDeathReport((record) => this.checkClaim(record)));
  }

  /** Starts probing. */
  public start(): void {
    const { clock, random } = this.options;
    this.timer = clock.after(random() * probePeriodMs, () => this.tick());
  }

  public dispose(): void {
    this.isDisposed = true;
    this.timer?.dispose();
    this.suspicions.forEach(({ timer }) => timer.dispose());
    this.suspicions.clear();
    this.owned.dispose();
  }

  private tick(): void {
    if (this.isDisposed) return;
    this.timer = this.options.clock.after(probePeriodMs, () => this.tick());
    const member = this.nextMember();
    if (member !== undefined) void this.probe(member);
  }

  /** Members come in a random order, each once before any comes again, so that none is left out for long. */
  private nextMember(): MemberRecord | undefined {
    if (this.cycle.length === 0) this.cycle = this.shuffledMembers();
    while (this.cycle.length > 0) {
      const id = this.cycle.pop() as DaemonId;
      const record = this.options.table.get(id);
      if (record !== undefined && !isGone(record.status)) return record;
    }
    return undefined;
  }

  private shuffledMembers(): DaemonId[] {
    const { table, random } = this.options;
    const ids = table.live().flatMap(({ id }) => (id === table.self.id ? [] : [id]));
    return sampleItems(random, ids, ids.length);
  }

  private async probe(member: MemberRecord): Promise<void> {
    const reach = await this.options.prober.probe(member);
    if (this.isDisposed) return;
    if (reach === 'direct') this.passSuspicion(member.id);
    if (reach === 'failed') this.suspect(member);
  }

  private suspect(member: MemberRecord): void {
    const { table } = this.options;
    const present = table.get(member.id);
    if (present === undefined || present.version !== member.version) return;
    // A leaving member gets no new work, and `suspect` in its record would hide that it is leaving.
    const status = present.status === 'leaving' ? 'dead' : 'suspect';
    const seen = versionOf(present);
    if (table.declare(seen, status)) this.write(status, seen);
    if (status === 'dead') return;
    this.decideAfter(seen, suspicionTimeoutMs, () => this.declareDead(seen));
    this.options.notify(present);
  }

  /** Follows what peers say: a suspicion needs an end even if the daemon that raised it fails. */
  private follow(record: MemberRecord | undefined): void {
    if (record === undefined || record.id === this.options.table.self.id) return;
    const held = this.suspicions.get(record.id)?.seen;
    const isSame = held?.version === record.version && held.incarnation === record.incarnation;
    if (held !== undefined && (record.status !== 'suspect' || !isSame)) this.clear(record.id);
    if (record.status !== 'suspect') return;
    const seen = versionOf(record);
    this.decideAfter(seen, remoteSuspicionTimeoutMs, () => this.check(seen));
  }

  /** What a peer says of a dead member is checked before it is taken over. */
  private checkClaim(record: MemberRecord): void {
    const seen = versionOf(record);
    const delay = this.options.random() * deathReportCheckJitterMs;
    this.decideAfter(seen, delay, () => this.check(seen));
  }

  private check(seen: MemberVersion): void {
    void this.checkReach(seen);
  }

  private async checkReach(seen: MemberVersion): Promise<void> {
    const { table, prober } = this.options;
    const member = table.get(seen.id);
    if (member?.version !== seen.version || isGone(member.status)) return;
    const reach = await prober.probe(member);
    if (this.isDisposed) return;
    if (reach === 'failed') this.declareDead(seen);
    else this.keepSuspicion(seen, reach === 'direct');
  }

  private keepSuspicion(seen: MemberVersion, isDirect: boolean): void {
    const present = this.options.table.get(seen.id);
    if (present?.status !== 'suspect' || present.version !== seen.version) return;
    this.decideAfter(seen, remoteSuspicionTimeoutMs, () => this.check(seen));
    if (isDirect) this.options.notify(present);
  }

  /** Replaces a later decision about the same member, and leaves an earlier one. */
  private decideAfter(seen: MemberVersion, period: number, decide: () => void): void {
    const { clock } = this.options;
    const due = clock.elapsed() + period;
    const held = this.suspicions.get(seen.id);
    if (held !== undefined && held.due <= due) return;
    held?.timer.dispose();
    const timer = clock.after(period, () => {
      this.suspicions.delete(seen.id);
      // After a pause, a refutation may wait unread in the sockets.
      const isLate = clock.elapsed() - due > pauseThresholdMs;
      if (isLate) this.decideAfter(seen, remoteSuspicionTimeoutMs, () => this.check(seen));
      else decide();
    });
    this.suspicions.set(seen.id, { seen, due, timer });
  }

  private declareDead(seen: MemberVersion): void {
    if (this.options.table.declare(seen, 'dead')) this.write('dead', seen);
  }

  private clear(id: DaemonId): void {
    this.suspicions.get(id)?.timer.dispose();
    this.suspicions.delete(id);
  }

  private passSuspicion(id: DaemonId): void {
    const present = this.options.table.get(id);
    if (present?.status === 'suspect') this.options.notify(present);
  }

  private write(status: string, member: MemberVersion): void {
    this.options.log.write({
      level: 'warn',
      kind: 'membership',
      message: `member declared ${status}`,
      fields: { member: member.id, incarnation: member.incarnation, version: member.version },
    });
  }
}
