import { pickIndex } from '../api/index.js';
import { BaselinePolicy } from './BaselinePolicy.js';
import { healthy, type Fault } from './FakeTarget.js';
import { EjectionFleet } from './EjectionFleet.js';
import { auctionRoutes, FleetTraffic, createHomeView } from './FleetTraffic.js';
import type { HomeView } from './FleetTraffic.js';
import type { DetectionJob, DetectionResult, FailureName } from './SimulationTypes.js';

/** Service of docs/design.md 1.2: 8 targets with 5 slots, at half of their capacity of 177 requests/s. */
export const detectionSettings = {
  targets: 8,
  slots: 5,
  floor: 25,
  rate: 90,
  stragglerShare: 0.005,
};

/** Time after which a failure counts as not detected. */
export const detectionLimitMs = 30_000;

const warmUpMs = 40_000;
const stepMs = 50;

/** Error rate of a healthy target, for example from requests that no target can answer. */
export const backgroundErrors: Fault = { ...healthy, failureShare: 0.002 };

const faults: Readonly<Record<FailureName, Fault>> = {
  hard: { ...healthy, failureShare: 1, failure: 'connect-failed' },
  slow: { ...backgroundErrors, slowness: 10 },
  erring: { ...healthy, failureShare: 1 / 3 },
  silent: { ...backgroundErrors, isSilent: true },
  wrong: { ...healthy, failureShare: 1 / 3, failure: 'invalid' },
};

function createBaselineView(fleet: EjectionFleet, index: number, policy: BaselinePolicy): HomeView {
  return {
    target: fleet.member(index).target,
    trafficStatus: () => policy.trafficStatus(),
    refresh: () => {},
    begin: () => undefined,
    record: (outcome) => policy.record(outcome),
  };
}

class DetectionSimulation {
  private readonly fleet: EjectionFleet;

  private readonly views: readonly HomeView[];

  private readonly policies: BaselinePolicy[] = [];

  private readonly traffic: FleetTraffic;

  private readonly failingIndex: number;

  public constructor(private readonly job: DetectionJob) {
    this.fleet = new EjectionFleet({ seed: job.seed, ...detectionSettings });
    this.views = this.fleet.members.map(({ index }) => this.createView(index));
    this.fleet.onTransition.event(() => this.views.forEach((view) => view.refresh()));
    this.fleet.members.forEach(({ task, target, announcement }) => {
      target.fault = backgroundErrors;
      task.announce(announcement);
    });
    const { clock, random } = this.fleet;
    const options = { ...detectionSettings, routes: auctionRoutes };
    this.traffic = new FleetTraffic(clock, random, this.views, options);
    this.failingIndex = pickIndex(random, detectionSettings.targets);
  }

  public async run(): Promise<DetectionResult> {
    await this.fleet.advance(warmUpMs + 1_000 * this.fleet.random());
    const start = this.fleet.clock.elapsed();
    this.injectFault();
    while (!this.isDetected() && this.elapsedSince(start) < detectionLimitMs) {
      await this.fleet.advance(stepMs);
    }
    return { delay: this.delaySince(start), falseEjections: this.countFalseEjections() };
  }

  private createView(index: number): HomeView {
    const { policy } = this.job;
    if (policy === 'limpettrack') return createHomeView(this.fleet.member(index));
    const baseline = new BaselinePolicy(policy, this.fleet.clock);
    this.policies.push(baseline);
    return createBaselineView(this.fleet, index, baseline);
  }

  private injectFault(): void {
    const member = this.fleet.member(this.failingIndex);
    member.target.fault = faults[this.job.failure];
    if (this.job.failure !== 'hard') return;
    member.isDown = true;
    this.traffic.abortRunningRequests(this.failingIndex);
  }

  private isDetected(): boolean {
    const policy = this.policies[this.failingIndex];
    if (policy !== undefined) return policy.isEjected;
    return ['suspect', 'ejected'].includes(this.fleet.stateOf(this.failingIndex));
  }

  private elapsedSince(start: number): number {
    return this.fleet.clock.elapsed() - start;
  }

  /** Milliseconds to detection: exact for limpettrack, sampled every 50 ms for a baseline. */
  private delaySince(start: number): number {
    if (this.policies.length > 0) return Math.min(detectionLimitMs, this.elapsedSince(start));
    const name = this.fleet.member(this.failingIndex).announcement.id;
    const first = this.fleet.transitions.find(
      ({ at, to, target }) => target === name && to === 'suspect' && at >= start,
    );
    return first === undefined ? detectionLimitMs : first.at - start;
  }

  private countFalseEjections(): number {
    const { id } = this.fleet.member(this.failingIndex).announcement;
    const byFleet = this.fleet.transitions.filter(
      ({ to, target }) => to === 'ejected' && target !== id,
    );
    const byBaseline = this.policies.filter(
      ({ ejections }, index) => index !== this.failingIndex && ejections > 0,
    );
    return byFleet.length + byBaseline.length;
  }
}

/** Simulates one failure on a virtual clock. */
export function simulateDetection(job: DetectionJob): Promise<DetectionResult> {
  return new DetectionSimulation(job).run();
}
