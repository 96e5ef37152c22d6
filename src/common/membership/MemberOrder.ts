import type { MemberRecord, MemberStatus, MemberVersion } from './Types.js';

/** Suspicion wins over what the member last said of itself, until it says something newer. */
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

/** Whether `left` is of a later run, or of the same run with a later state. */
export function hasNewerState(left: MemberVersion, right: MemberVersion): boolean {
  if (left.incarnation !== right.incarnation) return left.incarnation > right.incarnation;
  if (left.version !== right.version) return left.version > right.version;
  return statusRanks[left.status] > statusRanks[right.status];
}

/** Whether `left` holds a later list of targets of the same run. */
export function hasNewerTargets(left: MemberVersion, right: MemberVersion): boolean {
  return left.incarnation === right.incarnation && left.targetsVersion > right.targetsVersion;
}

/** Whether the holder of `left` has something that the holder of `right` lacks. */
export function isAhead(left: MemberVersion, right: MemberVersion): boolean {
  return hasNewerState(left, right) || hasNewerTargets(left, right);
}

/** The ordering fields of a record. */
export function versionOf(record: MemberRecord): MemberVersion {
  const { id, incarnation, version, status, targetsVersion } = record;
  return { id, incarnation, version, status, targetsVersion };
}
