import { Emitter } from '../base/index.js';
import type { DaemonId, Disposable, ServiceName, TargetId } from '../base/index.js';
import type { TargetEntry, TargetState } from '../services/Types.js';
import { isGone } from './MemberOrder.js';
import type { MemberTable } from './MemberTable.js';
import type { MemberChangeEvent, MemberRecord, MemberStatus, MemberTarget } from './Types.js';

const candidateTargetStates: ReadonlySet<TargetState> = new Set([
  'starting',
  'active',
  'suspect',
  'trial',
]);

const candidateHomeStatuses: ReadonlySet<MemberStatus> = new Set(['alive', 'suspect']);

/** Services whose targets have changed. */
export interface DirectoryChange {
  readonly services: ReadonlySet<ServiceName>;
}

/** Entry of a target in the member record of a home; a target that moves can have several. */
interface Claim {
  readonly target: MemberTarget;
  readonly home: MemberRecord;
}

/**
 * Whether `left` names the more recent home of the target. Targets count their moves; otherwise two homes could admit
 * requests until the announcement at the old home expires, and together exceed the target's slots.
 */
function isLaterClaim(left: Claim, right: Claim): boolean {
  const { target: ours } = left;
  const { target: theirs } = right;
  if (ours.incarnation !== theirs.incarnation) return ours.incarnation > theirs.incarnation;
  if ((ours.move ?? 0) !== (theirs.move ?? 0)) return (ours.move ?? 0) > (theirs.move ?? 0);
  const isOurHomeUsable = candidateHomeStatuses.has(left.home.status);
  if (isOurHomeUsable !== candidateHomeStatuses.has(right.home.status)) return isOurHomeUsable;
  return left.home.id < right.home.id;
}

function createEntry({ target, home }: Claim): TargetEntry {
  const state =
    target.status === 'starting' || target.status === 'draining' ? target.status : 'active';
  return { ...target, state, home: home.id, location: home.location };
}

/** Targets of all live members by service, derived from the member table. */
export class TargetDirectory implements Disposable {
  private readonly claims = new Map<TargetId, Map<DaemonId, Claim>>();

  private readonly entries = new Map<ServiceName, Map<TargetId, TargetEntry>>();

  /** Built on demand: read for each request, while members change rarely. */
  private readonly candidateCache = new Map<ServiceName, readonly TargetEntry[]>();

  private readonly changeEmitter = new Emitter<DirectoryChange>();

  /** Fires once for each changed member record whose targets are affected. */
  public readonly onChange = this.changeEmitter.event;

  private readonly subscription: Disposable;

  public constructor(private readonly table: MemberTable) {
    table.all().forEach((after) => this.applyMemberChange({ after }));
    this.subscription = table.onChange((event) => this.applyMemberChange(event));
  }

  /** All targets of a service, whatever their state. */
  public all(service: ServiceName): readonly TargetEntry[] {
    return [...(this.entries.get(service)?.values() ?? [])];
  }

  /** Targets of a service that may get new requests. */
  public candidates(service: ServiceName): readonly TargetEntry[] {
    const cached = this.candidateCache.get(service);
    if (cached !== undefined) return cached;
    const candidates = this.all(service).filter((entry) => this.isCandidate(entry));
    this.candidateCache.set(service, candidates);
    return candidates;
  }

  /** A target by its id. */
  public get(id: TargetId): TargetEntry | undefined {
    const claim = this.latestClaim(id);
    return claim === undefined ? undefined : createEntry(claim);
  }

  /** Names of the services that have targets. */
  public services(): readonly ServiceName[] {
    return [...this.entries.keys()];
  }

  public dispose(): void {
    this.subscription.dispose();
    this.changeEmitter.dispose();
  }

  private isCandidate(entry: TargetEntry): boolean {
    const home = this.table.get(entry.home);
    return (
      home !== undefined &&
      candidateHomeStatuses.has(home.status) &&
      candidateTargetStates.has(entry.status)
    );
  }

  private applyMemberChange({ before, after }: MemberChangeEvent): void {
    const isLive = after !== undefined && !isGone(after.status);
    const previous = before?.targets ?? [];
    const current = isLive ? (after.targets ?? []) : [];
    const home = (after ?? before)?.id as DaemonId;
    previous.forEach(({ id }) => this.removeClaim(id, home));
    current.forEach((target) => this.addClaim({ target, home: after as MemberRecord }));
    const affected = [...previous, ...current];
    affected.forEach(({ id, service }) => this.updateEntry(id, service));
    const services = new Set(affected.map(({ service }) => service));
    services.forEach((service) => this.candidateCache.delete(service));
    if (services.size > 0) this.changeEmitter.fire({ services });
  }

  private removeClaim(id: TargetId, home: DaemonId): void {
    const claims = this.claims.get(id);
    claims?.delete(home);
    if (claims?.size === 0) this.claims.delete(id);
  }

  private addClaim(claim: Claim): void {
    const claims = this.claims.get(claim.target.id) ?? new Map<DaemonId, Claim>();
    claims.set(claim.home.id, claim);
    this.claims.set(claim.target.id, claims);
  }

  private latestClaim(id: TargetId): Claim | undefined {
    const claims = [...(this.claims.get(id)?.values() ?? [])];
    return claims.reduce<Claim | undefined>(
      (best, claim) => (best === undefined || isLaterClaim(claim, best) ? claim : best),
      undefined,
    );
  }

  private updateEntry(id: TargetId, service: ServiceName): void {
    const claim = this.latestClaim(id);
    const entries = this.entries.get(service) ?? new Map<TargetId, TargetEntry>();
    if (claim?.target.service === service) entries.set(id, createEntry(claim));
    else entries.delete(id);
    if (entries.size > 0) this.entries.set(service, entries);
    else this.entries.delete(service);
  }
}
