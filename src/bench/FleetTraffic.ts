import { Emitter, pickIndex } from '../api/index.js';
import type { Disposable, RandomSource, TargetOutcome, VirtualClock } from '../api/index.js';
import { stateCatalogue } from '../common/ejection/index.js';
import type { InFlightRequest } from '../common/health/index.js';
import type { FakeTarget } from './FakeTarget.js';
import type { FleetMember } from './EjectionFleet.js';

/** Route of the simulated service. */
export interface RouteModel {
  readonly name: string;
  /** Share of all requests. */
  readonly share: number;
  /** Median service time in milliseconds. */
  readonly medianServiceTime: number;
  /** Milliseconds after which the caller gives up. */
  readonly timeout: number;
}

/**
 * Listings, pages and downloads. With log-normal variation and 0.5% stragglers the mean service time is 226 ms, so 8
 * targets with 5 slots can serve at most 177 requests/s.
 */
export const auctionRoutes: readonly RouteModel[] = [
  { name: 'listing', share: 0.7, medianServiceTime: 70, timeout: 2_000 },
  { name: 'page', share: 0.25, medianServiceTime: 180, timeout: 5_000 },
  { name: 'download', share: 0.05, medianServiceTime: 1_600, timeout: 60_000 },
];
/** Standard deviation of the logarithm of the service time. */
const serviceTimeSigma = 0.5;
/** Factor on the service time of a straggler. */
const stragglerFactor = 30;
const timeoutCheckIntervalMs = 100;

/** Traffic that the entries send to one target. */
export interface TrafficStatus {
  readonly traffic: 'normal' | 'last' | 'none';
  /** Share of normal traffic, 0 to 1. */
  readonly share: number;
}

/** Interface of a home to the traffic: the status of its target, and a sink for outcomes. */
export interface HomeView {
  readonly target: FakeTarget;
  trafficStatus(): TrafficStatus;
  /** Updates the status after a transition. */
  refresh(): void;
  begin(route: string): InFlightRequest | undefined;
  record(outcome: TargetOutcome, inFlight: InFlightRequest | undefined): void;
}

/** Load on a service. */
export interface TrafficOptions {
  /** Initial rate in requests per second over the whole service. */
  readonly rate: number;
  readonly stragglerShare: number;
  readonly routes: readonly RouteModel[];
}

interface RunningRequest {
  readonly route: RouteModel;
  readonly startedAt: number;
  readonly inFlight: InFlightRequest | undefined;
  cancel: Disposable | undefined;
}

interface HomeQueue {
  readonly home: HomeView;
  readonly waiting: RouteModel[];
  readonly running: Set<RunningRequest>;
}

/** Poisson traffic that chooses the less loaded of two random targets, with a slot queue at each home. */
export class FleetTraffic {
  private readonly homeQueues: readonly HomeQueue[];

  private readonly outcomes = new Emitter<{
    readonly index: number;
    readonly outcome: TargetOutcome;
  }>();

  /** Fires for each outcome, with the index of the target. */
  public readonly onOutcome = this.outcomes.event;

  /** Current rate in requests per second over the whole service. */
  public rate: number;

  /** Requests sent to targets so far. */
  public sentCount = 0;

  public constructor(
    private readonly clock: VirtualClock,
    private readonly random: RandomSource,
    homes: readonly HomeView[],
    private readonly options: TrafficOptions,
  ) {
    this.rate = options.rate;
    this.homeQueues = homes.map((home) => ({ home, waiting: [], running: new Set() }));
    this.scheduleArrival();
    this.endTimedOutRequests();
  }

  /** Aborts the requests that run at a target, as a crash of it does. */
  public abortRunningRequests(index: number): void {
    const queue = this.homeQueues[index] as HomeQueue;
    for (const request of [...queue.running]) {
      request.cancel?.dispose();
      this.finish(queue, request, 'reset');
    }
  }

  private scheduleArrival(): void {
    const gap = (-Math.log(1 - this.random()) * 1000) / this.rate;
    this.clock.after(gap, () => {
      this.arrive();
      this.scheduleArrival();
    });
  }

  private arrive(): void {
    const queue = this.chooseQueue();
    queue.waiting.push(this.pickRoute());
    this.startNext(queue);
  }

  private chooseQueue(): HomeQueue {
    const normal = this.homeQueues.filter((queue) => this.isOffered(queue));
    const hasFree = normal.some((queue) => FleetTraffic.load(queue) < 1);
    if (hasFree) return this.betterOfTwo(normal);
    const usable = this.homeQueues.filter((queue) => queue.home.trafficStatus().traffic !== 'none');
    return this.betterOfTwo(usable.length > 0 ? usable : this.homeQueues);
  }

  /** Whether a target takes part in the choice; one with a reduced share does so with that probability. */
  private isOffered({ home }: HomeQueue): boolean {
    const { traffic, share } = home.trafficStatus();
    return traffic === 'normal' && (share === 1 || this.random() < share);
  }

  private betterOfTwo(queues: readonly HomeQueue[]): HomeQueue {
    const one = queues[pickIndex(this.random, queues.length)] as HomeQueue;
    const other = queues[pickIndex(this.random, queues.length)] as HomeQueue;
    return FleetTraffic.load(other) < FleetTraffic.load(one) ? other : one;
  }

  private static load({ home, waiting, running }: HomeQueue): number {
    return (waiting.length + running.size) / home.target.slots;
  }

  private pickRoute(): RouteModel {
    const { routes } = this.options;
    let remaining = this.random();
    for (const route of routes) {
      remaining -= route.share;
      if (remaining < 0) return route;
    }
    return routes[0] as RouteModel;
  }

  /** Log-normal service time in milliseconds, with stragglers. */
  private sampleServiceTime(route: RouteModel): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
    const normal = radius * Math.cos(2 * Math.PI * this.random());
    const factor = this.random() < this.options.stragglerShare ? stragglerFactor : 1;
    return route.medianServiceTime * factor * Math.exp(serviceTimeSigma * normal);
  }

  private startNext(queue: HomeQueue): void {
    while (queue.running.size < queue.home.target.slots) {
      const route = queue.waiting.shift();
      if (route === undefined) return;
      this.send(queue, route);
    }
  }

  private send(queue: HomeQueue, route: RouteModel): void {
    this.sentCount += 1;
    const inFlight = queue.home.begin(route.name);
    const request: RunningRequest = {
      route,
      startedAt: this.clock.elapsed(),
      inFlight,
      cancel: undefined,
    };
    queue.running.add(request);
    request.cancel = queue.home.target.submit(this.sampleServiceTime(route), ({ kind }) => {
      this.finish(queue, request, kind);
    });
  }

  private finish(queue: HomeQueue, request: RunningRequest, kind: TargetOutcome['kind']): void {
    if (!queue.running.delete(request)) return;
    const latency = this.clock.elapsed() - request.startedAt;
    const outcome = { kind, route: request.route.name, latency };
    queue.home.record(outcome, request.inFlight);
    this.outcomes.fire({ index: this.homeQueues.indexOf(queue), outcome });
    this.startNext(queue);
  }

  /** Cancels requests that have reached the timeout of their route. */
  private endTimedOutRequests(): void {
    const now = this.clock.elapsed();
    for (const queue of this.homeQueues) {
      for (const request of queue.running) {
        if (now - request.startedAt < request.route.timeout) continue;
        request.cancel?.dispose();
        this.finish(queue, request, 'timeout');
      }
    }
    this.clock.after(timeoutCheckIntervalMs, () => this.endTimedOutRequests());
  }
}

/** Adapts a fleet member to the interface that the traffic uses. */
export function createHomeView(member: FleetMember): HomeView {
  const { target, announcement } = member;
  let status: TrafficStatus = { traffic: 'none', share: 0 };
  const refresh = () => {
    const current = member.task.statuses()[0];
    const description = stateCatalogue.find(({ state }) => state === current?.state);
    const traffic = description?.traffic ?? 'none';
    status = {
      traffic: traffic === 'reduced' ? 'normal' : traffic,
      share: current?.share ?? 0,
    };
  };
  return {
    target,
    trafficStatus: () => status,
    refresh,
    begin: (route) => member.task.begin(announcement.id, route),
    record: (outcome, inFlight) => member.task.record(announcement.id, outcome, inFlight),
  };
}
