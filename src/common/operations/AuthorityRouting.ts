import type { DaemonId, OperationKey } from '../base/index.js';
import { parseIssuedKey } from './KeyIssuer.js';
import { preferredOwner, rangeOf } from './KeyRanges.js';
import type { AuthorityLocation, AuthorityMember, RangeNumber, TextHash } from './Types.js';

/** What a daemon knows of the fleet when it looks for an authority. */
export interface AuthorityView {
  readonly self: AuthorityMember;
  /** All other known members. */
  readonly others: readonly AuthorityMember[];
  readonly hash: TextHash;
}

function at(member: AuthorityMember | undefined, view: AuthorityView): AuthorityLocation {
  if (member === undefined) return { type: 'away' };
  return member.id === view.self.id ? { type: 'self' } : { type: 'member', member };
}

function locateIssuer(key: OperationKey, view: AuthorityView): AuthorityLocation | undefined {
  const issued = parseIssuedKey(key);
  if (issued === undefined) return undefined;
  const member = [view.self, ...view.others].find(({ id }) => id === issued.daemon);
  if (member === undefined) return { type: 'away' };
  if (member.incarnation === issued.incarnation) return at(member, view);
  // Incarnations order by start time: a later one shows that the issuer has ended.
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
  const [group = []] = [liveClaimants, claimants, live].filter(({ length }) => length > 0);
  // Two daemons claim a range while a former owner is cut off; the candidate took over from it.
  const chosen = preferredOwner(
    range,
    group.map(({ id }) => id),
    view.hash,
  );
  return group.find(({ id }) => id === chosen);
}

/**
 * Daemon to ask about a key: the issuer of an issued key, otherwise the owner of its range. `excluded` are daemons
 * that have just answered that they do not own the range.
 */
export function locateAuthority(
  key: OperationKey,
  view: AuthorityView,
  excluded: ReadonlySet<DaemonId> = new Set(),
): AuthorityLocation {
  const issuer = locateIssuer(key, view);
  if (issuer !== undefined) return issuer;
  return at(locateOwner(rangeOf(key, view.hash), view, excluded), view);
}
