import { createRandom } from '../api/index.js';
import type { RandomSource } from '../api/index.js';
import { BaselinePolicy } from './BaselinePolicy.js';
import type { BaselineName } from './BaselinePolicy.js';
import { backgroundErrors, detectionSettings } from './DetectionSimulation.js';
import { EjectionFleet } from './EjectionFleet.js';
import type { FleetMember } from './EjectionFleet.js';
import { auctionRoutes, FleetTraffic, createHomeView } from './FleetTraffic.js';
import type { HealthyJob, HealthyResult } from './SimulationTypes.js';

const secondMs = 1_000;
const minuteMs = 60 * secondMs;
/** Period of the full rate, and then of a tenth of it, at which probes replace the missing requests. */
const ratePhaseMs = 30 * minuteMs;
const lowRateFactor = 0.1;
/** Mean intervals between disturbances of one target. */
const meanIntervalsMs = { restart: 30 * minuteMs, report: 10 * minuteMs, home: 120 * minuteMs };
/** Durations of the phases of a planned restart. */
const restartStepsMs = { drain: 10 * secondMs, down: 4 * secondMs, cold: 20 * secondMs };
const coldStartSlowness = 5;
/** Time for which a health endpoint reports an outdated status. */
const healthReportLagMs = 30 * secondMs;

/** Interval between degradations of the whole service, for example from a database that it depends on. */
const brownoutIntervalMs = 20 * minuteMs;
const brownouts = [
  { duration: 20 * secondMs, slowness: 5, failureShare: 0 },
  { duration: 10 * secondMs, slowness: 1, failureShare: 0.3 },
];
const noBrownout = { duration: 0, slowness: 1, failureShare: 0 };

/** Runs a healthy service under ordinary disturbances: stragglers, outdated reports, restarts, low traffic. */
class HealthySimulation {
  private readonly fleet: EjectionFleet;

  private readonly traffic: FleetTraffic;

  private readonly random: RandomSource;

  private readonly shadows: Readonly<Record<BaselineName, readonly BaselinePolicy[]>>;

  private readonly memberSlowness = new Map<FleetMember, number>();

  private brownout = noBrownout;

  public constructor(private readonly job: HealthyJob) {
    this.fleet = new EjectionFleet({ seed: job.seed, ...detectionSettings });
    this.random = createRandom(job.seed + 1);
    const views = this.fleet.members.map(createHomeView);
    this.fleet.onTransition.event(() => views.forEach((view) => view.refresh()));
    this.fleet.members.forEach((member) => {
      this.setSlowness(member, 1);
      member.task.announce(member.announcement);
    });
    const options = { ...detectionSettings, routes: auctionRoutes };
    this.traffic = new FleetTraffic(this.fleet.clock, this.fleet.random, views, options);
    this.shadows = {
      'consecutive failures': this.createShadows('consecutive failures'),
      'error rate': this.createShadows('error rate'),
    };
    this.scheduleDisturbances();
  }

  public async run(): Promise<HealthyResult> {
    await this.fleet.advance(this.job.hours * 60 * minuteMs);
    const count = (state: string) =>
      this.fleet.transitions.filter(({ from, to }) => to === state && from !== to).length;
    return {
      ejections: count('ejected'),
      suspicions: count('suspect'),
      baselines: {
        'consecutive failures': this.countShadows('consecutive failures'),
        'error rate': this.countShadows('error rate'),
      },
      requests: this.traffic.sentCount,
    };
  }

  /** Baselines that receive the outcomes of the same run but do not affect the traffic. */
  private createShadows(name: BaselineName): readonly BaselinePolicy[] {
    const shadows = this.fleet.members.map(() => new BaselinePolicy(name, this.fleet.clock));
    this.traffic.onOutcome(({ index, outcome }) => shadows[index]?.record(outcome));
    return shadows;
  }

  private countShadows(name: BaselineName): number {
    return this.shadows[name].reduce((sum, { ejections }) => sum + ejections, 0);
  }

  private scheduleDisturbances(): void {
    this.changeRate(1);
    if (this.job.hasBrownouts)
      this.fleet.clock.after(brownoutIntervalMs, () => this.startBrownout(0));
    this.fleet.members.forEach((member) => {
      this.scheduleRepeatedly(meanIntervalsMs.restart, () => this.restart(member));
      this.scheduleRepeatedly(meanIntervalsMs.report, () => this.reportUnhealthy(member));
      this.scheduleRepeatedly(meanIntervalsMs.home, () => this.restartHome(member));
    });
  }

  private changeRate(factor: number): void {
    this.traffic.rate = detectionSettings.rate * factor;
    this.fleet.clock.after(ratePhaseMs, () => this.changeRate(factor === 1 ? lowRateFactor : 1));
  }

  private scheduleRepeatedly(meanInterval: number, action: () => void): void {
    this.fleet.clock.after(meanInterval * (0.5 + this.random()), () => {
      action();
      this.scheduleRepeatedly(meanInterval, action);
    });
  }

  private reportUnhealthy(member: FleetMember): void {
    member.reportedHealth = 'unhealthy';
    this.fleet.clock.after(healthReportLagMs, () => {
      member.reportedHealth = 'healthy';
    });
  }

  private restartHome(member: FleetMember): void {
    this.fleet.restartHome(member.index);
    if (!member.isDown) member.task.announce(member.announcement);
  }

  private restart(member: FleetMember): void {
    const { clock } = this.fleet;
    if (member.announcement.state !== 'active') return;
    member.announcement = { ...member.announcement, state: 'draining' };
    member.task.announce(member.announcement);
    clock.after(restartStepsMs.drain, () => {
      member.isDown = true;
      clock.after(restartStepsMs.down, () => this.coldStart(member));
    });
  }

  /** Restarts a target cold. Half of the starts announce themselves as active although they are still slow. */
  private coldStart(member: FleetMember): void {
    const { clock } = this.fleet;
    const reportsStarting = this.random() < 0.5;
    this.fleet.restart(member.index, reportsStarting ? 'starting' : 'active');
    this.setSlowness(member, coldStartSlowness);
    clock.after(restartStepsMs.cold / 2, () => this.setSlowness(member, coldStartSlowness / 2));
    clock.after(restartStepsMs.cold, () => {
      this.setSlowness(member, 1);
      member.announcement = { ...member.announcement, state: 'active' };
    });
  }

  private setSlowness(member: FleetMember, slowness: number): void {
    this.memberSlowness.set(member, slowness);
    this.applyFault(member);
  }

  private startBrownout(index: number): void {
    const brownout = brownouts[index % brownouts.length] ?? noBrownout;
    this.setBrownout(brownout);
    this.fleet.clock.after(brownout.duration, () => this.setBrownout(noBrownout));
    this.fleet.clock.after(brownoutIntervalMs, () => this.startBrownout(index + 1));
  }

  private setBrownout(brownout: typeof noBrownout): void {
    this.brownout = brownout;
    this.fleet.members.forEach((member) => this.applyFault(member));
  }

  private applyFault(member: FleetMember): void {
    const slowness = (this.memberSlowness.get(member) ?? 1) * this.brownout.slowness;
    const failureShare = Math.max(backgroundErrors.failureShare, this.brownout.failureShare);
    member.target.fault = { ...backgroundErrors, slowness, failureShare };
  }
}

/** Simulates a service without failed targets on a virtual clock. */
export function simulateHealthy(job: HealthyJob): Promise<HealthyResult> {
  return new HealthySimulation(job).run();
}
