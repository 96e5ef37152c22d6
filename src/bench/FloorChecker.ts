import { ejectionKey } from '../common/ejection/index.js';
import type { EjectionEntry } from '../common/ejection/index.js';
import { brandAs } from '../api/index.js';
import type { ServiceName } from '../api/index.js';
import type { EjectionFleet, FleetMember } from './EjectionFleet.js';

/** Ejection that left fewer slots in service than the floor. */
export interface FloorViolation {
  readonly at: number;
  readonly target: string;
  readonly remaining: number;
}

/** Time for which a crashed target still counts, as its home can have confirmed it just before (docs/design.md 5.4). */
const crashGracePeriodMs = 4_000;

/** Checks each ejection against the actual state of the targets at the moment it takes effect in the store. */
export class FloorChecker {
  public readonly violations: FloorViolation[] = [];

  /** Ejections seen so far. */
  public ejections = 0;

  private readonly seenTokens = new Set<string>();

  private readonly downSince = new Map<FleetMember, number>();

  public constructor(private readonly fleet: EjectionFleet) {
    const key = ejectionKey(brandAs<ServiceName>('pujas'));
    fleet.store.onApplied(({ entry }) => {
      if (entry.key === key) this.check(entry.value);
    });
    this.trackCrashes();
  }

  private check(value: Uint8Array): void {
    const document = JSON.parse(new TextDecoder().decode(value)) as { entries: EjectionEntry[] };
    const listed = new Set<string>(document.entries.map(({ target }) => target));
    document.entries
      .filter(({ token }) => !this.seenTokens.has(token))
      .forEach(({ token, target }) => {
        this.seenTokens.add(token);
        this.ejections += 1;
        const remaining = this.capacityWithout(target, listed);
        const at = this.fleet.clock.elapsed();
        if (remaining < this.fleet.options.floor) this.violations.push({ at, target, remaining });
      });
  }

  private capacityWithout(excluded: string, listed: ReadonlySet<string>): number {
    return this.fleet.members
      .filter(({ announcement }) => announcement.id !== excluded)
      .reduce((sum, member) => sum + this.countedSlots(member, listed), 0);
  }

  private countedSlots(member: FleetMember, listed: ReadonlySet<string>): number {
    const { index, target, announcement } = member;
    const downSince = this.downSince.get(member);
    if (downSince !== undefined) {
      const isCounted = this.fleet.clock.elapsed() - downSince <= crashGracePeriodMs;
      return isCounted && !listed.has(announcement.id) ? target.slots : 0;
    }
    const state = this.fleet.stateOf(index);
    if (state === 'trial') return this.fleet.shareOf(index) * target.slots;
    // The ejection has taken effect, although the home has not been notified yet.
    if (listed.has(announcement.id)) return 0;
    return state === 'active' || state === 'suspect' ? target.slots : 0;
  }

  private trackCrashes(): void {
    this.fleet.members.forEach((member) => {
      if (!member.isDown) this.downSince.delete(member);
      else if (!this.downSince.has(member)) this.downSince.set(member, this.fleet.clock.elapsed());
    });
    this.fleet.clock.after(100, () => this.trackCrashes());
  }
}
