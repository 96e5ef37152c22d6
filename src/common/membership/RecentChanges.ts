import type { DaemonId } from '../base/index.js';

/** Messages that list a change, per doubling of the fleet size. */
const sendsPerDoubling = 3;

/** Members whose records changed recently, each listed in a limited number of messages. */
export class RecentChanges {
  private readonly sendsLeft = new Map<DaemonId, number>();

  /** Records a change in a fleet of `memberCount` daemons. */
  public record(id: DaemonId, memberCount: number): void {
    const sends = Math.ceil(sendsPerDoubling * Math.log2(Math.max(2, memberCount)));
    this.sendsLeft.set(id, sends);
  }

  public forget(id: DaemonId): void {
    this.sendsLeft.delete(id);
  }

  /** Returns up to `limit` ids for a message, those with the most sends left first, and counts the send. */
  public take(limit: number): DaemonId[] {
    const bySendsLeft = [...this.sendsLeft].sort(([, left], [, right]) => right - left);
    const chosen = bySendsLeft.slice(0, limit);
    chosen.forEach(([id, left]) => this.countSend(id, left));
    return chosen.map(([id]) => id);
  }

  private countSend(id: DaemonId, left: number): void {
    if (left <= 1) this.sendsLeft.delete(id);
    else this.sendsLeft.set(id, left - 1);
  }
}
