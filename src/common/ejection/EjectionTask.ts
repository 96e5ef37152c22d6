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

/** Milliseconds between two checks of the evidence; errors are checked when they arrive. */
const evaluationInterval = 200;
/** Milliseconds between two peer comparisons, and between two checks of the floor. */
const comparisonInterval = 1_000;
/** Milliseconds for which a diagnosis is reused, so that a burst of failures costs one round of probes. */
const diagnosisLifetime = 2_000;
/** Milliseconds between two requests to a target to announce itself to another home. */
const reassignInterval = 5_000;
/** Milliseconds between attempts to eject after refusals. */
const refusalBackoff = { shortest: 1_000, longest: 30_000 };
/** Milliseconds for which the state of a target that left is kept, so that flapping does not shorten its hold times. */
const goneLifetime = 900_000;
/** Consecutive checks that must find the capacity below the floor; a single one can be due to a lost message. */
const belowFloorChecks = 2;

/** Dependencies of the task. */
export interface EjectionTaskOptions {
  readonly home: DaemonId;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: Store;
  readonly environment: EjectionEnvironment;
}

interface MonitoredTarget {
  readonly target: HomeTarget;
  readonly prober: TargetProber;
  readonly backoff: Backoff;
  isEjecting: boolean;
  diagnosis: { readonly value: FaultDiagnosis; readonly at: number } | undefined;
  reassignedAt: number;
}

/** Evaluates the targets of one home, updates their states, and ejects and releases them. */
export class EjectionTask implements Disposable {
  private readonly disposables = new DisposableStore();

  private readonly transitions = this.disposables.add(new Emitter<Transition>());

  private readonly refusals = this.disposables.add(new Emitter<EjectionRefusal>());

  private readonly reassignments = this.disposables.add(new Emitter<TargetId>());

  /** Fires after each change of state or share of a target. */
  public readonly onTransition = this.transitions.event;

  /** Fires when a sick target stays in service, with the reason. */
  public readonly onRefusal = this.refusals.event;

  /** Fires when a healthy target is unreachable from this home, so that it must announce itself to another one. */
  public readonly onReassign = this.reassignments.event;

  private readonly targets = new Map<TargetId, MonitoredTarget>();

  private readonly holds = new Map<TargetId, OperatorHold>();

  private readonly ejectionRecords = new Map<ServiceName, EjectionRecord>();

  private readonly reconciler: RecordReconciler;

  private readonly ejector: Ejector;

  private readonly peerSummaries = new PeerSummaryCache();

  private readonly belowFloorCounts = new Map<ServiceName, number>();

  private tokenCount = 0;

  private isDisposed = false;

  public constructor(private readonly options: EjectionTaskOptions) {
    const { clock, random, home, environment } = options;
    const record = (service: ServiceName) => this.recordOf(service);
    this.reconciler = new RecordReconciler({ clock, random, record });
    const prefix = `${home}/${clock.now().getTime().toString(36)}-${Math.floor(random() * 2 ** 32)}`;
    this.ejector = new Ejector({
      home,
      clock,
      environment,
      record,
      localSummaries: (service) => this.summaries(service),
      nextToken: () => {
        this.tokenCount += 1;
        return `${prefix}/${this.tokenCount}`;
      },
    });
    this.repeat(evaluationInterval, () => this.evaluateAll());
    this.repeat(comparisonInterval, () => this.compareAll());
  }

  /** Handles an announcement or its renewal. */
  public announce(announcement: TargetAnnouncement): void {
    const now = this.now();
    const monitored = this.targets.get(announcement.id);
    if (monitored === undefined) {
      this.addTarget(announcement, now);
      return;
    }
    const isReturning = monitored.target.lifecycle.state === 'gone';
    monitored.target.announce(announcement, now);
    if (isReturning) this.checkRecord(monitored);
  }

  /** Handles an expired announcement or a move to another home. The entry in the record stays for the next home. */
  public markGone(id: TargetId): void {
    const monitored = this.targets.get(id);
    if (monitored === undefined) return;
    monitored.target.lifecycle.markGone(this.now());
  }

  /** Registers a request sent to the target; pass the result to `record`. Undefined if the target is unknown. */
  public begin(id: TargetId, route: string): InFlightRequest | undefined {
    return this.targets.get(id)?.target.tracker.begin(route, this.now());
  }

  /** Records the outcome of a request. */
  public record(id: TargetId, outcome: TargetOutcome, flight?: InFlightRequest): void {
    const monitored = this.targets.get(id);
    if (monitored === undefined) return;
    const { tracker } = monitored.target;
    if (outcome.kind === 'connect-failed' || outcome.kind === 'timeout') {
      if (flight !== undefined) tracker.end(flight);
      void this.whenConfirmed(monitored, () => {
        tracker.record(outcome, this.now(), flight);
        this.evaluate(monitored);
      });
      return;
    }
    tracker.record(outcome, this.now(), flight);
    if (outcome.kind !== 'success') this.evaluate(monitored);
  }

  /** Replaces the decisions of operators on targets. */
  public setOperatorHolds(holds: ReadonlyMap<TargetId, OperatorHold>): void {
    this.holds.clear();
    holds.forEach((hold, id) => this.holds.set(id, hold));
    this.targets.forEach(({ target }, id) => {
      target.lifecycle.setOperatorHold(this.holds.get(id), this.now());
    });
  }

  /** Declares the target healthy on behalf of an operator; false if this home does not know it. */
  public restore(id: TargetId): boolean {
    const monitored = this.targets.get(id);
    if (monitored === undefined) return false;
    monitored.target.tracker.reset(this.now(), false);
    monitored.target.lifecycle.restore(this.now());
    return true;
  }

  /** Summaries of this home's targets of a service, for other homes. */
  public summaries(service: ServiceName): readonly TargetSummary[] {
    const now = this.now();
    return this.targetsOf(service)
      .filter(({ target }) => target.lifecycle.state !== 'gone')
      .map(({ target }) => target.summary(now));
  }

  /** State and share of each target, for the member record. */
  public statuses(): readonly TargetStatus[] {
    return [...this.targets.values()].map(({ target }) => target.lifecycle.status);
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
    // A random phase prevents the homes of a fleet from sending their requests in step.
    this.options.clock.after(interval * this.options.random(), run);
  }

  private recordOf(service: ServiceName): EjectionRecord {
    let record = this.ejectionRecords.get(service);
    if (record === undefined) {
      record = new EjectionRecord(this.options.store, service);
      this.ejectionRecords.set(service, record);
    }
    return record;
  }

  private targetsOf(service: ServiceName): readonly MonitoredTarget[] {
    return [...this.targets.values()].filter(
      ({ target }) => target.announcement.service === service,
    );
  }

  private addTarget(announcement: TargetAnnouncement, now: number): void {
    const target = new HomeTarget(announcement, now);
    const { clock, environment, random } = this.options;
    const probe = () => environment.probe(announcement.id, target.announcement.address);
    const monitored: MonitoredTarget = {
      target,
      prober: new TargetProber(clock, probe, (outcome) => this.recordProbe(monitored, outcome)),
      backoff: new Backoff(refusalBackoff.shortest, refusalBackoff.longest, random),
      isEjecting: false,
      diagnosis: undefined,
      reassignedAt: -Infinity,
    };
    this.targets.set(announcement.id, monitored);
    target.lifecycle.onTransition((transition) => this.handleTransition(monitored, transition));
    target.lifecycle.setOperatorHold(this.holds.get(announcement.id), now);
    target.lifecycle.announce(announcement.state, false, now);
    this.checkRecord(monitored);
  }

  /** Checks whether the record lists the target, that is, whether another home ejected it. */
  private checkRecord(monitored: MonitoredTarget): void {
    const { lifecycle, announcement } = monitored.target;
    this.reconciler.lookUp(announcement, () => {
      // The entry may be the one that this home is writing, so the record is checked again.
      if (monitored.isEjecting) this.checkRecord(monitored);
      else lifecycle.markListed(this.now());
    });
  }

  private handleTransition({ target, backoff }: MonitoredTarget, transition: Transition): void {
    const hasChanged = transition.from !== transition.to;
    if (hasChanged && transition.to === 'trial') target.tracker.reset(this.now(), false);
    if (hasChanged && transition.to !== 'suspect') backoff.succeeded();
    const isRelease = transition.from === 'ejected' || transition.cause === 'listed-in-record';
    const isOut = transition.to === 'gone' || transition.to === 'ejected';
    if (isRelease && !isOut) this.reconciler.remove(target.announcement);
    this.transitions.fire(transition);
  }

  private recordProbe(monitored: MonitoredTarget, outcome: ProbeOutcome): void {
    const record = () => {
      monitored.target.tracker.recordProbe(outcome, this.now());
      this.evaluate(monitored);
    };
    if (outcome.kind === 'unreachable') void this.whenConfirmed(monitored, record);
    else record();
  }

  /** Calls `action` if other daemons confirm that the target is faulty and not the path. */
  private async whenConfirmed(monitored: MonitoredTarget, action: () => void): Promise<void> {
    const diagnosis = await this.diagnose(monitored);
    if (this.isDisposed || !this.isMonitored(monitored)) return;
    if (diagnosis === 'target-faulty') action();
    if (diagnosis === 'path-faulty') this.reassign(monitored);
  }

  private async diagnose(monitored: MonitoredTarget): Promise<FaultDiagnosis> {
    const { diagnosis } = monitored;
    if (diagnosis !== undefined && this.now() - diagnosis.at < diagnosisLifetime)
      return diagnosis.value;
    const { id, address } = monitored.target.announcement;
    const value = await this.options.environment
      .diagnoseFault(id, address)
      .catch((): FaultDiagnosis => 'unclear');
    monitored.diagnosis = { value, at: this.now() };
    return value;
  }

  private isMonitored(monitored: MonitoredTarget): boolean {
    return this.targets.get(monitored.target.announcement.id) === monitored;
  }

  private reassign(monitored: MonitoredTarget): void {
    if (this.now() - monitored.reassignedAt < reassignInterval) return;
    monitored.reassignedAt = this.now();
    this.reassignments.fire(monitored.target.announcement.id);
  }

  private evaluateAll(): void {
    const now = this.now();
    this.targets.forEach((monitored) => {
      this.evaluate(monitored);
      monitored.prober.probeIfDue(monitored.target, now);
    });
    this.reconciler.advance();
  }

  private dropGone(now: number): void {
    this.targets.forEach(({ target }, id) => {
      const { lifecycle } = target;
      if (lifecycle.state !== 'gone' || lifecycle.timeInState(now) < goneLifetime) return;
      this.targets.delete(id);
      this.reconciler.forget(id);
    });
  }

  private evaluate(monitored: MonitoredTarget): void {
    const now = this.now();
    const request = monitored.target.lifecycle.advance(monitored.target.evaluate(now), now);
    const isBusy =
      monitored.isEjecting || this.reconciler.isRemoving(monitored.target.announcement.id);
    if (request === 'eject' && !isBusy && monitored.backoff.isDue(now)) void this.eject(monitored);
  }

  private async eject(monitored: MonitoredTarget): Promise<void> {
    monitored.isEjecting = true;
    const result = await this.ejector.eject(monitored.target);
    monitored.isEjecting = false;
    if (this.isDisposed) return;
    if (result.type === 'ejected') this.confirmEjection(monitored);
    else this.handleRefusal(monitored, result);
  }

  private confirmEjection(monitored: MonitoredTarget): void {
    const { target } = monitored;
    if (this.isMonitored(monitored) && target.lifecycle.isEjectable) {
      target.lifecycle.eject(this.now(), target.verdict.reason);
    } else if (this.isMonitored(monitored)) this.reconciler.remove(target.announcement);
  }

  private handleRefusal(
    monitored: MonitoredTarget,
    result: EjectionResult & { type: 'refused' },
  ): void {
    const { target } = monitored;
    const { refusal, capacity, floor, isOutcomeUnknown } = result;
    monitored.backoff.failed(this.now());
    if (isOutcomeUnknown) this.reconciler.remove(target.announcement, true);
    if (refusal === 'path-fault') this.reassign(monitored);
    // The peers show the same fault. If the evidence were kept, it would eject the target once they recover.
    const isExplained = refusal === 'like-peers' || refusal === 'service-wide';
    if (isExplained) target.tracker.reset(this.now(), false);
    if (this.isMonitored(monitored))
      target.lifecycle.keepInService(this.now(), target.verdict.reason);
    const { id, service } = target.announcement;
    this.refusals.fire({ target: id, service, refusal, capacity, floor });
  }

  private compareAll(): void {
    this.dropGone(this.now());
    const services = new Set(
      [...this.targets.values()].map(({ target }) => target.announcement.service),
    );
    services.forEach((service) => {
      void this.compare(service);
      void this.checkFloor(service);
    });
  }

  private async compare(service: ServiceName): Promise<void> {
    const summaries = await this.options.environment.sampleSummaries(service).catch(() => []);
    const now = this.now();
    this.peerSummaries.add(service, summaries, now);
    const local = this.summaries(service);
    const localIds = new Set(local.map((summary) => summary.target));
    const others = this.peerSummaries
      .fresh(service, now)
      .filter(({ target }) => !localIds.has(target));
    const candidates = [...others, ...local];
    this.targetsOf(service).forEach(({ target }) => {
      target.tracker.setPeers(comparePeers(target.announcement.id, candidates));
    });
  }

  private async checkFloor(service: ServiceName): Promise<void> {
    const hasEjected = this.targetsOf(service).some(
      ({ target }) => target.lifecycle.state === 'ejected' || target.lifecycle.state === 'trial',
    );
    if (!hasEjected) {
      this.belowFloorCounts.delete(service);
      return;
    }
    const summaries = await this.ejector.collectSummaries(service);
    const floor = this.options.environment.floor(service);
    // A release does not need the store, so the record is not taken into account.
    const record = { revision: 0, entries: [] };
    const due = FloorRule.targetsToRelease({ now: this.now(), floor, record, summaries });
    const count = due.length === 0 ? 0 : (this.belowFloorCounts.get(service) ?? 0) + 1;
    this.belowFloorCounts.set(service, count);
    if (count < belowFloorChecks) return;
    due.forEach((id) => this.targets.get(id)?.target.lifecycle.releaseForFloor(this.now()));
  }
}
