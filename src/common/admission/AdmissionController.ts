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

/** Result of a request for a slot. */
export type AdmissionResult = Either<AdmissionRefusal, Permit>;

/** Milliseconds after the last arrival of short work during which one slot is reserved for short work. */
const shortWorkTimeout = 5_000;

/** Milliseconds for which queued requests are still started during a drain; below the required drain time of 3 s. */
const defaultDrainGrace = 2_000;

/** Weight of one request in the moving averages of this target. */
const smoothingFactor = 0.1;

/** Limits of the measured/expected time ratio of one request, so that a single straggler cannot stop all admission. */
const ratioBounds = { lowest: 0.1, highest: 20 } as const;

/** Minimum `retryAfter` of a refusal, in milliseconds. */
const minRetryAfter = 50;

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

/** Admission control of a home for one target: runs at most one request per slot, queues or refuses the others. */
export class AdmissionController implements Disposable {
  private readonly queue = new WaitingQueue<Ticket>();

  private readonly running = new Set<Running>();

  private readonly classShare = new ClassShare();

  private longRunning = 0;

  private lastShortArrival = -Infinity;

  /** Ratio of the measured times of this target to the times expected for the service. */
  private slowness = 1;

  /** Mean times in milliseconds for which requests hold a slot. */
  private readonly meanSlotTime = { all: 0, short: 0, long: 0 };

  private isDraining = false;

  private expiry: { readonly due: number; readonly timer: Disposable } | undefined;

  private graceTimer: Disposable | undefined;

  public constructor(
    private settings: AdmissionLimits,
    private readonly costs: CostEstimate,
    private readonly clock: Clock,
  ) {}

  /** Current load, sent with each response of the home. */
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
      serviceTime: this.meanSlotTime.all,
      long: { ...long, serviceTime: this.meanSlotTime.long },
      short: { ...short, serviceTime: this.meanSlotTime.short },
    };
  }

  /** Load sent with the response to a request. It tells the entry whether the route counts as long. */
  public loadFor(permit: Permit): TargetLoad {
    return { ...this.load, isLong: permit.facts.isLong };
  }

  /** Whether no request is running or queued. */
  public get isIdle(): boolean {
    return this.running.size === 0 && this.queue.size === 0;
  }

  /** Changes the limits. Running requests keep their slots if the number of slots is reduced. */
  public configure(settings: AdmissionLimits): void {
    this.settings = settings;
    this.startNext();
  }

  /** Waits for a slot. Aborting `signal` while the request is queued refuses it as `cancelled`. */
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
   * Requests a slot. `decide` is called exactly once, possibly before this returns.
   * Disposing the result while the request is queued refuses it as `cancelled`; later it has no effect.
   */
  public enqueue(
    admission: AdmissionRequest,
    decide: (result: AdmissionResult) => void,
  ): Disposable {
    const ticket = this.createTicket(admission, decide);
    const reason = this.refusalReason(ticket);
    if (reason !== undefined) this.refuse(ticket, reason);
    else this.accept(ticket);
    return { dispose: () => this.cancel(ticket) };
  }

  /** Refuses new requests at once and queued ones after `grace` milliseconds. Running requests continue. */
  public drain(grace: number = defaultDrainGrace): void {
    this.isDraining = true;
    this.graceTimer ??= this.clock.after(grace, () => this.refuseAll('draining'));
  }

  /** Refuses all queued requests. Running requests can still be released. */
  public dispose(): void {
    this.isDraining = true;
    this.graceTimer?.dispose();
    this.expiry?.timer.dispose();
    this.refuseAll('draining');
  }

  private createTicket(admission: AdmissionRequest, decide: Ticket['decide']): Ticket {
    const { route, workClass, timeout } = admission.context;
    const now = this.clock.elapsed();
    const deadline = now + timeout;
    const isLong = this.costs.isLong(route);
    if (!isLong) this.lastShortArrival = now;
    const expectedCost = this.costs.expected(route) * this.slowness;
    const expectedWait = this.estimateWait(workClass, deadline, isLong);
    return { workClass, route, arrived: now, deadline, expectedWait, expectedCost, isLong, decide };
  }

  private refusalReason(ticket: Ticket): RefusalReason | undefined {
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

  /** Enforces the queue limit. Critical work is evicted last, and bulk work keeps its minimum share of the queue. */
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
    const next = this.queue.all.find((ticket) => this.canStart(ticket));
    if (next?.workClass !== 'interactive' || !this.classShare.isBulkBelowShare) return next;
    const bulk = this.queue.all.find((each) => each.workClass === 'bulk' && this.canStart(each));
    return bulk ?? next;
  }

  private canStart(ticket: Ticket): boolean {
    return !ticket.isLong || !this.hasRecentShortWork() || this.longRunning < this.maxLongRunning();
  }

  private maxLongRunning(): number {
    return Math.max(1, this.settings.slots - 1);
  }

  private hasRecentShortWork(): boolean {
    return this.clock.elapsed() - this.lastShortArrival < shortWorkTimeout;
  }

  private start(ticket: Ticket): void {
    const running: Running = { ticket, started: this.clock.elapsed() };
    this.running.add(running);
    if (ticket.isLong) this.longRunning += 1;
    this.classShare.record(ticket.workClass, ticket.expectedCost, this.meanSlotTime.all);
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
    this.recordTimes(running, outcome);
    this.startNext();
  }

  private recordTimes({ ticket, started }: Running, outcome: SlotOutcome): void {
    const time = this.clock.elapsed() - started;
    const expected = this.costs.expected(ticket.route);
    // The time of a failed request is only a lower bound of its cost.
    if (outcome.kind !== 'success' && time <= expected) return;
    const ratio = time / Math.max(expected, Number.EPSILON);
    const bounded = Math.min(ratioBounds.highest, Math.max(ratioBounds.lowest, ratio));
    this.slowness += smoothingFactor * (bounded - this.slowness);
    this.recordTime('all', time);
    this.recordTime(ticket.isLong ? 'long' : 'short', time);
    this.costs.record(ticket.route, time);
  }

  private recordTime(kind: 'all' | 'short' | 'long', time: number): void {
    const mean = this.meanSlotTime[kind];
    this.meanSlotTime[kind] += (mean === 0 ? 1 : smoothingFactor) * (time - mean);
  }

  /** Expected milliseconds until a request of this class and deadline gets a slot. */
  private estimateWait(workClass: WorkClass, deadline: number, isLong: boolean): number {
    if (this.running.size < this.settings.slots && this.queue.size === 0) return 0;
    const ahead = this.queue.ahead({ workClass, deadline });
    const competitors = isLong ? ahead : ahead.filter((ticket) => !ticket.isLong);
    const work = AdmissionController.sumCosts(competitors);
    const bulk = AdmissionController.sumCosts(
      competitors.filter((ticket) => ticket.workClass === 'bulk'),
    );
    // The minimum share of bulk work bounds the time for which interactive work can delay it.
    const delayingWork = workClass === 'bulk' ? Math.min(work, bulk / minBulkShare) : work;
    return this.estimateFreeSlot(isLong) + delayingWork / this.availableSlots(isLong);
  }

  private static sumCosts(tickets: readonly Ticket[]): number {
    return tickets.reduce((sum, ticket) => sum + ticket.expectedCost, 0);
  }

  private availableSlots(isLong: boolean): number {
    if (isLong) return this.hasRecentShortWork() ? this.maxLongRunning() : this.settings.slots;
    return Math.max(1, this.settings.slots - this.longRunning);
  }

  /** Expected milliseconds until the first running request ends; 0 if a slot is free. */
  private estimateFreeSlot(isLong: boolean): number {
    const hasFreeSlot = this.running.size < this.settings.slots;
    const isLongLimitReached =
      isLong && this.hasRecentShortWork() && this.longRunning >= this.maxLongRunning();
    if (hasFreeSlot && !isLongLimitReached) return 0;
    const now = this.clock.elapsed();
    const remaining = [...this.running].map(({ ticket, started }) =>
      Math.max(0, started + ticket.expectedCost - now),
    );
    return remaining.length === 0 ? 0 : Math.min(...remaining);
  }

  /** Refuses queued requests that would miss their deadline even if they started now. */
  private expire(): void {
    const now = this.clock.elapsed();
    this.queue
      .takeAll((ticket) => this.latestStart(ticket) < now)
      .forEach((ticket) => this.refuse(ticket, 'deadline'));
  }

  private latestStart(ticket: Ticket): number {
    return ticket.deadline - ticket.expectedCost;
  }

  /** Keeps one timer, set to the earliest latest-start time. If that request starts before, the timer has no effect. */
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
    const retryAfter = Math.max(minRetryAfter, ticket.expectedWait);
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
