import { Either, left, right } from 'fp-ts/lib/Either.js';
import { Emitter } from '../base/index.js';
import type { Clock, Disposable, Incarnation, TargetId } from '../base/index.js';
import type { TargetAnnouncement, TargetState } from '../services/Types.js';
import type { MemberTarget } from './Types.js';

/** Interval at which a target renews its announcement. */
export const announcementRenewalPeriodMs = 1000;

/** An announcement expires when it has not been renewed for this long. */
export const announcementLifetimeMs = 3000;

/** Time for which the incarnation of a target that is gone is kept, to reject late renewals of older ones. */
const incarnationRetentionMs = 10 * 60 * 1000;

/** Why an announcement was rejected. */
export type AnnouncementRefusal = 'old-incarnation' | 'leaving';

interface ActiveAnnouncement {
  readonly announcement: TargetAnnouncement;
  readonly timer: Disposable;
}

/** State that the home assigns to a target; overrides the state that the target announces. */
export interface AssignedState {
  readonly status: TargetState;
  readonly share: number;
}

/** The targets that announce themselves to this daemon. */
export class TargetAnnouncements implements Disposable {
  private readonly announced = new Map<TargetId, ActiveAnnouncement>();

  private readonly lastIncarnations = new Map<TargetId, Incarnation>();

  private readonly assigned = new Map<TargetId, AssignedState>();

  /** Timers that delete the incarnations of targets that are gone. */
  private readonly forgetTimers = new Set<Disposable>();

  private readonly changeEmitter = new Emitter<void>();

  private readonly goneEmitter = new Emitter<TargetAnnouncement>();

  /** Fires when the result of `list` has changed. */
  public readonly onChange = this.changeEmitter.event;

  /** Fires when an announcement has expired, was withdrawn, or was replaced by a new incarnation. */
  public readonly onGone = this.goneEmitter.event;

  private isClosed = false;

  public constructor(private readonly clock: Clock) {}

  /** Adds or renews an announcement. */
  public announce(announcement: TargetAnnouncement): Either<AnnouncementRefusal, void> {
    if (this.isClosed) return left('leaving');
    const last = this.lastIncarnations.get(announcement.id);
    if (last !== undefined && announcement.incarnation < last) return left('old-incarnation');
    if (last !== undefined && announcement.incarnation > last) this.remove(announcement.id);
    this.renew(announcement);
    return right(undefined);
  }

  /** Removes the announcement of a target that stops, unless it belongs to another incarnation. */
  public withdraw(id: TargetId, incarnation: Incarnation): void {
    if (this.announced.get(id)?.announcement.incarnation !== incarnation) return;
    this.remove(id);
    this.changeEmitter.fire();
  }

  /** Assigns a state to a target; `undefined` returns to the announced state. */
  public assign(id: TargetId, state: AssignedState | undefined): void {
    if (state === undefined) this.assigned.delete(id);
    else this.assigned.set(id, state);
    if (this.announced.has(id)) this.changeEmitter.fire();
  }

  /** Rejects further announcements, so that the targets announce themselves to another daemon. */
  public close(): void {
    this.isClosed = true;
  }

  /** Whether the target has a valid announcement here. */
  public has(id: TargetId): boolean {
    return this.announced.has(id);
  }

  /** The last announcement that the target sent. */
  public get(id: TargetId): TargetAnnouncement | undefined {
    return this.announced.get(id)?.announcement;
  }

  /** Targets for the member record, ordered by id. */
  public list(): MemberTarget[] {
    const targets = [...this.announced.values()].map(({ announcement }) =>
      this.createMemberTarget(announcement),
    );
    return targets.sort((one, other) => (one.id < other.id ? -1 : 1));
  }

  public dispose(): void {
    this.announced.forEach(({ timer }) => timer.dispose());
    this.announced.clear();
    // A pending timer would keep a stopped process from exiting.
    this.forgetTimers.forEach((timer) => timer.dispose());
    this.forgetTimers.clear();
    this.changeEmitter.dispose();
    this.goneEmitter.dispose();
  }

  private renew(announcement: TargetAnnouncement): void {
    const { id } = announcement;
    const held = this.announced.get(id);
    held?.timer.dispose();
    const timer = this.clock.after(announcementLifetimeMs, () => this.expire(id));
    this.announced.set(id, { announcement, timer });
    this.lastIncarnations.set(id, announcement.incarnation);
    const isSame = JSON.stringify(held?.announcement) === JSON.stringify(announcement);
    if (!isSame) this.changeEmitter.fire();
  }

  private expire(id: TargetId): void {
    this.remove(id);
    this.changeEmitter.fire();
  }

  private remove(id: TargetId): void {
    const held = this.announced.get(id);
    if (held === undefined) return;
    held.timer.dispose();
    this.announced.delete(id);
    this.assigned.delete(id);
    const { incarnation } = held.announcement;
    const timer = this.clock.after(incarnationRetentionMs, () => {
      this.forgetTimers.delete(timer);
      this.forget(id, incarnation);
    });
    this.forgetTimers.add(timer);
    this.goneEmitter.fire(held.announcement);
  }

  private forget(id: TargetId, incarnation: Incarnation): void {
    const isLast = this.lastIncarnations.get(id) === incarnation;
    if (isLast && !this.announced.has(id)) this.lastIncarnations.delete(id);
  }

  private createMemberTarget(announcement: TargetAnnouncement): MemberTarget {
    const { state, ...rest } = announcement;
    const assigned = this.assigned.get(announcement.id);
    // A draining target gets no new work, whatever state the home has assigned.
    if (state === 'draining' || assigned === undefined) return { ...rest, status: state, share: 1 };
    return { ...rest, ...assigned };
  }
}
