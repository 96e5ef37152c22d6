import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type { Clock, Disposable } from '../base/index.js';
import { RateLimit } from './RateLimit.js';

/** Assumed mean time in a slot, in milliseconds, before the first request has ended. */
const initialMeanTime = 300;
/** Weight of one request in the mean time in a slot. */
const smoothingFactor = 0.1;
/** A request that runs longer than this multiple of the mean is stuck: it holds its slot until it is abandoned. */
const stuckFactor = 4;
/** Expected wait in milliseconds when stuck requests hold all slots. */
const allStuckWait = 10_000;

/** Request for a slot. */
export interface SlotRequest {
  /** Priority; 0 is served first. */
  readonly rank: number;
  /** Latency goal in milliseconds; among equal ranks the request with the earliest due time goes first. */
  readonly goal: number;
  /** Expected milliseconds in the slot. */
  readonly serviceTime: number;
  /** Maximum milliseconds in the queue. */
  readonly maxQueueWait: number;
  /** Whether it should go to another target if this one becomes suspect while it is queued. */
  readonly isMovable: boolean;
}

/** Why a request got no slot. */
export interface SlotRefusal {
  readonly reason: 'busy' | 'suspect' | 'draining' | 'cancelled';
  /** Milliseconds after which a slot is expected to be free. */
  readonly retryAfter: number;
}

/** A held slot. Only the first call of either function has an effect. */
export interface SlotPermit {
  /** Frees the slot after the request has run. */
  release(): void;
  /** Frees the slot of a request that has not run, so that the time in the slot does not count as work. */
  cancel(): void;
}

/** Load of a target without its stuck requests and their slots. */
export interface SlotLoad {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  /** Milliseconds between starts if the target limits its rate. */
  readonly interval: number | undefined;
  /** Milliseconds until another request could start by that limit. */
  readonly limitWait: number;
}

interface QueuedRequest extends SlotRequest {
  /** Time at which the response is due. */
  readonly due: number;
  /** Latest start that meets the due time. */
  readonly latestStart: number;
  /** Time at which it is refused. */
  readonly expires: number;
  readonly decide: (result: Either<SlotRefusal, SlotPermit>) => void;
  timer: Disposable | undefined;
  /** Stops listening to the caller's abort signal. */
  removeAbortListener: (() => void) | undefined;
}

/**
 * Admission queue for the slots of one target, ordered by rank. A request that cannot get a slot within `maxQueueWait`
 * is refused on arrival, or as soon as this is known. Slots held by stuck requests do not count, so that requests do
 * not queue for slots that will not become free when targets hang under peak load.
 */
export class SlotQueue implements Disposable {
  private readonly queue: QueuedRequest[] = [];

  /** Slots in use, with the start time of each request. */
  private readonly usedSlots = new Set<{ readonly started: number }>();

  private meanTime = initialMeanTime;

  private readonly rateLimit: RateLimit;

  /** Runs while requests are queued that only the rate limit keeps from starting. */
  private limitTimer: Disposable | undefined;

  public constructor(
    private slots: number,
    private readonly clock: Clock,
  ) {
    this.rateLimit = new RateLimit(clock);
  }

  /** Requests that hold a slot, including stuck ones. */
  public get running(): number {
    return this.usedSlots.size;
  }

  /** Number of queued requests. */
  public get queued(): number {
    return this.queue.length;
  }

  /** Mean time in a slot in milliseconds. */
  public get meanServiceTime(): number {
    return this.meanTime;
  }

  /** Current load without stuck requests. */
  public get load(): SlotLoad {
    const stuck = this.countStuck();
    return {
      running: this.usedSlots.size - stuck,
      queued: this.queue.length,
      slots: Math.max(0, this.slots - stuck),
      interval: this.rateLimit.interval,
      limitWait: this.rateLimit.waitFor(this.queue.length),
    };
  }

  /** Limits the starts of requests to a rate per second; undefined removes the limit. */
  public limitRate(rate: number | undefined): void {
    this.rateLimit.set(rate);
    this.startNext();
  }

  public resize(slots: number): void {
    this.slots = slots;
    this.startNext();
  }

  /** Waits for a slot; aborting `signal` while the request is queued refuses it as `cancelled`. */
  public submit(
    request: SlotRequest,
    signal: AbortSignal,
  ): Promise<Either<SlotRefusal, SlotPermit>> {
    const now = this.clock.elapsed();
    return new Promise((resolve) => {
      const item: QueuedRequest = {
        ...request,
        due: now + request.goal,
        latestStart: now + request.goal - request.serviceTime,
        expires: now + request.maxQueueWait,
        decide: resolve,
        timer: undefined,
        removeAbortListener: undefined,
      };
      const wait = this.estimateWait(
        this.queue.filter((other) => !this.goesBefore(item, other)).length,
      );
      if (wait > request.maxQueueWait) {
        resolve(left({ reason: 'busy', retryAfter: wait }));
        return;
      }
      this.queue.push(item);
      this.startNext();
      if (!this.queue.includes(item)) return;
      item.timer = this.clock.after(request.maxQueueWait, () => this.refuse(item, 'busy'));
      const cancel = (): void => this.refuse(item, 'cancelled');
      signal.addEventListener('abort', cancel, { once: true });
      item.removeAbortListener = () => signal.removeEventListener('abort', cancel);
    });
  }

  /** Refuses the queued requests that are not expected to get a slot before they expire. */
  public refuseUnservable(): void {
    const now = this.clock.elapsed();
    this.ordered().forEach((item, index) => {
      if (this.estimateWait(index) > item.expires - now) this.refuse(item, 'busy');
    });
  }

  /** Refuses the queued requests that match, so that they can be sent to another target. */
  public evict(reason: SlotRefusal['reason'], matches: (request: SlotRequest) => boolean): void {
    this.queue.filter((item) => matches(item)).forEach((item) => this.refuse(item, reason));
  }

  public dispose(): void {
    this.evict('draining', () => true);
    this.limitTimer?.dispose();
  }

  /** Expected milliseconds until a request with `ahead` others before it starts. */
  private estimateWait(ahead: number): number {
    return Math.max(this.estimateSlotWait(ahead), this.rateLimit.waitFor(ahead));
  }

  private estimateSlotWait(ahead: number): number {
    if (this.usedSlots.size + ahead < this.slots) return 0;
    const { running, slots } = this.load;
    if (slots === 0) return allStuckWait;
    return ((ahead + 1 + running - slots) * this.meanTime) / slots;
  }

  private countStuck(): number {
    const limit = this.clock.elapsed() - stuckFactor * this.meanTime;
    return [...this.usedSlots].filter(({ started }) => started < limit).length;
  }

  /** Queued requests in the order in which they start. */
  private ordered(): QueuedRequest[] {
    return [...this.queue].sort((one, other) => (this.goesBefore(one, other) ? -1 : 1));
  }

  /** Orders by rank, then requests that can still meet their due time, then by due time. */
  private goesBefore(one: QueuedRequest, other: QueuedRequest): boolean {
    if (one.rank !== other.rank) return one.rank < other.rank;
    const now = this.clock.elapsed();
    const isLate = one.latestStart < now;
    if (isLate !== other.latestStart < now) return !isLate;
    return one.due < other.due;
  }

  private refuse(item: QueuedRequest, reason: SlotRefusal['reason']): void {
    const index = this.ordered().indexOf(item);
    if (!this.remove(item)) return;
    item.decide(left({ reason, retryAfter: this.estimateWait(index) }));
  }

  private remove(item: QueuedRequest): boolean {
    const index = this.queue.indexOf(item);
    if (index < 0) return false;
    this.queue.splice(index, 1);
    item.timer?.dispose();
    item.removeAbortListener?.();
    return true;
  }

  private startNext(): void {
    this.limitTimer?.dispose();
    this.limitTimer = undefined;
    while (this.usedSlots.size < this.slots) {
      const [next] = this.ordered();
      if (next === undefined) return;
      const limitWait = this.rateLimit.waitFor(0);
      if (limitWait > 0) {
        this.limitTimer = this.clock.after(limitWait, () => this.startNext());
        return;
      }
      this.rateLimit.recordStart();
      this.remove(next);
      next.decide(right(this.createPermit()));
    }
  }

  private createPermit(): SlotPermit {
    const slot = { started: this.clock.elapsed() };
    this.usedSlots.add(slot);
    return {
      cancel: () => {
        if (this.usedSlots.delete(slot)) this.startNext();
      },
      release: () => {
        if (!this.usedSlots.delete(slot)) return;
        // The time of a stuck request is not typical of the others, so it is clipped.
        const work = Math.min(this.clock.elapsed() - slot.started, stuckFactor * this.meanTime);
        this.meanTime += smoothingFactor * (work - this.meanTime);
        this.startNext();
      },
    };
  }
}
