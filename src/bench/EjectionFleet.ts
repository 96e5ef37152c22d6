import { brandAs, createRandom, Emitter, sampleItems, VirtualClock } from '../api/index.js';
import type {
  DaemonId,
  Incarnation,
  RandomSource,
  ServiceName,
  TargetAnnouncement,
  TargetId,
  TargetState,
} from '../api/index.js';
import { EjectionTask } from '../common/ejection/index.js';
import type {
  EjectionEnvironment,
  FaultDiagnosis,
  EjectionRefusal,
  Transition,
} from '../common/ejection/index.js';
import type { ProbeOutcome, TargetSummary } from '../common/health/index.js';
import { FakeStore } from './FakeStore.js';
import { FakeTarget } from './FakeTarget.js';

/** Size of a simulated service in which each VM has one home with one target. */
export interface EjectionFleetOptions {
  readonly seed: number;
  readonly targets: number;
  readonly slots: number;
  /** Minimum number of slots that must stay in service. */
  readonly floor: number;
}

/** Network faults between daemons and on the paths to targets. */
export interface NetworkFault {
  /** Share of requests between daemons that get no answer. */
  readonly lossShare: number;
  /** Maximum delay in milliseconds, of a request and again of its answer. */
  readonly delay: number;
  /** Homes that cannot probe their own target; answers and announcements still arrive. */
  readonly cutHomes: ReadonlySet<number>;
}

/** One home of the fleet with its target. */
export interface FleetMember {
  readonly index: number;
  readonly target: FakeTarget;
  task: EjectionTask;
  announcement: TargetAnnouncement;
  /** The target process is down: it answers no probes and sends no announcements. */
  isDown: boolean;
  /** Status that the target's health endpoint reports. */
  reportedHealth: ProbeOutcome['kind'];
}

/** Transition or refusal with its time in milliseconds of virtual time. */
export type Timed<Payload> = Payload & { readonly at: number };

const service = brandAs<ServiceName>('pujas');
const announceIntervalMs = 1_000;
const announceLifetimeMs = 3_000;
const probeTimeoutMs = 500;
/** Latency of a probe as the platform specifies it. */
const probeLatencyMs = 25;
const sampledHomeCount = 4;
/** Virtual time between two points at which pending promises are settled. */
const settleIntervalMs = 50;

function settlePromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Homes with ejection tasks, fake targets and a fake store on one virtual clock; callers add the traffic. */
export class EjectionFleet {
  public readonly clock = new VirtualClock();

  public readonly random: RandomSource;

  public readonly store: FakeStore;

  public readonly members: FleetMember[];

  public readonly transitions: Timed<Transition>[] = [];

  public readonly refusals: Timed<EjectionRefusal>[] = [];

  public readonly reassigned: TargetId[] = [];

  /** Fires after each change of a target's state or share. */
  public readonly onTransition = new Emitter<Timed<Transition>>();

  public network: NetworkFault = { lossShare: 0, delay: 0, cutHomes: new Set() };

  public isPaused = false;

  public constructor(public readonly options: EjectionFleetOptions) {
    this.random = createRandom(options.seed);
    this.store = new FakeStore(this.clock, this.random);
    this.members = Array.from({ length: options.targets }, (_, index) => this.createMember(index));
    this.members.forEach((member) => this.announceRegularly(member));
  }

  /** Advances the virtual clock by `duration` milliseconds. */
  public async advance(duration: number): Promise<void> {
    const end = this.clock.elapsed() + duration;
    while (this.clock.elapsed() < end) {
      this.clock.advance(Math.min(settleIntervalMs, end - this.clock.elapsed()));
      await settlePromises();
    }
  }

  /** State of a member's target according to its home. */
  public stateOf(index: number): TargetState {
    return this.member(index).task.statuses()[0]?.state ?? 'gone';
  }

  /** Traffic share that the home of a member publishes for its target. */
  public shareOf(index: number): number {
    return this.member(index).task.statuses()[0]?.share ?? 0;
  }

  public member(index: number): FleetMember {
    return this.members[index] as FleetMember;
  }

  /** Slots currently in service over all homes. */
  public capacity(): number {
    let sum = 0;
    for (const { task, target, isDown } of this.members) {
      const status = task.statuses()[0];
      const isServing = status !== undefined && status.state !== 'starting' && !isDown;
      if (isServing) sum += status.share * target.slots;
    }
    return sum;
  }

  /** Replaces the target process by a new incarnation. */
  public restart(index: number, state: TargetAnnouncement['state'] = 'active'): void {
    const member = this.member(index);
    const incarnation = brandAs<Incarnation>(`${this.clock.elapsed()}-${index}`);
    member.announcement = { ...member.announcement, incarnation, state };
    member.isDown = false;
    member.task.announce(member.announcement);
  }

  /** Restarts the daemon of a member, which loses its in-memory state. */
  public restartHome(index: number): void {
    const member = this.member(index);
    member.task.dispose();
    member.task = this.createTask(index);
  }

  private createMember(index: number): FleetMember {
    const { slots } = this.options;
    return {
      index,
      target: new FakeTarget(`t${index}`, slots, this.clock, this.random),
      task: this.createTask(index),
      announcement: {
        id: brandAs<TargetId>(`t${index}`),
        incarnation: brandAs<Incarnation>(`0-${index}`),
        service,
        address: `t${index}`,
        slots,
        connections: 330,
        state: 'active',
      },
      isDown: false,
      reportedHealth: 'healthy',
    };
  }

  private createTask(index: number): EjectionTask {
    const task = new EjectionTask({
      home: brandAs<DaemonId>(`d${index}`),
      clock: this.clock,
      random: this.random,
      store: this.store,
      environment: this.createEnvironment(index),
    });
    task.onTransition((transition) =>
      this.recordTransition({ ...transition, at: this.clock.elapsed() }),
    );
    task.onRefusal((refusal) => this.refusals.push({ ...refusal, at: this.clock.elapsed() }));
    task.onReassign((target) => this.reassigned.push(target));
    return task;
  }

  private recordTransition(transition: Timed<Transition>): void {
    this.transitions.push(transition);
    this.onTransition.fire(transition);
  }

  private announceRegularly(member: FleetMember): void {
    let renewedAt = -Infinity;
    const renew = () => {
      if (!member.isDown) {
        member.task.announce(member.announcement);
        renewedAt = this.clock.elapsed();
      } else if (this.clock.elapsed() - renewedAt > announceLifetimeMs) {
        member.task.markGone(member.announcement.id);
      }
      this.clock.after(announceIntervalMs, renew);
    };
    renew();
  }

  private createEnvironment(index: number): EjectionEnvironment {
    return {
      sampleSummaries: () =>
        this.requestSummaries(sampleItems(this.random, this.others(index), sampledHomeCount)),
      allSummaries: () => this.requestSummaries(this.others(index)),
      probe: () => this.probe(index, index),
      diagnoseFault: () => this.diagnoseFault(index),
      floor: () => this.options.floor,
      isPaused: () => this.isPaused,
    };
  }

  private others(index: number): readonly FleetMember[] {
    return this.members.filter((member) => member.index !== index);
  }

  private async requestSummaries(
    members: readonly FleetMember[],
  ): Promise<readonly TargetSummary[]> {
    const answers = await Promise.all(members.map((member) => this.requestSummary(member)));
    return answers.flat();
  }

  private async requestSummary({ task }: FleetMember): Promise<readonly TargetSummary[]> {
    const { lossShare, delay } = this.network;
    if (delay > 0) await this.wait(this.random() * delay);
    if (lossShare > 0 && this.random() < lossShare) return [];
    const summaries = task.summaries(service);
    if (delay > 0) await this.wait(this.random() * delay);
    return summaries;
  }

  private async probe(from: number, to: number): Promise<ProbeOutcome> {
    const { reportedHealth: report } = this.member(to);
    const answer = this.probeResponse(from, to);
    await this.wait(answer === 'silence' ? probeTimeoutMs : probeLatencyMs);
    return { kind: answer === 'report' ? report : 'unreachable' };
  }

  /** Result of a probe between two members. A cut path is modelled as silence that only the target's own home sees. */
  private probeResponse(from: number, to: number): 'report' | 'refusal' | 'silence' {
    const { target, isDown } = this.member(to);
    const { fault } = target;
    if (this.network.cutHomes.has(to)) return from === to ? 'silence' : 'report';
    if (fault.isSilent) return 'silence';
    const isHard = fault.failureShare === 1 && fault.failure === 'connect-failed';
    return isDown || isHard ? 'refusal' : 'report';
  }

  private async diagnoseFault(index: number): Promise<FaultDiagnosis> {
    const others = sampleItems(this.random, this.others(index), 2);
    const [here, ...there] = await Promise.all([
      this.probe(index, index),
      ...others.map((other) => this.probe(other.index, index)),
    ]);
    if (here.kind !== 'unreachable') return 'target-faulty';
    return there.some(({ kind }) => kind !== 'unreachable') ? 'path-faulty' : 'target-faulty';
  }

  private wait(duration: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.after(duration, resolve);
    });
  }
}
