import { Emitter } from '../base/index.js';
import type { DaemonId, Disposable, ServiceName, TargetId } from '../base/index.js';
import type { TargetEntry, TargetState } from '../services/Types.js';
import { isGone } from './MemberOrder.js';
import type { MemberTable } from './MemberTable.js';
import type { MemberChangeEvent, MemberRecord, MemberStatus, MemberTarget } from './Types.js';

const choosableTargets: ReadonlySet<TargetState> = new Set([
  'starting',
  'active',
  'suspect',
  'trial',
]);

const choosableHomes: ReadonlySet<MemberStatus> = new Set(['alive', 'suspect']);

/** Services of which the set of targets has changed. */
export interface DirectoryChange {
  readonly services: ReadonlySet<ServiceName>;
}

interface Claim {
  readonly target: MemberTarget;
  readonly home: MemberRecord;
}

/**
 * Whether `left` is the later home of the target. The target counts its moves; without that, its work could be
 * admitted at two homes while the announcement at the old one runs out, and exceed its slots.
 */
function isLaterClaim(left: Claim, right: Claim): boolean {
  const { target: ours } = left;
  const { target: theirs } = right;
  if (ours.incarnation !== theirs.incarnation) return ours.incarnation > theirs.incarnation;
  if ((ours.move ?? 0) !== (theirs.move ?? 0)) return (ours.move ?? 0) > (theirs.move ?? 0);
  const isOurHomeUsable = choosableHomes.has(left.home.status);
  if (isOurHomeUsable !== choosableHomes.has(right.home.status)) return isOurHomeUsable;
  return left.home.id < right.home.id;
}

function createEntry({ target, home }: Claim): TargetEntry {
  const state =
    target.status === 'starting' || target.status === 'draining' ? target.status : 'active';
  return { ...target, state, home: home.id, location: home.location };
}

/** All targets of all live members by service, kept up to date from the member table. */
export class TargetDirectory implements Disposable {
  private readonly claims = new Map<TargetId, Map<DaemonId, Claim>>();

  private readonly entries = new Map<ServiceName, Map<TargetId, TargetEntry>>();

  /** Built on demand, since the choice reads it for each request and members change rarely. */
  private readonly choosableCache = new Map<ServiceName, readonly TargetEntry[]>();

  private readonly changeEmitter = new Emitter<DirectoryChange>();

  /** Fires after a change of targets, once for each changed member record. */
  public readonly onChange = this.changeEmitter.event;

  private readonly subscription: Disposable;

  public constructor(private readonly table: MemberTable) {
    table.all().forEach((after) => this.follow({ after }));
    this.subscription = table.onChange((event) => this.follow(event));
  }

  /** All targets of a service, whatever their state. */
  public all(service: ServiceName): readonly TargetEntry[] {
    return [...(this.entries.get(service)?.values() ?? [])];
  }

  /** Targets of a service that may get new work. */
  public candidates(service: ServiceName): readonly TargetEntry[] {
    const cached = this.choosableCache.get(service);
    if (cached !== undefined) return cached;
    const chosen = this.all(service).filter((entry) => this.isChoosable(entry));
    this.choosableCache.set(service, chosen);
    return chosen;
  }

  /** A target by its id. */
  public get(id: TargetId): TargetEntry | undefined {
    const claim = this.winner(id);
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

  private isChoosable(entry: TargetEntry): boolean {
    const home = this.table.get(entry.home);
    return (
      home !== undefined && choosableHomes.has(home.status) && choosableTargets.has(entry.status)
    );
  }

  private follow({ before, after }: MemberChangeEvent): void {
    const isLive = after !== undefined && !isGone(after.status);
    const old = before?.targets ?? [];
    const present = isLive ? (after.targets ?? []) : [];
    const home = (after ?? before)?.id as DaemonId;
    old.forEach(({ id }) => this.removeClaim(id, home));
    present.forEach((target) => this.addClaim({ target, home: after as MemberRecord }));
    const touched = [...old, ...present];
    touched.forEach(({ id, service }) => this.refresh(id, service));
    const services = new Set(touched.map(({ service }) => service));
    services.forEach((service) => this.choosableCache.delete(service));
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

  private winner(id: TargetId): Claim | undefined {
    const claims = [...(this.claims.get(id)?.values() ?? [])];
    return claims.reduce<Claim | undefined>(
      (best, claim) => (best === undefined || isLaterClaim(claim, best) ? claim : best),
      undefined,
    );
  }

  private refresh(id: TargetId, service: ServiceName): void {
    const claim = this.winner(id);
    const entries = this.entries.get(service) ?? new Map<TargetId, TargetEntry>();
    if (claim?.target.service === service) entries.set(id, createEntry(claim));
    else entries.delete(id);
    if (entries.size > 0) this.entries.set(service, entries);
    else this.entries.delete(service);
  }
}
