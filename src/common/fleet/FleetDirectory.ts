import type {
  Clock,
  DaemonId,
  DataCentre,
  Incarnation,
  LogSink,
  ServiceName,
  TargetId,
} from '../base/index.js';
import type { Candidate, ConditionReport, TargetCondition } from '../dispatch/Types.js';
import { decayLogOdds, logistic, priorLogOdds } from '../health/HealthEstimator.js';
import { recordVersion } from './daemonRecords.js';
import type { DaemonRecord, PublishedTarget } from './Types.js';

/** Milliseconds after which a daemon that the store does not list and that does not respond is removed. */
const unlistedLifetime = 8_000;
/** Share of a service's targets that may be excluded at a time: 3 in 10 hang in turn, and another fault may occur. */
const maxExcludedShare = 0.5;
/** Age in milliseconds above which a condition is not passed on, since the load has changed by then. */
const maxReportAge = 2_000;
/** Number of recent conditions kept to choose from; a few messages then cover all targets of the deployed fleets. */
const maxRecent = 32;
/** Number of conditions in one message, which are a few hundred bytes. */
const maxReports = 8;

/** Leaving targets that are remembered; each is gone some seconds after it said so. */
const maxLeaving = 512;

/** Another daemon of the fleet. */
interface Peer {
  record: DaemonRecord;
  /** Time at which the store stopped listing the daemon; undefined while it is listed. */
  unlistedAt: number | undefined;
  /** Time of its last response. */
  reachedAt: number;
  isReachable: boolean;
}

/** A target and its home. */
interface ListedTarget {
  readonly peer: Peer;
  readonly target: PublishedTarget;
}

/** Index of the targets of all records by service and by id. */
interface TargetIndex {
  readonly byService: ReadonlyMap<ServiceName, readonly ListedTarget[]>;
  readonly ids: ReadonlySet<TargetId>;
}

interface TargetObservation {
  inFlight: number;
  condition: TargetCondition | undefined;
  learnedAt: number;
  /** Time at which this daemon last sent it a request. */
  sentAt: number | undefined;
}

/** Daemons and targets of the fleet: listed by the store, with their state as observed by this daemon. */
export class FleetDirectory {
  private readonly peers = new Map<DaemonId, Peer>();

  private readonly observations = new Map<TargetId, TargetObservation>();

  /** Observations with the most recent conditions, so that reports need no iteration over the fleet. */
  private readonly recentObservations = new Map<TargetId, TargetObservation>();

  /** Incarnations of targets that said in a response that they leave. */
  private readonly leaving = new Map<TargetId, Incarnation>();

  /** Undefined after a change until it is needed. */
  private index: TargetIndex | undefined;

  public constructor(
    private readonly clock: Clock,
    private readonly log: LogSink,
  ) {}

  /** Number of known daemons. */
  public get size(): number {
    return this.peers.size;
  }

  /** Records of all known daemons. */
  public get records(): readonly DaemonRecord[] {
    return [...this.peers.values()].map(({ record }) => record);
  }

  /** Replaces the records by those in the store; a daemon that is missing there stays in use for a while. */
  public replaceAll(records: readonly DaemonRecord[]): void {
    const listed = new Set(records.map(({ daemon }) => daemon));
    this.peers.forEach((_, daemon) => {
      if (!listed.has(daemon)) this.markUnlisted(daemon);
    });
    records.forEach((record) => this.put(record));
  }

  /**
   * As `replaceAll`, for a store that has come back from an older copy: a record of an earlier incarnation than the known
   * one is from before a restart of its daemon, which writes its record again.
   */
  public replaceAllRestored(records: readonly DaemonRecord[]): void {
    this.replaceAll(
      records.filter(({ daemon, incarnation }) => {
        const known = this.peers.get(daemon)?.record.incarnation;
        return known === undefined || known <= incarnation;
      }),
    );
  }

  /** Adds or replaces the record of a daemon unless it is older than the known one. */
  public put(record: DaemonRecord): void {
    const known = this.peers.get(record.daemon);
    const isNewIncarnation = known?.record.incarnation !== record.incarnation;
    if (!isNewIncarnation && record.serial < (known?.record.serial ?? 0)) return;
    this.index = undefined;
    this.dropObservations(known?.record, record);
    if (known === undefined || isNewIncarnation) {
      this.logRecord('daemon joined', record);
      this.peers.set(record.daemon, {
        record,
        unlistedAt: undefined,
        reachedAt: this.clock.elapsed(),
        isReachable: true,
      });
    } else {
      known.record = record;
      known.unlistedAt = undefined;
    }
  }

  /** Records that the store no longer lists the daemon. */
  public markUnlisted(daemon: DaemonId): void {
    const peer = this.peers.get(daemon);
    if (peer === undefined || peer.unlistedAt !== undefined) return;
    peer.unlistedAt = this.clock.elapsed();
    this.logRecord('daemon is no longer listed in the store', peer.record);
  }

  /** Removes daemons that are neither listed nor reachable. */
  public prune(): void {
    const now = this.clock.elapsed();
    this.peers.forEach((peer, daemon) => {
      const { unlistedAt, reachedAt, record } = peer;
      if (unlistedAt === undefined) return;
      if (now - Math.max(unlistedAt, reachedAt) < unlistedLifetime) return;
      this.peers.delete(daemon);
      this.index = undefined;
      this.dropObservations(record);
      this.logRecord('daemon removed', record);
    });
  }

  /** Adds a record that the daemon itself has sent, which may not be in the store yet or any more. */
  public putFromDaemon(record: DaemonRecord): void {
    const unlistedAt = this.peers.get(record.daemon)?.unlistedAt;
    this.put(record);
    const peer = this.peers.get(record.daemon);
    if (peer !== undefined) peer.unlistedAt = unlistedAt;
    this.logRecord('received a newer record from the daemon itself', record);
  }

  /** Records a response of the daemon. */
  public markReachable(daemon: DaemonId): void {
    const peer = this.peers.get(daemon);
    if (peer === undefined) return;
    if (!peer.isReachable) this.logRecord('daemon is reachable again', peer.record);
    peer.reachedAt = this.clock.elapsed();
    peer.isReachable = true;
  }

  /** Records that the daemon does not respond; it is not used until `markReachable` or its next incarnation. */
  public markUnreachable(daemon: DaemonId, reason: string): void {
    const peer = this.peers.get(daemon);
    if (peer === undefined || !peer.isReachable) return;
    peer.isReachable = false;
    this.logRecord('daemon is unreachable', peer.record, { reason });
  }

  /** Records the condition that the home of a target reported `age` milliseconds ago. */
  public recordCondition(target: TargetId, condition: TargetCondition, age = 0): void {
    const observation = this.observationOf(target);
    const learnedAt = this.clock.elapsed() - age;
    if (observation.condition !== undefined && observation.learnedAt > learnedAt) return;
    observation.condition = condition;
    observation.learnedAt = learnedAt;
    this.addRecent(target, observation);
  }

  /** Most recent conditions for other daemons, newest first. */
  public get recentConditions(): ConditionReport[] {
    const now = this.clock.elapsed();
    const reports: ConditionReport[] = [];
    this.recentObservations.forEach(({ condition, learnedAt }, target) => {
      const age = now - learnedAt;
      if (condition !== undefined && age <= maxReportAge) reports.push({ target, condition, age });
    });
    return reports.sort((left, right) => left.age - right.age).slice(0, maxReports);
  }

  /** Merges conditions that another daemon has passed on. */
  public mergeConditions(reports: readonly ConditionReport[]): void {
    const { ids } = this.currentIndex;
    reports.forEach(({ target, condition, age }) => {
      // Observations of targets that have left would never be removed.
      if (ids.has(target)) this.recordCondition(target, condition, age);
    });
  }

  /** Current estimate of the probability that a target is unhealthy. */
  public unhealthyProbability(target: TargetId): number {
    const observation = this.observations.get(target);
    if (observation?.condition === undefined) return logistic(priorLogOdds);
    return logistic(
      decayLogOdds(observation.condition.sickness, this.clock.elapsed() - observation.learnedAt),
    );
  }

  /** Raises the log-odds that a target is unhealthy, for evidence of this daemon. */
  public raiseSuspicion(target: TargetId, logOdds: number): void {
    const observation = this.observationOf(target);
    if (observation.condition === undefined || observation.condition.sickness >= logOdds) return;
    observation.condition = { ...observation.condition, sickness: logOdds };
    observation.learnedAt = this.clock.elapsed();
  }

  /** Counts a request that was sent to a target (+1) or has ended there (-1). */
  public adjustInFlight(target: TargetId, change: 1 | -1): void {
    if (change < 0 && !this.observations.has(target)) return;
    const observation = this.observationOf(target);
    observation.inFlight = Math.max(0, observation.inFlight + change);
    if (change > 0) observation.sentAt = this.clock.elapsed();
  }

  /**
   * Records that an incarnation of a target leaves, whatever its home lists: a home that has restarted may not know it.
   */
  public markLeaving(target: TargetId, incarnation: Incarnation): void {
    if (this.leaving.get(target) === incarnation) return;
    this.leaving.delete(target);
    this.leaving.set(target, incarnation);
    const [oldest] = this.leaving.keys();
    if (this.leaving.size > maxLeaving && oldest !== undefined) this.leaving.delete(oldest);
    this.log.write({
      level: 'info',
      kind: 'membership',
      message: 'target leaves and gets no more requests',
      fields: { step: 'fleet', target, incarnation },
    });
  }

  /** Targets of a service that may be used now. */
  public candidates(service: ServiceName): Candidate[] {
    const now = this.clock.elapsed();
    const candidates: Candidate[] = [];
    this.targetsOf(service).forEach(({ peer: { record, isReachable }, target }) => {
      if (record.state === 'leaving' || !isReachable || target.state !== 'ready') return;
      if (this.leaving.get(target.id) === target.incarnation) return;
      candidates.push(this.createCandidate(record, target, now));
    });
    return candidates;
  }

  /**
   * Whether a target of a service with these log-odds of being unhealthy may be excluded. When most targets seem
   * unhealthy, the cause is a service that they call or the load, and excluding all would leave no target to serve.
   */
  public mayExclude(service: ServiceName, logOdds: number): boolean {
    const probability = logistic(logOdds);
    const targets = this.targetsOf(service);
    const worse = targets.filter(
      ({ target }) => this.unhealthyProbability(target.id) > probability,
    );
    return worse.length < Math.ceil(targets.length * maxExcludedShare);
  }

  /** Daemons of a data centre that are serving and reachable and answer polls of this version as relays. */
  public relaysOf(dataCentre: DataCentre, relayVersion: number): readonly DaemonId[] {
    return [...this.peers.values()]
      .filter(
        ({ record, unlistedAt, isReachable }) =>
          record.dataCentre === dataCentre &&
          record.state === 'serving' &&
          (record.relayVersion ?? 1) >= relayVersion &&
          unlistedAt === undefined &&
          isReachable,
      )
      .map(({ record }) => record.daemon);
  }

  /** Latest record of a daemon; undefined if it is unknown. */
  public recordOf(daemon: DaemonId): DaemonRecord | undefined {
    return this.peers.get(daemon)?.record;
  }

  /** Number of targets of a service, including those that are not used now. */
  public countTargets(service: ServiceName): number {
    return this.targetsOf(service).length;
  }

  private targetsOf(service: ServiceName): readonly ListedTarget[] {
    return this.currentIndex.byService.get(service) ?? [];
  }

  private get currentIndex(): TargetIndex {
    this.index ??= this.createIndex();
    return this.index;
  }

  private createIndex(): TargetIndex {
    const byService = new Map<ServiceName, ListedTarget[]>();
    const ids = new Set<TargetId>();
    this.peers.forEach((peer) => {
      peer.record.targets.forEach((target) => {
        const listed = byService.get(target.service) ?? [];
        listed.push({ peer, target });
        byService.set(target.service, listed);
        ids.add(target.id);
      });
    });
    return { byService, ids };
  }

  /** Removes the observations of targets of a record that the next one does not list. */
  private dropObservations(record: DaemonRecord | undefined, next?: DaemonRecord): void {
    record?.targets.forEach(({ id }) => {
      if (next?.targets.some((target) => target.id === id) === true) return;
      this.observations.delete(id);
      this.recentObservations.delete(id);
    });
  }

  private addRecent(target: TargetId, observation: TargetObservation): void {
    this.recentObservations.delete(target);
    this.recentObservations.set(target, observation);
    if (this.recentObservations.size <= maxRecent) return;
    const [oldest] = this.recentObservations.keys();
    if (oldest !== undefined) this.recentObservations.delete(oldest);
  }

  private createCandidate(record: DaemonRecord, target: PublishedTarget, now: number): Candidate {
    const observation = this.observationOf(target.id);
    const age = now - observation.learnedAt;
    return {
      daemon: record.daemon,
      recordVersion: recordVersion(record),
      address: record.address,
      encoding: record.encoding ?? 1,
      region: record.region,
      dataCentre: record.dataCentre,
      target: target.id,
      incarnation: target.incarnation,
      slots: target.slots,
      inFlight: observation.inFlight,
      condition: observation.condition,
      age,
      idle: FleetDirectory.idleTime(observation, now),
    };
  }

  private static idleTime(
    { condition, learnedAt, sentAt = -Infinity }: TargetObservation,
    now: number,
  ): number | undefined {
    if (condition?.idle === undefined) return undefined;
    return Math.min(condition.idle + now - learnedAt, now - sentAt);
  }

  private observationOf(target: TargetId): TargetObservation {
    let observation = this.observations.get(target);
    if (observation === undefined) {
      observation = { inFlight: 0, condition: undefined, learnedAt: 0, sentAt: undefined };
      this.observations.set(target, observation);
    }
    return observation;
  }

  private logRecord(
    message: string,
    record: DaemonRecord,
    details: Readonly<Record<string, string>> = {},
  ): void {
    const { daemon, incarnation, address } = record;
    this.log.write({
      level: 'info',
      kind: 'membership',
      message,
      fields: { step: 'fleet', daemon, incarnation, address, known: this.peers.size, ...details },
    });
  }
}
