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

/** How long a tombstone keeps an old record from returning, in milliseconds. */
export const tombstoneLifetimeMs = 2 * 60 * 60 * 1000;

/**
 * Milliseconds before its end from which a tombstone is no longer passed on. Daemons count its age with an error
 * of some seconds; without this margin one that dropped it would get it back from one that has not.
 */
export const tombstoneMarginMs = 60 * 1000;

interface Row {
  record: MemberRecord;
  /** `elapsed` time of death. */
  diedAt?: number;
  /** Not in the digest any more. */
  isFading: boolean;
}

/** Name for "nothing is held of this member"; orders before all incarnations. */
const noIncarnation = '' as Incarnation;

/** All member records that this daemon knows, with its own one. */
export class MemberTable implements Disposable {
  private readonly rows = new Map<DaemonId, Row>();

  private readonly tableDigest = new TableDigest();

  private readonly changeEmitter = new Emitter<MemberChangeEvent>();

  private readonly deathClaimEmitter = new Emitter<MemberRecord>();

  private readonly supersededEmitter = new Emitter<MemberRecord>();

  /** Fires after each change of a record. */
  public readonly onChange = this.changeEmitter.event;

  /** Fires when a peer holds a member as dead that is live here. It is held as suspect until that is checked. */
  public readonly onDeathReport = this.deathClaimEmitter.event;

  /** Fires when another run with this daemon's id has a later incarnation; this process must then stop. */
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

  /** Merges a record from a peer; true if it brought something new. */
  public merge(record: MemberRecord): boolean {
    if (record.id === this.own.id) return this.mergeOwn(record);
    const row = this.rows.get(record.id);
    if (row === undefined) return this.mergeUnknown(record);
    const isDoubtful = record.status === 'dead' && !isGone(row.record.status);
    const offered = isDoubtful ? MemberTable.doubted(record) : record;
    const merged = MemberTable.combine(row.record, offered);
    const isChanged = merged !== row.record;
    if (isChanged) this.write(merged, this.timeOfDeath(record));
    if (isDoubtful && !isAhead(merged, offered)) this.deathClaimEmitter.fire(merged);
    return isChanged;
  }

  /** Declares a member suspect or dead unless its record has changed since `seen`; true if it was declared. */
  public declare(seen: MemberVersion, status: 'suspect' | 'dead'): boolean {
    const record = this.get(seen.id);
    if (record === undefined || record.id === this.own.id) return false;
    const isSame = record.incarnation === seen.incarnation && record.version === seen.version;
    const declared: MemberRecord = { ...record, status };
    if (!isSame || !hasNewerState(declared, record)) return false;
    this.write(declared, this.clock.elapsed());
    return true;
  }

  /** Hash of the table; equal in two daemons that hold the same. */
  public digest(): number {
    return this.tableDigest.whole();
  }

  /** Hash of each part of the table. */
  public partDigests(): number[] {
    return this.tableDigest.parts();
  }

  /** What is held of one member. */
  public versionOf(id: DaemonId): MemberVersion {
    const record = this.get(id);
    if (record !== undefined) return versionOf(record);
    return { id, incarnation: noIncarnation, version: 0, status: 'alive', targetsVersion: 0 };
  }

  /** What is held of the members in some parts of the table. */
  public versionsOfParts(parts: readonly number[]): MemberVersion[] {
    return this.passedOn(parts).map(versionOf);
  }

  /** Record for a message; without its targets if the receiver holds the same list. */
  public exportRecord(id: DaemonId, isTargetsHeld: boolean): MemberRecord | undefined {
    const row = this.rows.get(id);
    if (row === undefined) return undefined;
    const { targets, ...rest } = row.record;
    const record = isTargetsHeld ? rest : { ...rest, targets };
    if (row.diedAt === undefined) return record;
    const age = Math.floor((this.clock.elapsed() - row.diedAt) / 1000);
    return { ...record, tombstoneAge: age };
  }

  /** Compares with what a peer holds. `parts` are those of which `versions` is the peer's whole list. */
  public delta(versions: readonly MemberVersion[], parts: readonly number[] = []): MemberDelta {
    const records = versions.flatMap((theirs) => this.missingAt(theirs));
    const requests = versions
      .map(({ id }) => this.versionOf(id))
      .filter((mine, index) => this.isWanted(versions[index] as MemberVersion, mine));
    const listed = new Set(versions.map(({ id }) => id));
    const unlisted = this.passedOn(parts).filter(({ id }) => !listed.has(id));
    const whole = unlisted.flatMap(({ id }) => this.exportRecord(id, false) ?? []);
    return { records: [...records, ...whole], requests };
  }

  /** Takes tombstones out of the digest and drops them when their time has come. */
  public sweep(): void {
    [...this.rows.values()].forEach((row) => {
      if (row.diedAt === undefined) return;
      const age = this.clock.elapsed() - row.diedAt;
      if (age >= tombstoneLifetimeMs - tombstoneMarginMs) this.fade(row);
      if (age >= tombstoneLifetimeMs) this.drop(row);
    });
  }

  public dispose(): void {
    this.changeEmitter.dispose();
    this.deathClaimEmitter.dispose();
    this.supersededEmitter.dispose();
  }

  /** Joins two records of one member: the later state, and the later list of targets of the same run. */
  private static combine(held: MemberRecord, offered: MemberRecord): MemberRecord {
    if (held.incarnation < offered.incarnation) return MemberTable.received(offered);
    const isStateNewer = hasNewerState(offered, held);
    const isListNewer = offered.targets !== undefined && hasNewerTargets(offered, held);
    if (!isStateNewer && !isListNewer) return held;
    const state = isStateNewer ? offered : held;
    const { targets, targetsVersion } = isListNewer ? offered : held;
    return { ...state, targets, targetsVersion };
  }

  /**
   * Two regions that lost each other hold each other's members as dead. Taking that over when they meet would empty
   * both views until each member has refuted.
   */
  private static doubted(record: MemberRecord): MemberRecord {
    const { tombstoneAge, ...rest } = record;
    return { ...rest, status: 'suspect' };
  }

  /** A record whose list was left out is held with list version 0, so that the list is asked for. */
  private static received(record: MemberRecord): MemberRecord {
    if (record.targets !== undefined) return record;
    return { ...record, targets: [], targetsVersion: 0 };
  }

  private mergeUnknown(record: MemberRecord): boolean {
    const ageLimit = (tombstoneLifetimeMs - tombstoneMarginMs) / 1000;
    if (isGone(record.status) && (record.tombstoneAge ?? 0) >= ageLimit) return false;
    this.write(MemberTable.received(record), this.timeOfDeath(record));
    return true;
  }

  private mergeOwn(record: MemberRecord): boolean {
    if (record.incarnation > this.own.incarnation) {
      this.write(MemberTable.received(record), this.timeOfDeath(record));
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
    if (row !== undefined && !row.isFading) this.tableDigest.toggle(row.record);
    const { tombstoneAge, ...kept } = record;
    const written: Row = { record: kept, isFading: false };
    if (isGone(record.status)) written.diedAt = MemberTable.firstDeath(row, kept, diedAt);
    this.rows.set(record.id, written);
    this.tableDigest.toggle(kept);
    this.changeEmitter.fire({ before, after: kept });
  }

  /** Two daemons that count the age of one tombstone agree on the higher age. */
  private static firstDeath(row: Row | undefined, record: MemberRecord, diedAt: number): number {
    if (row?.diedAt === undefined) return diedAt;
    const isSameDeath = !hasNewerState(record, row.record);
    return isSameDeath ? Math.min(diedAt, row.diedAt) : diedAt;
  }

  private fade(row: Row): void {
    if (row.isFading) return;
    row.isFading = true;
    this.tableDigest.toggle(row.record);
  }

  private drop(row: Row): void {
    this.rows.delete(row.record.id);
    this.changeEmitter.fire({ before: row.record });
  }

  private missingAt(theirs: MemberVersion): MemberRecord[] {
    const row = this.rows.get(theirs.id);
    if (row === undefined || row.isFading || !isAhead(row.record, theirs)) return [];
    const isSameRun = row.record.incarnation === theirs.incarnation;
    const isListHeld = isSameRun && row.record.targetsVersion <= theirs.targetsVersion;
    return [this.exportRecord(theirs.id, isListHeld) as MemberRecord];
  }

  private isWanted(theirs: MemberVersion, mine: MemberVersion): boolean {
    return theirs.incarnation !== noIncarnation && isAhead(theirs, mine);
  }

  private passedOn(parts: readonly number[]): MemberRecord[] {
    if (parts.length === 0) return [];
    const wanted = new Set(parts);
    return [...this.rows.values()]
      .filter(({ record, isFading }) => !isFading && wanted.has(partOf(record.id)))
      .map(({ record }) => record);
  }
}
