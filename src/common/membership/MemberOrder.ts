import type { MemberRecord, MemberStatus, MemberVersion } from './Types.js';

/** Order of statuses at equal versions: a suspicion holds until the member refutes it with a higher version. */
const statusRanks: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  leaving: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/** Whether a record with this status is a tombstone. */
export function isGone(status: MemberStatus): boolean {
  return status === 'dead' || status === 'left';
}

/** Whether `left` is of a later incarnation, or newer within the same incarnation. */
export function hasNewerState(left: MemberVersion, right: MemberVersion): boolean {
  if (left.incarnation !== right.incarnation) return left.incarnation > right.incarnation;
  if (left.version !== right.version) return left.version > right.version;
  return statusRanks[left.status] > statusRanks[right.status];
}

/** Whether `left` has a newer list of targets of the same incarnation. */
export function hasNewerTargets(left: MemberVersion, right: MemberVersion): boolean {
  return left.incarnation === right.incarnation && left.targetsVersion > right.targetsVersion;
}

/** Whether `left` has a newer state or a newer list of targets than `right`. */
export function isAhead(left: MemberVersion, right: MemberVersion): boolean {
  return hasNewerState(left, right) || hasNewerTargets(left, right);
}

/** Version of a record. */
export function versionOf(record: MemberRecord): MemberVersion {
  const { id, incarnation, version, status, targetsVersion } = record;
  return { id, incarnation, version, status, targetsVersion };
}
