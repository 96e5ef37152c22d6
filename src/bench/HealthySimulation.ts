import { createRandom } from '../api/index.js';
import type { RandomSource } from '../api/index.js';
import { BaselinePolicy } from './BaselinePolicy.js';
import type { BaselineName } from './BaselinePolicy.js';
import { detectionSetting, ordinary } from './DetectionSimulation.js';
import { Fleet } from './Fleet.js';
import type { FleetMember } from './Fleet.js';
import { auctionRoutes, FleetTraffic, viewHome } from './FleetTraffic.js';
import type { HealthyJob, HealthyResult } from './SimulationTypes.js';

const second = 1_000;
const minute = 60 * second;
/** Traffic changes between the full rate and a tenth, at which probes fill in. */
const ratePhase = 30 * minute;
const nightFactor = 0.1;
/** Mean times between the disturbances of one target. */
const meanGap = { restart: 30 * minute, report: 10 * minute, home: 120 * minute };
/** Durations of the steps of a planned restart. */
const restartTimes = { drain: 10 * second, down: 4 * second, cold: 20 * second };
const coldSlowness = 5;
/** The health report lags this long behind the truth. */
const lag = 30 * second;

/** Trouble of the whole service, for example of a database behind it. */
const brownoutGap = 20 * minute;
const brownouts = [
  { duration: 20 * second, slowness: 5, failureShare: 0 },
  { duration: 10 * second, slowness: 1, failureShare: 0.3 },
];
const noBrownout = { duration: 0, slowness: 1, failureShare: 0 };

/** Runs a healthy service with everything that is ordinary: stragglers, lagging reports, restarts, quiet hours. */
class HealthySimulation {
  private readonly fleet: Fleet;

  private readonly traffic: FleetTraffic;

  private readonly random: RandomSource;

  private readonly shadows: Readonly<Record<BaselineName, readonly BaselinePolicy[]>>;

  private readonly coldness = new Map<FleetMember, number>();

  private brownout = noBrownout;

  public constructor(private readonly job: HealthyJob) {
    this.fleet = new Fleet({ seed: job.seed, ...detectionSetting });
    this.random = createRandom(job.seed + 1);
    const views = this.fleet.members.map(viewHome);
    this.fleet.onTransition.event(() => views.forEach((view) => view.refresh()));
    this.fleet.members.forEach((member) => {
      this.setSlowness(member, 1);
      member.task.announce(member.announcement);
    });
    const options = { ...detectionSetting, routes: auctionRoutes };
    this.traffic = new FleetTraffic(this.fleet.clock, this.fleet.random, views, options);
    this.shadows = {
      'consecutive failures': this.createShadows('consecutive failures'),
      'error rate': this.createShadows('error rate'),
    };
    this.disturb();
  }

  public async run(): Promise<HealthyResult> {
    await this.fleet.advance(this.job.hours * 60 * minute);
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

  /** Baselines see the outcomes of the same run but act on nothing. */
  private createShadows(name: BaselineName): readonly BaselinePolicy[] {
    const shadows = this.fleet.members.map(() => new BaselinePolicy(name, this.fleet.clock));
    this.traffic.onOutcome(({ index, outcome }) => shadows[index]?.record(outcome));
    return shadows;
  }

  private countShadows(name: BaselineName): number {
    return this.shadows[name].reduce((sum, { ejections }) => sum + ejections, 0);
  }

  private disturb(): void {
    this.changeRate(1);
    if (this.job.hasBrownouts) this.fleet.clock.after(brownoutGap, () => this.startBrownout(0));
    this.fleet.members.forEach((member) => {
      this.repeat(meanGap.restart, () => this.restart(member));
      this.repeat(meanGap.report, () => this.misreport(member));
      this.repeat(meanGap.home, () => this.restartHome(member));
    });
  }

  private changeRate(factor: number): void {
    this.traffic.rate = detectionSetting.rate * factor;
    this.fleet.clock.after(ratePhase, () => this.changeRate(factor === 1 ? nightFactor : 1));
  }

  private repeat(gap: number, action: () => void): void {
    this.fleet.clock.after(gap * (0.5 + this.random()), () => {
      action();
      this.repeat(gap, action);
    });
  }

  private misreport(member: FleetMember): void {
    member.report = 'unhealthy';
    this.fleet.clock.after(lag, () => {
      member.report = 'healthy';
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
    clock.after(restartTimes.drain, () => {
      member.isDown = true;
      clock.after(restartTimes.down, () => this.startCold(member));
    });
  }

  /** Half of the starts call themselves active at once, although they are cold. */
  private startCold(member: FleetMember): void {
    const { clock } = this.fleet;
    const isHonest = this.random() < 0.5;
    this.fleet.restart(member.index, isHonest ? 'starting' : 'active');
    this.setSlowness(member, coldSlowness);
    clock.after(restartTimes.cold / 2, () => this.setSlowness(member, coldSlowness / 2));
    clock.after(restartTimes.cold, () => {
      this.setSlowness(member, 1);
      member.announcement = { ...member.announcement, state: 'active' };
    });
  }

  private setSlowness(member: FleetMember, slowness: number): void {
    this.coldness.set(member, slowness);
    this.applyFault(member);
  }

  private startBrownout(index: number): void {
    const brownout = brownouts[index % brownouts.length] ?? noBrownout;
    this.setBrownout(brownout);
    this.fleet.clock.after(brownout.duration, () => this.setBrownout(noBrownout));
    this.fleet.clock.after(brownoutGap, () => this.startBrownout(index + 1));
  }

  private setBrownout(brownout: typeof noBrownout): void {
    this.brownout = brownout;
    this.fleet.members.forEach((member) => this.applyFault(member));
  }

  private applyFault(member: FleetMember): void {
    const slowness = (this.coldness.get(member) ?? 1) * this.brownout.slowness;
    const failureShare = Math.max(ordinary.failureShare, this.brownout.failureShare);
    member.target.fault = { ...ordinary, slowness, failureShare };
  }
}

/** Runs a service without a failure on a virtual clock. */
export function simulateHealthy(job: HealthyJob): Promise<HealthyResult> {
  return new HealthySimulation(job).run();
}
