import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type { Clock, Disposable, RefusalReason } from '../base/index.js';
import type { TargetLoad, WorkClass } from '../services/Types.js';
import type {
  AdmissionRequest,
  AdmissionFacts,
  AdmissionRefusal,
  CostEstimate,
  AdmissionLimits,
  Permit,
  SlotOutcome,
} from './Types.js';
import { minBulkShare, ClassShare } from './ClassShare.js';
import { WaitingQueue } from './WaitingQueue.js';

/** Result of asking for a slot. */
export type AdmissionResult = Either<AdmissionRefusal, Permit>;

/** Short work counts as present for this many milliseconds after its last arrival. */
const shortPresence = 5_000;

/** Milliseconds for which a draining gate still starts what already waits; below the 3 s of the requirement. */
const defaultDrainGrace = 2_000;

/** Weight of one request in the learned speed of this target. */
const speedWeight = 0.1;

/** Bounds of one request's ratio of measured to expected time; one straggler must not stop all admission. */
const ratioBounds = { lowest: 0.1, highest: 20 } as const;

/** Least `retryAfter` of a refusal, in milliseconds. */
const leastRetryAfter = 50;

/** A request in the queue or in a slot. */
interface Ticket {
  readonly workClass: WorkClass;
  readonly route: string;
  readonly arrived: number;
  readonly deadline: number;
  readonly expectedWait: number;
  readonly expectedCost: number;
  isLong: boolean;
  readonly decide: (result: AdmissionResult) => void;
}

/** A request that holds a slot. */
interface Running {
  readonly ticket: Ticket;
  readonly started: number;
}

/** Home-side admission to one target: in-flight work never exceeds its slots, the rest waits or is refused. */
export class AdmissionController implements Disposable {
  private readonly queue = new WaitingQueue<Ticket>();

  private readonly running = new Set<Running>();

  private readonly share = new ClassShare();

  private longRunning = 0;

  private lastShort = -Infinity;

  /** Measured time of this target divided by the time expected of its service. */
  private slowness = 1;

  /** Mean times in a slot in milliseconds. */
  private readonly meanTime = { all: 0, short: 0, long: 0 };

  private isDraining = false;

  private expiry: { readonly due: number; readonly timer: Disposable } | undefined;

  private grace: Disposable | undefined;

  public constructor(
    private settings: AdmissionLimits,
    private readonly cost: CostEstimate,
    private readonly clock: Clock,
  ) {}

  /** Present load, as each answer of the home carries it. */
  public get load(): TargetLoad {
    const queued = this.queue.size;
    const running = this.running.size;
    const longQueued = this.queue.all.filter(({ isLong }) => isLong).length;
    const long = { queued: longQueued, running: this.longRunning };
    const short = { queued: queued - longQueued, running: running - this.longRunning };
    return {
      queued,
      running,
      slots: this.settings.slots,
      serviceTime: this.meanTime.all,
      long: { ...long, serviceTime: this.meanTime.long },
      short: { ...short, serviceTime: this.meanTime.short },
    };
  }

  /** Load to be sent with the answer to a request, which tells the entry how its route is counted. */
  public loadFor(permit: Permit): TargetLoad {
    return { ...this.load, isLong: permit.facts.isLong };
  }

  /** Whether nothing runs and nothing waits. */
  public get isIdle(): boolean {
    return this.running.size === 0 && this.queue.size === 0;
  }

  /** Changes the limits. Running work keeps its slots when there are fewer than before. */
  public configure(settings: AdmissionLimits): void {
    this.settings = settings;
    this.startNext();
  }

  /** Asks for a slot and waits for it; aborting `signal` while the request waits refuses it as `cancelled`. */
  public submit(admission: AdmissionRequest, signal?: AbortSignal): Promise<AdmissionResult> {
    return new Promise((resolve) => {
      let cancel = (): void => {};
      const onAbort = (): void => cancel();
      const ticket = this.enqueue(admission, (result) => {
        signal?.removeEventListener('abort', onAbort);
        resolve(result);
      });
      cancel = () => ticket.dispose();
      if (signal?.aborted) cancel();
      else signal?.addEventListener('abort', onAbort);
    });
  }

  /**
   * Asks for a slot. `decide` is called exactly once, possibly before this returns.
   * Disposing the result while the request waits refuses it as `cancelled`; later it does nothing.
   */
  public enqueue(
    admission: AdmissionRequest,
    decide: (result: AdmissionResult) => void,
  ): Disposable {
    const ticket = this.createTicket(admission, decide);
    const reason = this.reasonToRefuse(ticket);
    if (reason !== undefined) this.refuse(ticket, reason);
    else this.accept(ticket);
    return { dispose: () => this.cancel(ticket) };
  }

  /** Refuses new work at once and what still waits after `grace` milliseconds. Running work goes on. */
  public drain(grace: number = defaultDrainGrace): void {
    this.isDraining = true;
    this.grace ??= this.clock.after(grace, () => this.refuseAll('draining'));
  }

  /** Refuses everything that waits. Running work can still be released. */
  public dispose(): void {
    this.isDraining = true;
    this.grace?.dispose();
    this.expiry?.timer.dispose();
    this.refuseAll('draining');
  }

  private createTicket(admission: AdmissionRequest, decide: Ticket['decide']): Ticket {
    const { route, workClass, timeout } = admission.context;
    const now = this.clock.elapsed();
    const deadline = now + timeout;
    const isLong = this.cost.isLong(route);
    if (!isLong) this.lastShort = now;
    const expectedCost = this.cost.expected(route) * this.slowness;
    const expectedWait = this.expectWait(workClass, deadline, isLong);
    return { workClass, route, arrived: now, deadline, expectedWait, expectedCost, isLong, decide };
  }

  private reasonToRefuse(ticket: Ticket): RefusalReason | undefined {
    if (this.isDraining) return 'draining';
    const finish = ticket.arrived + ticket.expectedWait + ticket.expectedCost;
    return finish > ticket.deadline ? 'deadline' : undefined;
  }

  private accept(ticket: Ticket): void {
    this.queue.add(ticket);
    this.startNext();
    if (this.queue.size > this.settings.maxQueue) this.evictFor(ticket);
    this.scheduleExpiry();
  }

  /** Keeps the queue in its bound. Critical work goes last; bulk work keeps its part of the queue. */
  private evictFor(ticket: Ticket): void {
    const bulk = this.queue.count('bulk');
    const isBulkFirst = bulk > Math.floor(this.settings.maxQueue * minBulkShare);
    const order: readonly WorkClass[] = isBulkFirst
      ? ['bulk', 'interactive', 'critical']
      : ['interactive', 'bulk', 'critical'];
    const victims = order.map((workClass) => this.queue.lastOf(workClass));
    const victim = victims.find((each) => each !== undefined) ?? ticket;
    if (this.queue.remove(victim)) this.refuse(victim, 'queue-full');
  }

  private startNext(): void {
    while (this.running.size < this.settings.slots) {
      this.expire();
      const next = this.findNext();
      if (next === undefined) return;
      this.queue.remove(next);
      this.start(next);
    }
  }

  private findNext(): Ticket | undefined {
    const next = this.queue.all.find((ticket) => this.mayStart(ticket));
    if (next?.workClass !== 'interactive' || !this.share.isBulkBelowShare) return next;
    const bulk = this.queue.all.find((each) => each.workClass === 'bulk' && this.mayStart(each));
    return bulk ?? next;
  }

  private mayStart(ticket: Ticket): boolean {
    return !ticket.isLong || !this.isShortPresent() || this.longRunning < this.longLimit();
  }

  private longLimit(): number {
    return Math.max(1, this.settings.slots - 1);
  }

  private isShortPresent(): boolean {
    return this.clock.elapsed() - this.lastShort < shortPresence;
  }

  private start(ticket: Ticket): void {
    const running: Running = { ticket, started: this.clock.elapsed() };
    this.running.add(running);
    if (ticket.isLong) this.longRunning += 1;
    this.share.record(ticket.workClass, ticket.expectedCost, this.meanTime.all);
    ticket.decide(
      right({
        facts: this.describe(ticket),
        release: (outcome) => this.release(running, outcome),
      }),
    );
  }

  private release(running: Running, outcome: SlotOutcome): void {
    if (!this.running.delete(running)) return;
    if (running.ticket.isLong) this.longRunning -= 1;
    this.learn(running, outcome);
    this.startNext();
  }

  private learn({ ticket, started }: Running, outcome: SlotOutcome): void {
    const time = this.clock.elapsed() - started;
    const expected = this.cost.expected(ticket.route);
    // A failed request says only that the cost is at least this much.
    if (outcome.kind !== 'success' && time <= expected) return;
    const ratio = time / Math.max(expected, Number.EPSILON);
    const bounded = Math.min(ratioBounds.highest, Math.max(ratioBounds.lowest, ratio));
    this.slowness += speedWeight * (bounded - this.slowness);
    this.recordTime('all', time);
    this.recordTime(ticket.isLong ? 'long' : 'short', time);
    this.cost.record(ticket.route, time);
  }

  private recordTime(kind: 'all' | 'short' | 'long', time: number): void {
    const mean = this.meanTime[kind];
    this.meanTime[kind] += (mean === 0 ? 1 : speedWeight) * (time - mean);
  }

  /** Milliseconds until a request of this order would get a slot. */
  private expectWait(workClass: WorkClass, deadline: number, isLong: boolean): number {
    if (this.running.size < this.settings.slots && this.queue.size === 0) return 0;
    const ahead = this.queue.ahead({ workClass, deadline });
    const rivals = isLong ? ahead : ahead.filter((ticket) => !ticket.isLong);
    const work = AdmissionController.sumCosts(rivals);
    const bulk = AdmissionController.sumCosts(
      rivals.filter((ticket) => ticket.workClass === 'bulk'),
    );
    // Interactive work cannot hold up bulk work for longer than the share of bulk work allows.
    const delaying = workClass === 'bulk' ? Math.min(work, bulk / minBulkShare) : work;
    return this.expectFreeSlot(isLong) + delaying / this.slotsFor(isLong);
  }

  private static sumCosts(tickets: readonly Ticket[]): number {
    return tickets.reduce((sum, ticket) => sum + ticket.expectedCost, 0);
  }

  private slotsFor(isLong: boolean): number {
    if (isLong) return this.isShortPresent() ? this.longLimit() : this.settings.slots;
    return Math.max(1, this.settings.slots - this.longRunning);
  }

  /** Milliseconds until the first of the running requests is expected to end; 0 if a slot is free. */
  private expectFreeSlot(isLong: boolean): number {
    const hasFreeSlot = this.running.size < this.settings.slots;
    const isHeldBack = isLong && this.isShortPresent() && this.longRunning >= this.longLimit();
    if (hasFreeSlot && !isHeldBack) return 0;
    const now = this.clock.elapsed();
    const remaining = [...this.running].map(({ ticket, started }) =>
      Math.max(0, started + ticket.expectedCost - now),
    );
    return remaining.length === 0 ? 0 : Math.min(...remaining);
  }

  /** Refuses waiting requests that would end after their deadline even if they started now. */
  private expire(): void {
    const now = this.clock.elapsed();
    this.queue
      .takeAll((ticket) => this.latestStart(ticket) < now)
      .forEach((ticket) => this.refuse(ticket, 'deadline'));
  }

  private latestStart(ticket: Ticket): number {
    return ticket.deadline - ticket.expectedCost;
  }

  /** Keeps one timer for the earliest latest start. It is not moved when that request starts; then it finds nothing. */
  private scheduleExpiry(): void {
    if (this.queue.size === 0) return;
    const due = Math.min(...this.queue.all.map((ticket) => this.latestStart(ticket)));
    if (this.expiry !== undefined && this.expiry.due <= due) return;
    this.expiry?.timer.dispose();
    const delay = Math.max(0, due - this.clock.elapsed()) + 1;
    const timer = this.clock.after(delay, () => {
      this.expiry = undefined;
      this.expire();
      this.scheduleExpiry();
    });
    this.expiry = { due, timer };
  }

  private cancel(ticket: Ticket): void {
    if (this.queue.remove(ticket)) this.refuse(ticket, 'cancelled');
  }

  private refuseAll(reason: RefusalReason): void {
    this.queue.takeAll(() => true).forEach((ticket) => this.refuse(ticket, reason));
  }

  private refuse(ticket: Ticket, reason: RefusalReason): void {
    const facts = this.describe(ticket);
    const retryAfter = Math.max(leastRetryAfter, ticket.expectedWait);
    const message = `${reason}: ${facts.load.running} of ${facts.load.slots} slots in use, ${facts.load.queued} waiting`;
    ticket.decide(left({ step: 'admission', notRun: true, reason, message, retryAfter, facts }));
  }

  private describe(ticket: Ticket): AdmissionFacts {
    return {
      workClass: ticket.workClass,
      isLong: ticket.isLong,
      expectedWait: ticket.expectedWait,
      expectedCost: ticket.expectedCost,
      waited: this.clock.elapsed() - ticket.arrived,
      load: { ...this.load, isLong: ticket.isLong },
    };
  }
}
