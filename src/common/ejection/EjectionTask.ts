import { DisposableStore, Emitter } from '../base/index.js';
import type {
  Clock,
  DaemonId,
  Disposable,
  RandomSource,
  ServiceName,
  TargetId,
} from '../base/index.js';
import { comparePeers } from '../health/index.js';
import type { InFlightRequest, ProbeOutcome, TargetSummary } from '../health/index.js';
import type { Store, TargetAnnouncement, TargetOutcome } from '../services/Types.js';
import { Backoff } from './Backoff.js';
import { EjectionRecord } from './EjectionRecord.js';
import { Ejector } from './Ejector.js';
import type { EjectionResult } from './Ejector.js';
import { FloorRule } from './FloorRule.js';
import { HomeTarget } from './HomeTarget.js';
import { PeerSummaryCache } from './PeerSummaryCache.js';
import { RecordReconciler } from './RecordReconciler.js';
import { TargetProber } from './TargetProber.js';
import type {
  EjectionEnvironment,
  OperatorHold,
  FaultDiagnosis,
  EjectionRefusal,
  TargetStatus,
  Transition,
} from './Types.js';

/** Milliseconds between two looks at the evidence; errors are looked at when they arrive. */
const judgementInterval = 200;
/** Milliseconds between two comparisons with the peers and two checks of the floor. */
const comparisonInterval = 1_000;
/** Milliseconds for which an opinion stands, so that a burst of failures costs one round of probes. */
const opinionLifetime = 2_000;
/** Milliseconds between two requests to a target to announce itself elsewhere. */
const reassignInterval = 5_000;
/** Milliseconds between tries to eject after refusals. */
const refusalWait = { shortest: 1_000, longest: 30_000 };
/** Milliseconds for which a target that left is remembered, so that flapping does not shorten its holds. */
const departedLifetime = 900_000;
/** Checks in a row that must find the capacity below the floor; one can be a lost message. */
const shortChecks = 2;

/** What the task is built from. */
export interface EjectionTaskOptions {
  readonly home: DaemonId;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: Store;
  readonly environment: EjectionEnvironment;
}

interface Tended {
  readonly target: HomeTarget;
  readonly probing: TargetProber;
  readonly refusals: Backoff;
  isEjecting: boolean;
  opinion: { readonly value: FaultDiagnosis; readonly at: number } | undefined;
  reassignedAt: number;
}

/** Judges the targets of one home, moves them between states and ejects and releases them. */
export class EjectionTask implements Disposable {
  private readonly disposables = new DisposableStore();

  private readonly transitions = this.disposables.add(new Emitter<Transition>());

  private readonly refusals = this.disposables.add(new Emitter<EjectionRefusal>());

  private readonly reassignments = this.disposables.add(new Emitter<TargetId>());

  /** Fires after each change of state or share of a target. */
  public readonly onTransition = this.transitions.event;

  /** Fires when a sick target stays in service, with the reason. */
  public readonly onRefusal = this.refusals.event;

  /** Fires when a target is well but this home does not reach it: it must announce itself elsewhere. */
  public readonly onReassign = this.reassignments.event;

  private readonly tended = new Map<TargetId, Tended>();

  private readonly holds = new Map<TargetId, OperatorHold>();

  private readonly records = new Map<ServiceName, EjectionRecord>();

  private readonly keeper: RecordReconciler;

  private readonly ejector: Ejector;

  private readonly peers = new PeerSummaryCache();

  private readonly shortCounts = new Map<ServiceName, number>();

  private tokens = 0;

  private isDisposed = false;

  public constructor(private readonly options: EjectionTaskOptions) {
    const { clock, random, home, environment } = options;
    const record = (service: ServiceName) => this.recordOf(service);
    this.keeper = new RecordReconciler({ clock, random, record });
    const prefix = `${home}/${clock.now().getTime().toString(36)}-${Math.floor(random() * 2 ** 32)}`;
    this.ejector = new Ejector({
      home,
      clock,
      environment,
      record,
      localSummaries: (service) => this.summaries(service),
      nextToken: () => {
        this.tokens += 1;
        return `${prefix}/${this.tokens}`;
      },
    });
    this.repeat(judgementInterval, () => this.judgeAll());
    this.repeat(comparisonInterval, () => this.compareAll());
  }

  /** Takes an announcement or its renewal. */
  public announce(announcement: TargetAnnouncement): void {
    const now = this.now();
    const known = this.tended.get(announcement.id);
    if (known === undefined) {
      this.admit(announcement, now);
      return;
    }
    const isReturning = known.target.lifecycle.state === 'gone';
    known.target.announce(announcement, now);
    if (isReturning) this.lookUp(known);
  }

  /** The announcement expired or the target moved. Its entry in the record stays for the next home. */
  public markGone(id: TargetId): void {
    const known = this.tended.get(id);
    if (known === undefined) return;
    known.target.lifecycle.markGone(this.now());
  }

  /** A request was sent to the target; pass the result to `record`. Undefined if the target is unknown. */
  public begin(id: TargetId, route: string): InFlightRequest | undefined {
    return this.tended.get(id)?.target.tracker.begin(route, this.now());
  }

  /** Takes the outcome of a request. */
  public record(id: TargetId, outcome: TargetOutcome, flight?: InFlightRequest): void {
    const known = this.tended.get(id);
    if (known === undefined) return;
    const { tracker } = known.target;
    if (outcome.kind === 'connect-failed' || outcome.kind === 'timeout') {
      if (flight !== undefined) tracker.end(flight);
      void this.whenConfirmed(known, () => {
        tracker.record(outcome, this.now(), flight);
        this.judge(known);
      });
      return;
    }
    tracker.record(outcome, this.now(), flight);
    if (outcome.kind !== 'success') this.judge(known);
  }

  /** Replaces the decisions of operators. */
  public setOperatorHolds(holds: ReadonlyMap<TargetId, OperatorHold>): void {
    this.holds.clear();
    holds.forEach((hold, id) => this.holds.set(id, hold));
    this.tended.forEach(({ target }, id) => {
      target.lifecycle.setOperatorHold(this.holds.get(id), this.now());
    });
  }

  /** An operator declares the target healthy; false if this home does not know it. */
  public restore(id: TargetId): boolean {
    const known = this.tended.get(id);
    if (known === undefined) return false;
    known.target.tracker.reset(this.now(), false);
    known.target.lifecycle.restore(this.now());
    return true;
  }

  /** Summaries of this home's targets of a service, for other homes. */
  public summaries(service: ServiceName): readonly TargetSummary[] {
    const now = this.now();
    return this.ofService(service)
      .filter(({ target }) => target.lifecycle.state !== 'gone')
      .map(({ target }) => target.summary(now));
  }

  /** State and share of each target, for the member record. */
  public statuses(): readonly TargetStatus[] {
    return [...this.tended.values()].map(({ target }) => target.lifecycle.status);
  }

  public dispose(): void {
    this.isDisposed = true;
    this.disposables.dispose();
  }

  private now(): number {
    return this.options.clock.elapsed();
  }

  private repeat(interval: number, work: () => void): void {
    const run = () => {
      if (this.isDisposed) return;
      work();
      this.options.clock.after(interval, run);
    };
    // A random phase keeps the homes of a fleet from asking one another in step.
    this.options.clock.after(interval * this.options.random(), run);
  }

  private recordOf(service: ServiceName): EjectionRecord {
    let record = this.records.get(service);
    if (record === undefined) {
      record = new EjectionRecord(this.options.store, service);
      this.records.set(service, record);
    }
    return record;
  }

  private ofService(service: ServiceName): readonly Tended[] {
    return [...this.tended.values()].filter(
      ({ target }) => target.announcement.service === service,
    );
  }

  private admit(announcement: TargetAnnouncement, now: number): void {
    const target = new HomeTarget(announcement, now);
    const { clock, environment, random } = this.options;
    const probe = () => environment.probe(announcement.id, target.announcement.address);
    const known: Tended = {
      target,
      probing: new TargetProber(clock, probe, (outcome) => this.recordProbe(known, outcome)),
      refusals: new Backoff(refusalWait.shortest, refusalWait.longest, random),
      isEjecting: false,
      opinion: undefined,
      reassignedAt: -Infinity,
    };
    this.tended.set(announcement.id, known);
    target.lifecycle.onTransition((transition) => this.followUp(known, transition));
    target.lifecycle.setOperatorHold(this.holds.get(announcement.id), now);
    target.lifecycle.announce(announcement.state, false, now);
    this.lookUp(known);
  }

  /** Finds out whether the record lists the target, which then came from another home. */
  private lookUp(known: Tended): void {
    const { lifecycle, announcement } = known.target;
    this.keeper.lookUp(announcement, () => {
      // The entry can be the one that is being written; the next look tells.
      if (known.isEjecting) this.lookUp(known);
      else lifecycle.markListed(this.now());
    });
  }

  private followUp({ target, refusals }: Tended, transition: Transition): void {
    const hasChanged = transition.from !== transition.to;
    if (hasChanged && transition.to === 'trial') target.tracker.reset(this.now(), false);
    if (hasChanged && transition.to !== 'suspect') refusals.succeeded();
    const isRelease = transition.from === 'ejected' || transition.cause === 'listed-in-record';
    const isOut = transition.to === 'gone' || transition.to === 'ejected';
    if (isRelease && !isOut) this.keeper.remove(target.announcement);
    this.transitions.fire(transition);
  }

  private recordProbe(known: Tended, outcome: ProbeOutcome): void {
    const record = () => {
      known.target.tracker.recordProbe(outcome, this.now());
      this.judge(known);
    };
    if (outcome.kind === 'unreachable') void this.whenConfirmed(known, record);
    else record();
  }

  /** Calls `action` if other daemons confirm that the target and not the path is at fault. */
  private async whenConfirmed(known: Tended, action: () => void): Promise<void> {
    const opinion = await this.opinionOn(known);
    if (this.isDisposed || !this.isTended(known)) return;
    if (opinion === 'target-faulty') action();
    if (opinion === 'path-faulty') this.reassign(known);
  }

  private async opinionOn(known: Tended): Promise<FaultDiagnosis> {
    const { opinion } = known;
    if (opinion !== undefined && this.now() - opinion.at < opinionLifetime) return opinion.value;
    const { id, address } = known.target.announcement;
    const value = await this.options.environment
      .diagnoseFault(id, address)
      .catch((): FaultDiagnosis => 'unclear');
    known.opinion = { value, at: this.now() };
    return value;
  }

  private isTended(known: Tended): boolean {
    return this.tended.get(known.target.announcement.id) === known;
  }

  private reassign(known: Tended): void {
    if (this.now() - known.reassignedAt < reassignInterval) return;
    known.reassignedAt = this.now();
    this.reassignments.fire(known.target.announcement.id);
  }

  private judgeAll(): void {
    const now = this.now();
    this.tended.forEach((known) => {
      this.judge(known);
      known.probing.probeIfDue(known.target, now);
    });
    this.keeper.advance();
  }

  private forgetDeparted(now: number): void {
    this.tended.forEach(({ target }, id) => {
      const { lifecycle } = target;
      if (lifecycle.state !== 'gone' || lifecycle.timeInState(now) < departedLifetime) return;
      this.tended.delete(id);
      this.keeper.forget(id);
    });
  }

  private judge(known: Tended): void {
    const now = this.now();
    const request = known.target.lifecycle.advance(known.target.judge(now), now);
    const isBusy = known.isEjecting || this.keeper.isRemoving(known.target.announcement.id);
    if (request === 'eject' && !isBusy && known.refusals.isDue(now)) void this.eject(known);
  }

  private async eject(known: Tended): Promise<void> {
    known.isEjecting = true;
    const result = await this.ejector.eject(known.target);
    known.isEjecting = false;
    if (this.isDisposed) return;
    if (result.type === 'ejected') this.confirmEjection(known);
    else this.noteRefusal(known, result);
  }

  private confirmEjection(known: Tended): void {
    const { target } = known;
    if (this.isTended(known) && target.lifecycle.isEjectable) {
      target.lifecycle.eject(this.now(), target.verdict.reason);
    } else if (this.isTended(known)) this.keeper.remove(target.announcement);
  }

  private noteRefusal(known: Tended, result: EjectionResult & { type: 'refused' }): void {
    const { target } = known;
    const { refusal, capacity, floor, isOutcomeUnknown: isWriteOpen } = result;
    known.refusals.failed(this.now());
    if (isWriteOpen) this.keeper.remove(target.announcement, true);
    if (refusal === 'path-fault') this.reassign(known);
    // The peers explain the evidence; kept, it would eject the target once they are well again.
    const isExplained = refusal === 'like-peers' || refusal === 'service-wide';
    if (isExplained) target.tracker.reset(this.now(), false);
    if (this.isTended(known)) target.lifecycle.keepInService(this.now(), target.verdict.reason);
    const { id, service } = target.announcement;
    this.refusals.fire({ target: id, service, refusal, capacity, floor });
  }

  private compareAll(): void {
    this.forgetDeparted(this.now());
    const services = new Set(
      [...this.tended.values()].map(({ target }) => target.announcement.service),
    );
    services.forEach((service) => {
      void this.compare(service);
      void this.checkFloor(service);
    });
  }

  private async compare(service: ServiceName): Promise<void> {
    const answers = await this.options.environment.sampleSummaries(service).catch(() => []);
    const now = this.now();
    this.peers.add(service, answers, now);
    const local = this.summaries(service);
    const own = new Set(local.map((summary) => summary.target));
    const others = this.peers.fresh(service, now).filter(({ target }) => !own.has(target));
    const all = [...others, ...local];
    this.ofService(service).forEach(({ target }) => {
      target.tracker.setPeers(comparePeers(target.announcement.id, all));
    });
  }

  private async checkFloor(service: ServiceName): Promise<void> {
    const hasEjected = this.ofService(service).some(
      ({ target }) => target.lifecycle.state === 'ejected' || target.lifecycle.state === 'trial',
    );
    if (!hasEjected) {
      this.shortCounts.delete(service);
      return;
    }
    const summaries = await this.ejector.collectSummaries(service);
    const floor = this.options.environment.floor(service);
    // A release needs no permission of the store, so what the record lists does not matter here.
    const record = { revision: 0, entries: [] };
    const due = FloorRule.targetsToRelease({ now: this.now(), floor, record, summaries });
    const count = due.length === 0 ? 0 : (this.shortCounts.get(service) ?? 0) + 1;
    this.shortCounts.set(service, count);
    if (count < shortChecks) return;
    due.forEach((id) => this.tended.get(id)?.target.lifecycle.releaseForFloor(this.now()));
  }
}
