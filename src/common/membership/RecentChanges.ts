import type { DaemonId } from '../base/index.js';

/** Sends of each change for each doubling of the fleet. */
const sendsPerDoubling = 3;

/** Members whose records changed recently, each listed in a limited number of messages. */
export class RecentChanges {
  private readonly sendsLeft = new Map<DaemonId, number>();

  /** Notes a change in a fleet of `memberCount` daemons. */
  public record(id: DaemonId, memberCount: number): void {
    const sends = Math.ceil(sendsPerDoubling * Math.log2(Math.max(2, memberCount)));
    this.sendsLeft.set(id, sends);
  }

  public forget(id: DaemonId): void {
    this.sendsLeft.delete(id);
  }

  /** Takes up to `limit` ids for a message, those sent least often first. */
  public take(limit: number): DaemonId[] {
    const byNeed = [...this.sendsLeft].sort(([, left], [, right]) => right - left);
    const chosen = byNeed.slice(0, limit);
    chosen.forEach(([id, left]) => this.countSend(id, left));
    return chosen.map(([id]) => id);
  }

  private countSend(id: DaemonId, left: number): void {
    if (left <= 1) this.sendsLeft.delete(id);
    else this.sendsLeft.set(id, left - 1);
  }
}
