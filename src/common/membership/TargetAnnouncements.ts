import { Either, left, right } from 'fp-ts/lib/Either.js';
import { Emitter } from '../base/index.js';
import type { Clock, Disposable, Incarnation, TargetId } from '../base/index.js';
import type { TargetAnnouncement, TargetState } from '../services/Types.js';
import type { MemberTarget } from './Types.js';

/** Milliseconds between two renewals of an announcement. */
export const announcementRenewalPeriodMs = 1000;

/** Milliseconds after which an announcement that was not renewed expires. */
export const announcementLifetimeMs = 3000;

/** Milliseconds for which the incarnation of a target that is gone is remembered. */
const incarnationMemory = 10 * 60 * 1000;

/** Why an announcement was not taken. */
export type AnnouncementRefusal = 'old-incarnation' | 'leaving';

interface Announced {
  readonly announcement: TargetAnnouncement;
  readonly timer: Disposable;
}

/** State that the home gives a target, in place of what the target says of itself. */
export interface AssignedState {
  readonly status: TargetState;
  readonly share: number;
}

/** The targets that announce themselves to this daemon. */
export class TargetAnnouncements implements Disposable {
  private readonly announced = new Map<TargetId, Announced>();

  private readonly lastIncarnations = new Map<TargetId, Incarnation>();

  private readonly assigned = new Map<TargetId, AssignedState>();

  /** Timers that forget the incarnations of targets that are gone. */
  private readonly memories = new Set<Disposable>();

  private readonly changeEmitter = new Emitter<void>();

  private readonly goneEmitter = new Emitter<TargetAnnouncement>();

  /** Fires when `list` would give something else than before. */
  public readonly onChange = this.changeEmitter.event;

  /** Fires when a target missed its renewal, left, or was replaced by a new incarnation. */
  public readonly onGone = this.goneEmitter.event;

  private isClosed = false;

  public constructor(private readonly clock: Clock) {}

  /** Takes or renews an announcement. */
  public announce(announcement: TargetAnnouncement): Either<AnnouncementRefusal, void> {
    if (this.isClosed) return left('leaving');
    const last = this.lastIncarnations.get(announcement.id);
    if (last !== undefined && announcement.incarnation < last) return left('old-incarnation');
    if (last !== undefined && announcement.incarnation > last) this.remove(announcement.id);
    this.renew(announcement);
    return right(undefined);
  }

  /** Ends an announcement before it expires, for a target that stops. A later incarnation stays. */
  public withdraw(id: TargetId, incarnation: Incarnation): void {
    if (this.announced.get(id)?.announcement.incarnation !== incarnation) return;
    this.remove(id);
    this.changeEmitter.fire();
  }

  /** Sets the state that the home has decided on; `undefined` returns to what the target says. */
  public assign(id: TargetId, state: AssignedState | undefined): void {
    if (state === undefined) this.assigned.delete(id);
    else this.assigned.set(id, state);
    if (this.announced.has(id)) this.changeEmitter.fire();
  }

  /** Takes no more announcements, so that the targets announce themselves elsewhere. */
  public close(): void {
    this.isClosed = true;
  }

  /** Whether the target is announced here at this moment. */
  public has(id: TargetId): boolean {
    return this.announced.has(id);
  }

  /** The announcement as the target sent it last. */
  public get(id: TargetId): TargetAnnouncement | undefined {
    return this.announced.get(id)?.announcement;
  }

  /** Targets for the member record, by id. */
  public list(): MemberTarget[] {
    const targets = [...this.announced.values()].map(({ announcement }) =>
      this.entryOf(announcement),
    );
    return targets.sort((one, other) => (one.id < other.id ? -1 : 1));
  }

  public dispose(): void {
    this.announced.forEach(({ timer }) => timer.dispose());
    this.announced.clear();
    // A timer that is left keeps a stopped process from ending.
    this.memories.forEach((timer) => timer.dispose());
    this.memories.clear();
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
    const timer = this.clock.after(incarnationMemory, () => {
      this.memories.delete(timer);
      this.forget(id, incarnation);
    });
    this.memories.add(timer);
    this.goneEmitter.fire(held.announcement);
  }

  private forget(id: TargetId, incarnation: Incarnation): void {
    const isLast = this.lastIncarnations.get(id) === incarnation;
    if (isLast && !this.announced.has(id)) this.lastIncarnations.delete(id);
  }

  private entryOf(announcement: TargetAnnouncement): MemberTarget {
    const { state, ...rest } = announcement;
    const assigned = this.assigned.get(announcement.id);
    // A draining target gets no new work, whatever the home thought of it before.
    if (state === 'draining' || assigned === undefined) return { ...rest, status: state, share: 1 };
    return { ...rest, ...assigned };
  }
}
