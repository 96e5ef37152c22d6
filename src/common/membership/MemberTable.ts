import { Emitter } from '../base/index.js';
import type { Clock, DaemonId, Disposable, Incarnation } from '../base/index.js';
import { hasNewerState, hasNewerTargets, isAhead, isGone, versionOf } from './MemberOrder.js';
import { TableDigest, partOf } from './TableDigest.js';
import type {
  OwnRecordChange,
  MemberDelta,
  MemberChangeEvent,
  MemberRecord,
  MemberVersion,
} from './Types.js';

/** Time for which a tombstone is kept, so that peers with a stale record cannot bring the member back. */
export const tombstoneLifetimeMs = 2 * 60 * 60 * 1000;

/**
 * Time before its expiry from which a tombstone is no longer sent to peers. Daemons measure its age with an error of
 * some seconds; without the margin, a daemon that dropped it could receive it again from one that has not.
 */
export const tombstoneMarginMs = 60 * 1000;

interface Row {
  record: MemberRecord;
  /** `Clock.elapsed` at which the member died or left; only for tombstones. */
  diedAt?: number;
  /** The tombstone is about to expire: it is no longer part of the digest and no longer sent. */
  isExcludedFromDigest: boolean;
}

/** Incarnation of an unknown member; orders before all others. */
const noIncarnation = '' as Incarnation;

/** All member records known to this daemon, its own included. */
export class MemberTable implements Disposable {
  private readonly rows = new Map<DaemonId, Row>();

  private readonly tableDigest = new TableDigest();

  private readonly changeEmitter = new Emitter<MemberChangeEvent>();

  private readonly deathReportEmitter = new Emitter<MemberRecord>();

  private readonly supersededEmitter = new Emitter<MemberRecord>();

  /** Fires after each change of a record. */
  public readonly onChange = this.changeEmitter.event;

  /** Fires when a peer reports a member dead that is live here. The member is suspect until it has been probed. */
  public readonly onDeathReport = this.deathReportEmitter.event;

  /** Fires when a later incarnation with this daemon's id appears; this process must then stop. */
  public readonly onSuperseded = this.supersededEmitter.event;

  private own: MemberRecord;

  public constructor(
    self: MemberRecord,
    private readonly clock: Clock,
  ) {
    this.own = self;
    this.write(self);
  }

  /** This daemon's own record. */
  public get self(): MemberRecord {
    return this.own;
  }

  public get(id: DaemonId): MemberRecord | undefined {
    return this.rows.get(id)?.record;
  }

  /** Number of records, tombstones included. */
  public get size(): number {
    return this.rows.size;
  }

  /** All records, tombstones included. */
  public all(): MemberRecord[] {
    return [...this.rows.values()].map(({ record }) => record);
  }

  /** Records of the members that are not gone, this daemon included. */
  public live(): MemberRecord[] {
    return this.all().filter(({ status }) => !isGone(status));
  }

  /** Changes this daemon's own record under the next version. */
  public updateSelf(change: OwnRecordChange): void {
    const version = this.own.version + 1;
    const targetsVersion = change.targets === undefined ? this.own.targetsVersion : version;
    this.writeOwn({ ...this.own, ...change, version, targetsVersion });
  }

  /** Merges a record from a peer; true if the table changed. */
  public merge(record: MemberRecord): boolean {
    if (record.id === this.own.id) return this.mergeOwn(record);
    const row = this.rows.get(record.id);
    if (row === undefined) return this.mergeUnknown(record);
    const isDisputedDeath = record.status === 'dead' && !isGone(row.record.status);
    const offered = isDisputedDeath ? MemberTable.asSuspect(record) : record;
    const merged = MemberTable.mergeRecords(row.record, offered);
    const isChanged = merged !== row.record;
    if (isChanged) this.write(merged, this.timeOfDeath(record));
    if (isDisputedDeath && !isAhead(merged, offered)) this.deathReportEmitter.fire(merged);
    return isChanged;
  }

  /** Marks a member suspect or dead unless its record has changed since `seen`; true if it was marked. */
  public declare(seen: MemberVersion, status: 'suspect' | 'dead'): boolean {
    const record = this.get(seen.id);
    if (record === undefined || record.id === this.own.id) return false;
    const isSame = record.incarnation === seen.incarnation && record.version === seen.version;
    const declared: MemberRecord = { ...record, status };
    if (!isSame || !hasNewerState(declared, record)) return false;
    this.write(declared, this.clock.elapsed());
    return true;
  }

  /** Hash of the table; equal in two daemons whose tables are equal. */
  public digest(): number {
    return this.tableDigest.whole();
  }

  /** Hash of each part of the table. */
  public partDigests(): number[] {
    return this.tableDigest.parts();
  }

  /** Version of the record of one member; with an empty incarnation if there is none. */
  public versionOf(id: DaemonId): MemberVersion {
    const record = this.get(id);
    if (record !== undefined) return versionOf(record);
    return { id, incarnation: noIncarnation, version: 0, status: 'alive', targetsVersion: 0 };
  }

  /** Versions of the records in some parts of the table. */
  public versionsOfParts(parts: readonly number[]): MemberVersion[] {
    return this.recordsInParts(parts).map(versionOf);
  }

  /** Record as sent to a peer, without the targets if the peer has the same list. */
  public exportRecord(id: DaemonId, isTargetsHeld: boolean): MemberRecord | undefined {
    const row = this.rows.get(id);
    if (row === undefined) return undefined;
    const { targets, ...rest } = row.record;
    const record = isTargetsHeld ? rest : { ...rest, targets };
    if (row.diedAt === undefined) return record;
    const age = Math.floor((this.clock.elapsed() - row.diedAt) / 1000);
    return { ...record, tombstoneAge: age };
  }

  /** Compares with a peer's versions. `parts` are the table parts of which `versions` is the complete list. */
  public delta(versions: readonly MemberVersion[], parts: readonly number[] = []): MemberDelta {
    const records = versions.flatMap((theirs) => this.missingAt(theirs));
    const requests = versions
      .map(({ id }) => this.versionOf(id))
      .filter((mine, index) => this.isWanted(versions[index] as MemberVersion, mine));
    const listed = new Set(versions.map(({ id }) => id));
    const unlisted = this.recordsInParts(parts).filter(({ id }) => !listed.has(id));
    const unlistedRecords = unlisted.flatMap(({ id }) => this.exportRecord(id, false) ?? []);
    return { records: [...records, ...unlistedRecords], requests };
  }

  /** Removes expired tombstones; shortly before, excludes them from the digest. */
  public sweep(): void {
    [...this.rows.values()].forEach((row) => {
      if (row.diedAt === undefined) return;
      const age = this.clock.elapsed() - row.diedAt;
      if (age >= tombstoneLifetimeMs - tombstoneMarginMs) this.excludeFromDigest(row);
      if (age >= tombstoneLifetimeMs) this.remove(row);
    });
  }

  public dispose(): void {
    this.changeEmitter.dispose();
    this.deathReportEmitter.dispose();
    this.supersededEmitter.dispose();
  }

  /** Merges two records of a member: the newer state, and the newer list of targets of the same incarnation. */
  private static mergeRecords(held: MemberRecord, offered: MemberRecord): MemberRecord {
    if (held.incarnation < offered.incarnation) return MemberTable.withTargetList(offered);
    const isStateNewer = hasNewerState(offered, held);
    const isTargetsNewer = offered.targets !== undefined && hasNewerTargets(offered, held);
    if (!isStateNewer && !isTargetsNewer) return held;
    const state = isStateNewer ? offered : held;
    const { targets, targetsVersion } = isTargetsNewer ? offered : held;
    return { ...state, targets, targetsVersion };
  }

  /**
   * After a partition, each region has the members of the other as dead. Merging these records as they are would
   * leave both sides without members until each member has refuted its death.
   */
  private static asSuspect(record: MemberRecord): MemberRecord {
    const { tombstoneAge, ...rest } = record;
    return { ...rest, status: 'suspect' };
  }

  /** A record without its list of targets is stored with list version 0, so that the list is requested. */
  private static withTargetList(record: MemberRecord): MemberRecord {
    if (record.targets !== undefined) return record;
    return { ...record, targets: [], targetsVersion: 0 };
  }

  private mergeUnknown(record: MemberRecord): boolean {
    const ageLimit = (tombstoneLifetimeMs - tombstoneMarginMs) / 1000;
    if (isGone(record.status) && (record.tombstoneAge ?? 0) >= ageLimit) return false;
    this.write(MemberTable.withTargetList(record), this.timeOfDeath(record));
    return true;
  }

  private mergeOwn(record: MemberRecord): boolean {
    if (record.incarnation > this.own.incarnation) {
      this.write(MemberTable.withTargetList(record), this.timeOfDeath(record));
      this.supersededEmitter.fire(record);
      return true;
    }
    if (!hasNewerState(record, this.own)) return false;
    this.writeOwn({ ...this.own, version: record.version + 1 });
    return true;
  }

  private writeOwn(record: MemberRecord): void {
    this.own = record;
    const held = this.get(record.id);
    const isSuperseded = held !== undefined && held.incarnation > record.incarnation;
    if (!isSuperseded) this.write(record, this.clock.elapsed());
  }

  private timeOfDeath(record: MemberRecord): number {
    return this.clock.elapsed() - (record.tombstoneAge ?? 0) * 1000;
  }

  private write(record: MemberRecord, diedAt = this.clock.elapsed()): void {
    const row = this.rows.get(record.id);
    const before = row?.record;
    if (row !== undefined && !row.isExcludedFromDigest) this.tableDigest.toggle(row.record);
    const { tombstoneAge, ...kept } = record;
    const written: Row = { record: kept, isExcludedFromDigest: false };
    if (isGone(record.status)) written.diedAt = MemberTable.earliestDeath(row, kept, diedAt);
    this.rows.set(record.id, written);
    this.tableDigest.toggle(kept);
    this.changeEmitter.fire({ before, after: kept });
  }

  /** Daemons that measure different ages of the same tombstone converge on the highest. */
  private static earliestDeath(row: Row | undefined, record: MemberRecord, diedAt: number): number {
    if (row?.diedAt === undefined) return diedAt;
    const isSameDeath = !hasNewerState(record, row.record);
    return isSameDeath ? Math.min(diedAt, row.diedAt) : diedAt;
  }

  private excludeFromDigest(row: Row): void {
    if (row.isExcludedFromDigest) return;
    row.isExcludedFromDigest = true;
    this.tableDigest.toggle(row.record);
  }

  private remove(row: Row): void {
    this.rows.delete(row.record.id);
    this.changeEmitter.fire({ before: row.record });
  }

  private missingAt(theirs: MemberVersion): MemberRecord[] {
    const row = this.rows.get(theirs.id);
    if (row === undefined || row.isExcludedFromDigest || !isAhead(row.record, theirs)) return [];
    const isSameRun = row.record.incarnation === theirs.incarnation;
    const isTargetsHeld = isSameRun && row.record.targetsVersion <= theirs.targetsVersion;
    return [this.exportRecord(theirs.id, isTargetsHeld) as MemberRecord];
  }

  private isWanted(theirs: MemberVersion, mine: MemberVersion): boolean {
    return theirs.incarnation !== noIncarnation && isAhead(theirs, mine);
  }

  private recordsInParts(parts: readonly number[]): MemberRecord[] {
    if (parts.length === 0) return [];
    const wanted = new Set(parts);
    return [...this.rows.values()]
      .filter(
        ({ record, isExcludedFromDigest }) =>
          !isExcludedFromDigest && wanted.has(partOf(record.id)),
      )
      .map(({ record }) => record);
  }
}
