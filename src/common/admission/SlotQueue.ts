import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type { Clock, Disposable } from '../base/index.js';

/** Milliseconds of work that are assumed before the first request has ended. */
const assumedWork = 300;
/** Weight of the newest request in the mean work. */
const workWeight = 0.1;
/** A request that runs this many times longer than the mean holds its slot until it is given up. */
const stuckFactor = 4;
/** Milliseconds that a request waits behind slots that are all held by stuck requests. */
const hopelessWait = 10_000;

/** A request that asks for a slot. */
export interface SlotRequest {
  /** 0 is served first. */
  readonly rank: number;
  /** Latency in milliseconds that is asked for; among equals the one that is due first goes first. */
  readonly goal: number;
  /** Milliseconds that it is expected to hold the slot. */
  readonly work: number;
  /** Milliseconds for which it may wait. */
  readonly patience: number;
  /** Whether it is better placed elsewhere if the target falls sick while it waits. */
  readonly isMovable: boolean;
}

/** Why a request got no slot. */
export interface SlotRefusal {
  readonly reason: 'busy' | 'suspect' | 'draining' | 'cancelled';
  /** Milliseconds after which a slot is expected to be free. */
  readonly retryAfter: number;
}

/** A held slot; it is released once. */
export interface SlotPermit {
  release(): void;
}

/** Slots that serve at present, without those of stuck requests. */
export interface SlotLoad {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
}

interface Waiting extends SlotRequest {
  /** Moment at which the answer is asked for. */
  readonly due: number;
  /** Last moment of a start that can be answered in time. */
  readonly latestStart: number;
  /** Moment at which it is refused. */
  readonly expires: number;
  readonly decide: (result: Either<SlotRefusal, SlotPermit>) => void;
  timer: Disposable | undefined;
  /** Stops listening to the caller. */
  forget: (() => void) | undefined;
}

/**
 * Admission to the slots of one target: more urgent requests go first, and one that cannot get a slot within its
 * patience is refused on arrival, or as soon as that shows. Answers the load of a crest at which some targets hang:
 * slots of stuck requests do not count, so that nobody queues for a slot that will not be free.
 */
export class SlotQueue implements Disposable {
  private readonly waiting: Waiting[] = [];

  /** Start of each request that holds a slot. */
  private readonly held = new Set<{ readonly started: number }>();

  private meanWork = assumedWork;

  public constructor(
    private slots: number,
    private readonly clock: Clock,
  ) {}

  /** Requests that hold a slot, the stuck ones included. */
  public get running(): number {
    return this.held.size;
  }

  /** Requests that wait. */
  public get queued(): number {
    return this.waiting.length;
  }

  /** Mean time in a slot in milliseconds. */
  public get meanServiceTime(): number {
    return this.meanWork;
  }

  /** Present load of the slots that serve. */
  public get load(): SlotLoad {
    const stuck = this.countStuck();
    return {
      running: this.held.size - stuck,
      queued: this.waiting.length,
      slots: Math.max(0, this.slots - stuck),
    };
  }

  /** Changes the number of slots. */
  public resize(slots: number): void {
    this.slots = slots;
    this.grant();
  }

  /** Asks for a slot. */
  public submit(
    demand: SlotRequest,
    signal: AbortSignal,
  ): Promise<Either<SlotRefusal, SlotPermit>> {
    const now = this.clock.elapsed();
    return new Promise((resolve) => {
      const entry: Waiting = {
        ...demand,
        due: now + demand.goal,
        latestStart: now + demand.goal - demand.work,
        expires: now + demand.patience,
        decide: resolve,
        timer: undefined,
        forget: undefined,
      };
      const wait = this.waitBehind(
        this.waiting.filter((other) => !this.goesBefore(entry, other)).length,
      );
      if (wait > demand.patience) {
        resolve(left({ reason: 'busy', retryAfter: wait }));
        return;
      }
      this.waiting.push(entry);
      this.grant();
      if (!this.waiting.includes(entry)) return;
      entry.timer = this.clock.after(demand.patience, () => this.refuse(entry, 'busy'));
      const cancel = (): void => this.refuse(entry, 'cancelled');
      signal.addEventListener('abort', cancel, { once: true });
      entry.forget = () => signal.removeEventListener('abort', cancel);
    });
  }

  /** Refuses the waiting requests that will not get a slot in time. */
  public refuseUnservable(): void {
    const now = this.clock.elapsed();
    this.ordered().forEach((entry, index) => {
      if (this.waitBehind(index) > entry.expires - now) this.refuse(entry, 'busy');
    });
  }

  /** Refuses the waiting requests that fit, so that they can be placed elsewhere. */
  public evict(reason: SlotRefusal['reason'], fits: (demand: SlotRequest) => boolean): void {
    this.waiting.filter((entry) => fits(entry)).forEach((entry) => this.refuse(entry, reason));
  }

  public dispose(): void {
    this.evict('draining', () => true);
  }

  /** Milliseconds until a request behind `ahead` others is expected to get a slot. */
  private waitBehind(ahead: number): number {
    if (this.held.size + ahead < this.slots) return 0;
    const { running, slots } = this.load;
    if (slots === 0) return hopelessWait;
    return ((ahead + 1 + running - slots) * this.meanWork) / slots;
  }

  private countStuck(): number {
    const limit = this.clock.elapsed() - stuckFactor * this.meanWork;
    return [...this.held].filter(({ started }) => started < limit).length;
  }

  /** Waiting requests, the next one first. */
  private ordered(): Waiting[] {
    return [...this.waiting].sort((one, other) => (this.goesBefore(one, other) ? -1 : 1));
  }

  /** The more urgent goes first; among equals those that can still be in time, and of these the one due first. */
  private goesBefore(one: Waiting, other: Waiting): boolean {
    if (one.rank !== other.rank) return one.rank < other.rank;
    const now = this.clock.elapsed();
    const isLate = one.latestStart < now;
    if (isLate !== other.latestStart < now) return !isLate;
    return one.due < other.due;
  }

  private refuse(entry: Waiting, reason: SlotRefusal['reason']): void {
    const index = this.ordered().indexOf(entry);
    if (!this.remove(entry)) return;
    entry.decide(left({ reason, retryAfter: this.waitBehind(index) }));
  }

  private remove(entry: Waiting): boolean {
    const index = this.waiting.indexOf(entry);
    if (index < 0) return false;
    this.waiting.splice(index, 1);
    entry.timer?.dispose();
    entry.forget?.();
    return true;
  }

  private grant(): void {
    while (this.held.size < this.slots) {
      const [next] = this.ordered();
      if (next === undefined) return;
      this.remove(next);
      next.decide(right(this.createPermit()));
    }
  }

  private createPermit(): SlotPermit {
    const holder = { started: this.clock.elapsed() };
    this.held.add(holder);
    return {
      release: () => {
        if (!this.held.delete(holder)) return;
        // A stuck request says nothing of the work of the others.
        const work = Math.min(this.clock.elapsed() - holder.started, stuckFactor * this.meanWork);
        this.meanWork += workWeight * (work - this.meanWork);
        this.grant();
      },
    };
  }
}
