import type { Clock, DaemonId, LogSink, ServiceName, TargetId } from '../base/index.js';
import type { Candidate, ConditionReport, TargetCondition } from '../dispatch/Types.js';
import { decayLogOdds, logistic, priorLogOdds } from '../health/HealthEstimator.js';
import { recordVersion } from './daemonRecords.js';
import type { DaemonRecord, PublishedTarget } from './Types.js';

/** Milliseconds after which a daemon that is missing in the store and not in use counts as gone. */
const unlistedLimit = 8_000;
/** Milliseconds for which a daemon that could not be reached is not tried again. */
const firstRest = 500;
const longestRest = 4_000;
/** Share of a service's targets that may be set aside at a time: 3 in 10 hang in turns, and another fault may come. */
const largestSetAside = 0.5;
/** Milliseconds after which a condition is not passed on: loads have changed by then. */
const newsLifetime = 2_000;
/** Conditions among which the newest are chosen; some messages in turn then tell of all targets of today's fleets. */
const recentLength = 32;
/** Conditions in one message; a few hundred bytes, and a fleet of today's size is covered by some messages. */
const newsLength = 8;

/** Another daemon as this one knows it. */
interface Peer {
  record: DaemonRecord;
  /** Absent while the daemon stands in the store. */
  unlistedAt: number | undefined;
  /** Last time at which it answered. */
  reachedAt: number;
  failures: number;
  restUntil: number;
}

/** A target with the daemon that lists it. */
interface ListedTarget {
  readonly peer: Peer;
  readonly target: PublishedTarget;
}

/** Targets of all records, looked up by service and by id. */
interface TargetIndex {
  readonly byService: ReadonlyMap<ServiceName, readonly ListedTarget[]>;
  readonly ids: ReadonlySet<TargetId>;
}

interface TargetNote {
  inFlight: number;
  condition: TargetCondition | undefined;
  learnedAt: number;
}

/** Daemons and targets of the fleet: listed by the store, checked by use. */
export class FleetDirectory {
  private readonly peers = new Map<DaemonId, Peer>();

  private readonly notes = new Map<TargetId, TargetNote>();

  /** Notes that were learned last, so that news cost no walk over the fleet. */
  private readonly recent = new Map<TargetId, TargetNote>();

  /** Targets of all records; absent after a change until it is needed. */
  private index: TargetIndex | undefined;

  public constructor(
    private readonly clock: Clock,
    private readonly log: LogSink,
  ) {}

  /** Number of daemons that are known. */
  public get size(): number {
    return this.peers.size;
  }

  /** Records of all known daemons. */
  public get records(): readonly DaemonRecord[] {
    return [...this.peers.values()].map(({ record }) => record);
  }

  /** Takes the list of the store; who is missing there stays in use for a while. */
  public replaceAll(records: readonly DaemonRecord[]): void {
    const listed = new Set(records.map(({ daemon }) => daemon));
    this.peers.forEach((_, daemon) => {
      if (!listed.has(daemon)) this.markUnlisted(daemon);
    });
    records.forEach((record) => this.put(record));
  }

  /** Takes the newest record of a daemon. */
  public put(record: DaemonRecord): void {
    const known = this.peers.get(record.daemon);
    const isRestarted = known?.record.incarnation !== record.incarnation;
    if (!isRestarted && record.serial < (known?.record.serial ?? 0)) return;
    this.index = undefined;
    this.dropNotes(known?.record, record);
    if (known === undefined || isRestarted) {
      this.write('a daemon has joined', record);
      this.peers.set(record.daemon, {
        record,
        unlistedAt: undefined,
        reachedAt: this.clock.elapsed(),
        failures: 0,
        restUntil: 0,
      });
    } else {
      known.record = record;
      known.unlistedAt = undefined;
    }
  }

  /** The store lists the daemon no longer. */
  public markUnlisted(daemon: DaemonId): void {
    const peer = this.peers.get(daemon);
    if (peer === undefined || peer.unlistedAt !== undefined) return;
    peer.unlistedAt = this.clock.elapsed();
    this.write('a daemon is missing in the store', peer.record);
  }

  /** Drops daemons that are neither listed nor reached. */
  public prune(): void {
    const now = this.clock.elapsed();
    this.peers.forEach((peer, daemon) => {
      const { unlistedAt, reachedAt, record } = peer;
      if (unlistedAt === undefined) return;
      if (now - Math.max(unlistedAt, reachedAt) < unlistedLimit) return;
      this.peers.delete(daemon);
      this.index = undefined;
      this.dropNotes(record);
      this.write('a daemon is gone', record);
    });
  }

  /** Takes a record that the daemon itself has told, which the store may not list yet or any more. */
  public putFromDaemon(record: DaemonRecord): void {
    const unlistedAt = this.peers.get(record.daemon)?.unlistedAt;
    this.put(record);
    const peer = this.peers.get(record.daemon);
    if (peer !== undefined) peer.unlistedAt = unlistedAt;
    this.write('a daemon has told its newer record', record);
  }

  /** The daemon has answered. */
  public markReachable(daemon: DaemonId): void {
    const peer = this.peers.get(daemon);
    if (peer === undefined) return;
    if (peer.failures > 0) this.write('a daemon is reached again', peer.record);
    peer.reachedAt = this.clock.elapsed();
    peer.failures = 0;
    peer.restUntil = 0;
  }

  /** The daemon could not be reached and gets a pause that grows. */
  public markUnreachable(daemon: DaemonId): void {
    const peer = this.peers.get(daemon);
    if (peer === undefined) return;
    peer.failures += 1;
    if (peer.failures === 1) this.write('a daemon is not reached', peer.record);
    const rest = Math.min(longestRest, firstRest * 2 ** (peer.failures - 1));
    peer.restUntil = this.clock.elapsed() + rest;
  }

  /** Learns the condition that the home of a target reported `age` milliseconds ago. */
  public recordCondition(target: TargetId, condition: TargetCondition, age = 0): void {
    const note = this.noteOf(target);
    const learnedAt = this.clock.elapsed() - age;
    if (note.condition !== undefined && note.learnedAt > learnedAt) return;
    note.condition = condition;
    note.learnedAt = learnedAt;
    this.keepRecent(target, note);
  }

  /** Conditions that were reported last, newest first, for other daemons. */
  public get recentConditions(): ConditionReport[] {
    const now = this.clock.elapsed();
    const rows: ConditionReport[] = [];
    this.recent.forEach(({ condition, learnedAt }, target) => {
      const age = now - learnedAt;
      if (condition !== undefined && age <= newsLifetime) rows.push({ target, condition, age });
    });
    return rows.sort((left, right) => left.age - right.age).slice(0, newsLength);
  }

  /** Learns conditions from another daemon. */
  public mergeConditions(news: readonly ConditionReport[]): void {
    const { ids } = this.currentIndex;
    news.forEach(({ target, condition, age }) => {
      // Notes of targets that have left would stay for good.
      if (ids.has(target)) this.recordCondition(target, condition, age);
    });
  }

  /** Probability that a target is sick, by what is known now. */
  public unhealthyProbability(target: TargetId): number {
    const note = this.notes.get(target);
    if (note?.condition === undefined) return logistic(priorLogOdds);
    return logistic(decayLogOdds(note.condition.sickness, this.clock.elapsed() - note.learnedAt));
  }

  /** Raises the suspicion of a target by what this daemon has seen itself. */
  public raiseSuspicion(target: TargetId, sickness: number): void {
    const note = this.noteOf(target);
    if (note.condition === undefined || note.condition.sickness >= sickness) return;
    note.condition = { ...note.condition, sickness };
    note.learnedAt = this.clock.elapsed();
  }

  /** Counts a request that is sent to a target (+1) or has ended there (-1). */
  public adjustInFlight(target: TargetId, change: 1 | -1): void {
    if (change < 0 && !this.notes.has(target)) return;
    const note = this.noteOf(target);
    note.inFlight = Math.max(0, note.inFlight + change);
  }

  /** Targets of a service that may be tried now. */
  public candidates(service: ServiceName): Candidate[] {
    const now = this.clock.elapsed();
    const found: Candidate[] = [];
    this.targetsOf(service).forEach(({ peer: { record, restUntil }, target }) => {
      if (record.state === 'leaving' || restUntil > now || target.state !== 'ready') return;
      found.push(this.createCandidate(record, target, now));
    });
    return found;
  }

  /**
   * Whether a target of a service with these odds of sickness is among those that may be set aside. When most targets
   * look sick, a service that they call or the load is slow, and setting them all aside would leave nobody to serve.
   */
  public mayExclude(service: ServiceName, odds: number): boolean {
    const own = logistic(odds);
    const targets = this.targetsOf(service);
    const sicker = targets.filter(({ target }) => this.unhealthyProbability(target.id) > own);
    return sicker.length < Math.ceil(targets.length * largestSetAside);
  }

  /** Number of targets of a service, those that are not tried now included. */
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

  /** Forgets the targets of a record that the next one no longer lists. */
  private dropNotes(record: DaemonRecord | undefined, next?: DaemonRecord): void {
    record?.targets.forEach(({ id }) => {
      if (next?.targets.some((target) => target.id === id) === true) return;
      this.notes.delete(id);
      this.recent.delete(id);
    });
  }

  private keepRecent(target: TargetId, note: TargetNote): void {
    this.recent.delete(target);
    this.recent.set(target, note);
    if (this.recent.size <= recentLength) return;
    const [oldest] = this.recent.keys();
    if (oldest !== undefined) this.recent.delete(oldest);
  }

  private createCandidate(record: DaemonRecord, target: PublishedTarget, now: number): Candidate {
    const note = this.noteOf(target.id);
    return {
      daemon: record.daemon,
      recordVersion: recordVersion(record),
      address: record.address,
      region: record.region,
      dataCentre: record.dataCentre,
      target: target.id,
      incarnation: target.incarnation,
      slots: target.slots,
      inFlight: note.inFlight,
      condition: note.condition,
      age: now - note.learnedAt,
    };
  }

  private noteOf(target: TargetId): TargetNote {
    let note = this.notes.get(target);
    if (note === undefined) {
      note = { inFlight: 0, condition: undefined, learnedAt: 0 };
      this.notes.set(target, note);
    }
    return note;
  }

  private write(message: string, record: DaemonRecord): void {
    const { daemon, incarnation, address } = record;
    this.log.write({
      level: 'info',
      kind: 'membership',
      message,
      fields: { step: 'fleet', daemon, incarnation, address, known: this.peers.size },
    });
  }
}
