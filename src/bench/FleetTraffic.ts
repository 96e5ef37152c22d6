import { Emitter, pickIndex } from '../api/index.js';
import type { Disposable, RandomSource, TargetOutcome, VirtualClock } from '../api/index.js';
import { stateCatalogue } from '../common/ejection/index.js';
import type { InFlightRequest } from '../common/health/index.js';
import type { FakeTarget } from './FakeTarget.js';
import type { FleetMember } from './Fleet.js';

/** Route of the simulated service. */
export interface RouteModel {
  readonly name: string;
  /** Share of the requests. */
  readonly share: number;
  /** Median service time in milliseconds. */
  readonly work: number;
  /** Milliseconds after which the caller gives up. */
  readonly timeout: number;
}

/**
 * Listings, pages and downloads. With the spread and 0.5% stragglers the mean is 226 ms, so that 8 targets with 5 slots
 * do at most 177 requests/s.
 */
export const auctionRoutes: readonly RouteModel[] = [
  { name: 'listing', share: 0.7, work: 70, timeout: 2_000 },
  { name: 'page', share: 0.25, work: 180, timeout: 5_000 },
  { name: 'download', share: 0.05, work: 1_600, timeout: 60_000 },
];
/** Standard deviation of the logarithm of the service time. */
const spread = 0.5;
/** Straggling requests take this many times longer. */
const stragglerFactor = 30;
const sweepInterval = 100;

/** How the entries treat one target. */
export interface Standing {
  readonly traffic: 'normal' | 'last' | 'none';
  /** Share of normal traffic, 0 to 1. */
  readonly share: number;
}

/** What the traffic needs of a home: the decisions on its target, and somewhere to report outcomes. */
export interface HomeView {
  readonly target: FakeTarget;
  standing(): Standing;
  /** Reads the standing again after a change. */
  refresh(): void;
  begin(route: string): InFlightRequest | undefined;
  record(outcome: TargetOutcome, flight: InFlightRequest | undefined): void;
}

/** Traffic of a service. */
export interface TrafficOptions {
  /** Requests a second over the whole service at the start. */
  readonly rate: number;
  readonly stragglerShare: number;
  readonly routes: readonly RouteModel[];
}

interface Sent {
  readonly route: RouteModel;
  readonly startedAt: number;
  readonly flight: InFlightRequest | undefined;
  cancel: Disposable | undefined;
}

interface Lane {
  readonly home: HomeView;
  readonly waiting: RouteModel[];
  readonly running: Set<Sent>;
}

/** Poisson traffic that takes the better of two random targets, with a slot queue at each home. */
export class FleetTraffic {
  private readonly lanes: readonly Lane[];

  private readonly outcomes = new Emitter<{
    readonly index: number;
    readonly outcome: TargetOutcome;
  }>();

  /** Fires for each outcome, with the index of the target. */
  public readonly onOutcome = this.outcomes.event;

  /** Requests a second over the whole service. */
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
    this.lanes = homes.map((home) => ({ home, waiting: [], running: new Set() }));
    this.scheduleArrival();
    this.sweep();
  }

  /** Breaks off the requests that run at a target, as its crash does. */
  public reset(index: number): void {
    const lane = this.lanes[index] as Lane;
    for (const sent of [...lane.running]) {
      sent.cancel?.dispose();
      this.finish(lane, sent, 'reset');
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
    const lane = this.choose();
    lane.waiting.push(this.pickRoute());
    this.startNext(lane);
  }

  private choose(): Lane {
    const normal = this.lanes.filter((lane) => this.isOffered(lane));
    const hasFree = normal.some((lane) => FleetTraffic.load(lane) < 1);
    if (hasFree) return this.betterOfTwo(normal);
    const usable = this.lanes.filter((lane) => lane.home.standing().traffic !== 'none');
    return this.betterOfTwo(usable.length > 0 ? usable : this.lanes);
  }

  /** A target with a reduced share is offered with that probability. */
  private isOffered({ home }: Lane): boolean {
    const { traffic, share } = home.standing();
    return traffic === 'normal' && (share === 1 || this.random() < share);
  }

  private betterOfTwo(lanes: readonly Lane[]): Lane {
    const one = lanes[pickIndex(this.random, lanes.length)] as Lane;
    const other = lanes[pickIndex(this.random, lanes.length)] as Lane;
    return FleetTraffic.load(other) < FleetTraffic.load(one) ? other : one;
  }

  private static load({ home, waiting, running }: Lane): number {
    return (waiting.length + running.size) / home.target.slots;
  }

  private pickRoute(): RouteModel {
    const { routes } = this.options;
    let rest = this.random();
    for (const route of routes) {
      rest -= route.share;
      if (rest < 0) return route;
    }
    return routes[0] as RouteModel;
  }

  /** Log-normal service time, with stragglers. */
  private drawWork(route: RouteModel): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
    const normal = radius * Math.cos(2 * Math.PI * this.random());
    const factor = this.random() < this.options.stragglerShare ? stragglerFactor : 1;
    return route.work * factor * Math.exp(spread * normal);
  }

  private startNext(lane: Lane): void {
    while (lane.running.size < lane.home.target.slots) {
      const route = lane.waiting.shift();
      if (route === undefined) return;
      this.send(lane, route);
    }
  }

  private send(lane: Lane, route: RouteModel): void {
    this.sentCount += 1;
    const flight = lane.home.begin(route.name);
    const sent: Sent = { route, startedAt: this.clock.elapsed(), flight, cancel: undefined };
    lane.running.add(sent);
    sent.cancel = lane.home.target.submit(this.drawWork(route), ({ kind }) => {
      this.finish(lane, sent, kind);
    });
  }

  private finish(lane: Lane, sent: Sent, kind: TargetOutcome['kind']): void {
    if (!lane.running.delete(sent)) return;
    const latency = this.clock.elapsed() - sent.startedAt;
    const outcome = { kind, route: sent.route.name, latency };
    lane.home.record(outcome, sent.flight);
    this.outcomes.fire({ index: this.lanes.indexOf(lane), outcome });
    this.startNext(lane);
  }

  /** Ends requests whose callers have given up. */
  private sweep(): void {
    const now = this.clock.elapsed();
    for (const lane of this.lanes) {
      for (const sent of lane.running) {
        if (now - sent.startedAt < sent.route.timeout) continue;
        sent.cancel?.dispose();
        this.finish(lane, sent, 'timeout');
      }
    }
    this.clock.after(sweepInterval, () => this.sweep());
  }
}

/** Home of a fleet member as the traffic sees it. */
export function viewHome(member: FleetMember): HomeView {
  const { target, announcement } = member;
  let standing: Standing = { traffic: 'none', share: 0 };
  const refresh = () => {
    const present = member.task.statuses()[0];
    const description = stateCatalogue.find(({ state }) => state === present?.state);
    const traffic = description?.traffic ?? 'none';
    standing = {
      traffic: traffic === 'reduced' ? 'normal' : traffic,
      share: present?.share ?? 0,
    };
  };
  return {
    target,
    standing: () => standing,
    refresh,
    begin: (route) => member.task.begin(announcement.id, route),
    record: (outcome, flight) => member.task.record(announcement.id, outcome, flight),
  };
}
