import { pickIndex } from '../api/index.js';
import { BaselinePolicy } from './BaselinePolicy.js';
import { healthy, type Fault } from './FakeTarget.js';
import { Fleet } from './Fleet.js';
import { auctionRoutes, FleetTraffic, viewHome } from './FleetTraffic.js';
import type { HomeView } from './FleetTraffic.js';
import type { DetectionJob, DetectionResult, FailureName } from './SimulationTypes.js';

/** Service of docs/design.md 1.2: 8 targets with 5 slots, at half of the 177 requests/s that they can do. */
export const detectionSetting = {
  targets: 8,
  slots: 5,
  floor: 25,
  rate: 90,
  stragglerShare: 0.005,
};

/** Milliseconds after which a failure counts as not detected. */
export const detectionLimit = 30_000;

const warmUp = 40_000;
const step = 50;

/** Errors of a healthy target, such as requests that no target can answer. */
export const ordinary: Fault = { ...healthy, failureShare: 0.002 };

const faults: Readonly<Record<FailureName, Fault>> = {
  hard: { ...healthy, failureShare: 1, failure: 'connect-failed' },
  slow: { ...ordinary, slowness: 10 },
  erring: { ...healthy, failureShare: 1 / 3 },
  silent: { ...ordinary, isSilent: true },
  wrong: { ...healthy, failureShare: 1 / 3, failure: 'invalid' },
};

function createBaselineView(fleet: Fleet, index: number, policy: BaselinePolicy): HomeView {
  return {
    target: fleet.member(index).target,
    standing: () => policy.standing(),
    refresh: () => {},
    begin: () => undefined,
    record: (outcome) => policy.record(outcome),
  };
}

class DetectionSimulation {
  private readonly fleet: Fleet;

  private readonly views: readonly HomeView[];

  private readonly policies: BaselinePolicy[] = [];

  private readonly traffic: FleetTraffic;

  private readonly victim: number;

  public constructor(private readonly job: DetectionJob) {
    this.fleet = new Fleet({ seed: job.seed, ...detectionSetting });
    this.views = this.fleet.members.map(({ index }) => this.createView(index));
    this.fleet.onTransition.event(() => this.views.forEach((view) => view.refresh()));
    this.fleet.members.forEach(({ task, target, announcement }) => {
      target.fault = ordinary;
      task.announce(announcement);
    });
    const { clock, random } = this.fleet;
    const options = { ...detectionSetting, routes: auctionRoutes };
    this.traffic = new FleetTraffic(clock, random, this.views, options);
    this.victim = pickIndex(random, detectionSetting.targets);
  }

  public async run(): Promise<DetectionResult> {
    await this.fleet.advance(warmUp + 1_000 * this.fleet.random());
    const start = this.fleet.clock.elapsed();
    this.fail();
    while (!this.isDetected() && this.elapsedSince(start) < detectionLimit) {
      await this.fleet.advance(step);
    }
    return { delay: this.delaySince(start), falseEjections: this.countFalseEjections() };
  }

  private createView(index: number): HomeView {
    const { policy } = this.job;
    if (policy === 'limpettrack') return viewHome(this.fleet.member(index));
    const baseline = new BaselinePolicy(policy, this.fleet.clock);
    this.policies.push(baseline);
    return createBaselineView(this.fleet, index, baseline);
  }

  private fail(): void {
    const member = this.fleet.member(this.victim);
    member.target.fault = faults[this.job.failure];
    if (this.job.failure !== 'hard') return;
    member.isDown = true;
    this.traffic.reset(this.victim);
  }

  private isDetected(): boolean {
    const policy = this.policies[this.victim];
    if (policy !== undefined) return policy.isHeld;
    return ['suspect', 'ejected'].includes(this.fleet.stateOf(this.victim));
  }

  private elapsedSince(start: number): number {
    return this.fleet.clock.elapsed() - start;
  }

  /** Exact for limpettrack; a baseline is looked at every 50 ms. */
  private delaySince(start: number): number {
    if (this.policies.length > 0) return Math.min(detectionLimit, this.elapsedSince(start));
    const name = this.fleet.member(this.victim).announcement.id;
    const first = this.fleet.transitions.find(
      ({ at, to, target }) => target === name && to === 'suspect' && at >= start,
    );
    return first === undefined ? detectionLimit : first.at - start;
  }

  private countFalseEjections(): number {
    const { id } = this.fleet.member(this.victim).announcement;
    const byFleet = this.fleet.transitions.filter(
      ({ to, target }) => to === 'ejected' && target !== id,
    );
    const byBaseline = this.policies.filter(
      ({ ejections }, index) => index !== this.victim && ejections > 0,
    );
    return byFleet.length + byBaseline.length;
  }
}

/** Runs one failure on a virtual clock. */
export function simulateDetection(job: DetectionJob): Promise<DetectionResult> {
  return new DetectionSimulation(job).run();
}
