import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type { Clock, Disposable } from '../base/index.js';

/** Milliseconds of work that are assumed before the first request has ended. */
const assumedWork = 300;
/** Weight of the newest request in the mean work. */
const workWeight = 0.1;

/** A request that asks for a slot. */
export interface SlotDemand {
  /** 0 is served first. */
  readonly rank: number;
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

interface Waiting extends SlotDemand {
  readonly decide: (result: Either<SlotRefusal, SlotPermit>) => void;
  timer: Disposable | undefined;
}

/**
 * Admission to the slots of one target: more urgent requests go first, and one that cannot get a slot within its
 * patience is refused on arrival. Answers the load of a crest, where a queue behind full slots would only hold
 * requests that another target could run.
 */
export class SlotQueue implements Disposable {
  private readonly waiting: Waiting[] = [];

  private held = 0;

  private meanWork = assumedWork;

  public constructor(
    private slots: number,
    private readonly clock: Clock,
  ) {}

  /** Requests that hold a slot. */
  public get running(): number {
    return this.held;
  }

  /** Requests that wait. */
  public get queued(): number {
    return this.waiting.length;
  }

  /** Mean time in a slot in milliseconds. */
  public get work(): number {
    return this.meanWork;
  }

  /** Changes the number of slots. */
  public resize(slots: number): void {
    this.slots = slots;
    this.grant();
  }

  /** Milliseconds that a request of this rank is expected to wait. */
  public expectedWait(rank: number): number {
    if (this.held < this.slots && this.waiting.length === 0) return 0;
    const ahead = this.waiting.filter((other) => other.rank <= rank).length;
    return ((ahead + 1 + this.held - this.slots) * this.meanWork) / this.slots;
  }

  /** Asks for a slot. */
  public submit(demand: SlotDemand, signal: AbortSignal): Promise<Either<SlotRefusal, SlotPermit>> {
    const wait = this.expectedWait(demand.rank);
    if (wait > demand.patience) {
      return Promise.resolve(left({ reason: 'busy', retryAfter: wait }));
    }
    return new Promise((resolve) => {
      const entry: Waiting = { ...demand, decide: resolve, timer: undefined };
      this.insert(entry);
      this.grant();
      if (!this.waiting.includes(entry)) return;
      entry.timer = this.clock.after(demand.patience, () => this.refuse(entry, 'busy'));
      signal.addEventListener('abort', () => this.refuse(entry, 'cancelled'), { once: true });
    });
  }

  /** Refuses the waiting requests that fit, so that they can be placed elsewhere. */
  public evict(reason: SlotRefusal['reason'], fits: (demand: SlotDemand) => boolean): void {
    this.waiting.filter((entry) => fits(entry)).forEach((entry) => this.refuse(entry, reason));
  }

  public dispose(): void {
    this.evict('draining', () => true);
  }

  private insert(entry: Waiting): void {
    const index = this.waiting.findIndex((other) => other.rank > entry.rank);
    if (index < 0) this.waiting.push(entry);
    else this.waiting.splice(index, 0, entry);
  }

  private refuse(entry: Waiting, reason: SlotRefusal['reason']): void {
    if (!this.remove(entry)) return;
    entry.decide(left({ reason, retryAfter: this.expectedWait(entry.rank) }));
  }

  private remove(entry: Waiting): boolean {
    const index = this.waiting.indexOf(entry);
    if (index < 0) return false;
    this.waiting.splice(index, 1);
    entry.timer?.dispose();
    return true;
  }

  private grant(): void {
    while (this.held < this.slots) {
      const next = this.waiting[0];
      if (next === undefined) return;
      this.remove(next);
      next.decide(right(this.createPermit()));
    }
  }

  private createPermit(): SlotPermit {
    const started = this.clock.elapsed();
    let isReleased = false;
    this.held += 1;
    return {
      release: () => {
        if (isReleased) return;
        isReleased = true;
        this.held -= 1;
        this.meanWork += workWeight * (this.clock.elapsed() - started - this.meanWork);
        this.grant();
      },
    };
  }
}
