import { DisposableStore, sampleItems } from '../base/index.js';
import type { Clock, DaemonId, Disposable, LogSink, RandomSource } from '../base/index.js';
import { isGone, versionOf } from './MemberOrder.js';
import type { MemberTable } from './MemberTable.js';
import { pauseThresholdMs } from './Prober.js';
import type { Prober } from './Prober.js';
import type { MemberRecord, MemberVersion } from './Types.js';

/** Interval between probes. */
export const probePeriodMs = 1000;

/** Time that a suspected member has to refute the suspicion. */
export const suspicionTimeoutMs = 3000;

/**
 * Time after which a daemon probes a member whose suspicion it learned from a peer. It is longer than the suspicion
 * timeout, so that normally the daemon that raised the suspicion decides, and finite, because that daemon can fail.
 */
export const remoteSuspicionTimeoutMs = 2 * suspicionTimeoutMs;

/** Greatest random delay of the probe after a death report; a refutation can arrive before the probe. */
export const deathReportCheckJitterMs = 500;

/** Pending decision about a member. */
interface Suspicion {
  readonly seen: MemberVersion;
  readonly due: number;
  readonly timer: Disposable;
}

/** Dependencies of a failure detector. */
export interface FailureDetectorOptions {
  readonly table: MemberTable;
  readonly prober: Prober;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Sends a suspicion to the suspected member, so that it can refute at once. */
  readonly notify: (member: MemberRecord) => void;
  readonly log: LogSink;
}

/** SWIM failure detector: suspects members that do not answer probes and declares them dead unless they refute. */
export class FailureDetector implements Disposable {
  private readonly disposables = new DisposableStore();

  private readonly suspicions = new Map<DaemonId, Suspicion>();

  private probeOrder: DaemonId[] = [];

  private timer: Disposable | undefined;

  private isDisposed = false;

  public constructor(private readonly options: FailureDetectorOptions) {
    const { table } = options;
    this.disposables.add(table.onChange(({ after }) => this.handleRecordChange(after)));
    this.disposables.add(table.onDeathReport((record) => this.checkDeathReport(record)));
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
    this.disposables.dispose();
  }

  private tick(): void {
    if (this.isDisposed) return;
    this.timer = this.options.clock.after(probePeriodMs, () => this.tick());
    const member = this.nextMember();
    if (member !== undefined) void this.probe(member);
  }

  /** Members in random order, each once per round, so that the time between two probes of a member is bounded. */
  private nextMember(): MemberRecord | undefined {
    if (this.probeOrder.length === 0) this.probeOrder = this.shuffledMembers();
    while (this.probeOrder.length > 0) {
      const id = this.probeOrder.pop() as DaemonId;
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
    const reachability = await this.options.prober.probe(member);
    if (this.isDisposed) return;
    if (reachability === 'direct') this.notifyIfSuspect(member.id);
    if (reachability === 'failed') this.suspect(member);
  }

  private suspect(member: MemberRecord): void {
    const { table } = this.options;
    const current = table.get(member.id);
    if (current === undefined || current.version !== member.version) return;
    // `suspect` would replace `leaving` in the record and make the member's targets candidates again.
    const status = current.status === 'leaving' ? 'dead' : 'suspect';
    const seen = versionOf(current);
    if (table.declare(seen, status)) this.logDeclaration(status, seen);
    if (status === 'dead') return;
    this.scheduleDecision(seen, suspicionTimeoutMs, () => this.declareDead(seen));
    this.options.notify(current);
  }

  /** Schedules a check of members that peers suspect: the daemon that raised the suspicion can fail. */
  private handleRecordChange(record: MemberRecord | undefined): void {
    if (record === undefined || record.id === this.options.table.self.id) return;
    const held = this.suspicions.get(record.id)?.seen;
    const isSame = held?.version === record.version && held.incarnation === record.incarnation;
    if (held !== undefined && (record.status !== 'suspect' || !isSame))
      this.clearSuspicion(record.id);
    if (record.status !== 'suspect') return;
    const seen = versionOf(record);
    this.scheduleDecision(seen, remoteSuspicionTimeoutMs, () => this.startCheck(seen));
  }

  /** Schedules a probe before a death that a peer reports is accepted. */
  private checkDeathReport(record: MemberRecord): void {
    const seen = versionOf(record);
    const delay = this.options.random() * deathReportCheckJitterMs;
    this.scheduleDecision(seen, delay, () => this.startCheck(seen));
  }

  private startCheck(seen: MemberVersion): void {
    void this.checkMember(seen);
  }

  private async checkMember(seen: MemberVersion): Promise<void> {
    const { table, prober } = this.options;
    const member = table.get(seen.id);
    if (member?.version !== seen.version || isGone(member.status)) return;
    const reachability = await prober.probe(member);
    if (this.isDisposed) return;
    if (reachability === 'failed') this.declareDead(seen);
    else this.renewSuspicion(seen, reachability === 'direct');
  }

  private renewSuspicion(seen: MemberVersion, isDirect: boolean): void {
    const current = this.options.table.get(seen.id);
    if (current?.status !== 'suspect' || current.version !== seen.version) return;
    this.scheduleDecision(seen, remoteSuspicionTimeoutMs, () => this.startCheck(seen));
    if (isDirect) this.options.notify(current);
  }

  /** Schedules a decision about a member unless an earlier one is pending; replaces a later one. */
  private scheduleDecision(seen: MemberVersion, period: number, decide: () => void): void {
    const { clock } = this.options;
    const due = clock.elapsed() + period;
    const held = this.suspicions.get(seen.id);
    if (held !== undefined && held.due <= due) return;
    held?.timer.dispose();
    const timer = clock.after(period, () => {
      this.suspicions.delete(seen.id);
      // After a pause of this process, a refutation may wait unread in its sockets.
      const isLate = clock.elapsed() - due > pauseThresholdMs;
      if (isLate)
        this.scheduleDecision(seen, remoteSuspicionTimeoutMs, () => this.startCheck(seen));
      else decide();
    });
    this.suspicions.set(seen.id, { seen, due, timer });
  }

  private declareDead(seen: MemberVersion): void {
    if (this.options.table.declare(seen, 'dead')) this.logDeclaration('dead', seen);
  }

  private clearSuspicion(id: DaemonId): void {
    this.suspicions.get(id)?.timer.dispose();
    this.suspicions.delete(id);
  }

  private notifyIfSuspect(id: DaemonId): void {
    const current = this.options.table.get(id);
    if (current?.status === 'suspect') this.options.notify(current);
  }

  private logDeclaration(status: string, member: MemberVersion): void {
    this.options.log.write({
      level: 'warn',
      kind: 'membership',
      message: `member declared ${status}`,
      fields: { member: member.id, incarnation: member.incarnation, version: member.version },
    });
  }
}
