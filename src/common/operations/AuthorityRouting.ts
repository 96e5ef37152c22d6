import type { DaemonId, OperationKey } from '../base/index.js';
import { parseIssuedKey } from './KeyIssuer.js';
import { preferredOwner, rangeOf } from './KeyRanges.js';
import type { AuthorityLocation, AuthorityMember, RangeNumber, TextHash } from './Types.js';

/** State of the fleet as known to the daemon that looks for an authority. */
export interface AuthorityView {
  readonly self: AuthorityMember;
  /** All other known members. */
  readonly others: readonly AuthorityMember[];
  readonly hash: TextHash;
}

function toLocation(member: AuthorityMember | undefined, view: AuthorityView): AuthorityLocation {
  if (member === undefined) return { type: 'away' };
  return member.id === view.self.id ? { type: 'self' } : { type: 'member', member };
}

function locateIssuer(key: OperationKey, view: AuthorityView): AuthorityLocation | undefined {
  const issued = parseIssuedKey(key);
  if (issued === undefined) return undefined;
  const member = [view.self, ...view.others].find(({ id }) => id === issued.daemon);
  if (member === undefined) return { type: 'away' };
  if (member.incarnation === issued.incarnation) return toLocation(member, view);
  // Incarnations are ordered by start time, so a later one shows that the issuer has ended.
  return member.incarnation > issued.incarnation ? { type: 'ended' } : { type: 'away' };
}

function locateOwner(
  range: RangeNumber,
  view: AuthorityView,
  excluded: ReadonlySet<DaemonId>,
): AuthorityMember | undefined {
  const members = [view.self, ...view.others].filter(({ id }) => !excluded.has(id));
  const claimants = members.filter(({ ranges }) => ranges.includes(range));
  const live = members.filter(({ isLive }) => isLive);
  const liveClaimants = claimants.filter(({ isLive }) => isLive);
  const [candidates = []] = [liveClaimants, claimants, live].filter(({ length }) => length > 0);
  // While a former owner is disconnected, two daemons report the range; the preferred owner took over from it.
  const preferred = preferredOwner(
    range,
    candidates.map(({ id }) => id),
    view.hash,
  );
  return candidates.find(({ id }) => id === preferred);
}

/**
 * Finds the daemon responsible for a key: the issuer of an issued key, otherwise the owner of its range. `excluded`
 * are daemons that have just answered that they do not own the range.
 */
export function locateAuthority(
  key: OperationKey,
  view: AuthorityView,
  excluded: ReadonlySet<DaemonId> = new Set(),
): AuthorityLocation {
  const issuer = locateIssuer(key, view);
  if (issuer !== undefined) return issuer;
  return toLocation(locateOwner(rangeOf(key, view.hash), view, excluded), view);
}
