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

/** Size of a simulated service: one home with one target in each VM. */
export interface FleetOptions {
  readonly seed: number;
  readonly targets: number;
  readonly slots: number;
  /** Slots that must stay in service. */
  readonly floor: number;
}

/** Faults between the daemons and on the way to the targets. */
export interface NetworkFault {
  /** Share of questions between daemons that stay without an answer. */
  readonly lossShare: number;
  /** Longest delay of an answer in milliseconds. */
  readonly delay: number;
  /** Homes whose own way to their target is cut; answers and announcements still arrive. */
  readonly cutHomes: ReadonlySet<number>;
}

/** Member of the fleet. */
export interface FleetMember {
  readonly index: number;
  readonly target: FakeTarget;
  task: EjectionTask;
  announcement: TargetAnnouncement;
  /** Does not answer, does not announce itself. */
  isDown: boolean;
  /** What its health endpoint says. */
  report: ProbeOutcome['kind'];
}

/** Transition or refusal with its time in virtual milliseconds. */
export type Timed<Payload> = Payload & { readonly at: number };

const service = brandAs<ServiceName>('pujas');
const announceInterval = 1_000;
const announceLifetime = 3_000;
const probeTimeout = 500;
/** Milliseconds of a probe as the platform states it. */
const probeTime = 25;
const sampledHomes = 4;
/** Milliseconds of virtual time after which pending promises are settled. */
const settleInterval = 50;

function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Homes with ejection tasks, fake targets and a fake store on one virtual clock. Traffic is added from outside. */
export class Fleet {
  public readonly clock = new VirtualClock();

  public readonly random: RandomSource;

  public readonly store: FakeStore;

  public readonly members: FleetMember[];

  public readonly transitions: Timed<Transition>[] = [];

  public readonly refusals: Timed<EjectionRefusal>[] = [];

  public readonly reassigned: TargetId[] = [];

  /** Fires after each change of state or share. */
  public readonly onTransition = new Emitter<Timed<Transition>>();

  public network: NetworkFault = { lossShare: 0, delay: 0, cutHomes: new Set() };

  public isPaused = false;

  public constructor(public readonly options: FleetOptions) {
    this.random = createRandom(options.seed);
    this.store = new FakeStore(this.clock, this.random);
    this.members = Array.from({ length: options.targets }, (_, index) => this.createMember(index));
    this.members.forEach((member) => this.announceRegularly(member));
  }

  /** Lets virtual milliseconds pass. */
  public async advance(duration: number): Promise<void> {
    const end = this.clock.elapsed() + duration;
    while (this.clock.elapsed() < end) {
      this.clock.advance(Math.min(settleInterval, end - this.clock.elapsed()));
      await settle();
    }
  }

  /** State of a member's target as its home sees it. */
  public stateOf(index: number): TargetState {
    return this.member(index).task.statuses()[0]?.state ?? 'gone';
  }

  /** Share of a member's target as its home publishes it. */
  public shareOf(index: number): number {
    return this.member(index).task.statuses()[0]?.share ?? 0;
  }

  public member(index: number): FleetMember {
    return this.members[index] as FleetMember;
  }

  /** Slots that serve at this moment, over all homes. */
  public capacity(): number {
    let sum = 0;
    for (const { task, target, isDown } of this.members) {
      const standing = task.statuses()[0];
      const isServing = standing !== undefined && standing.state !== 'starting' && !isDown;
      if (isServing) sum += standing.share * target.slots;
    }
    return sum;
  }

  /** The target process is replaced by a new one. */
  public restart(index: number, state: TargetAnnouncement['state'] = 'active'): void {
    const member = this.member(index);
    const incarnation = brandAs<Incarnation>(`${this.clock.elapsed()}-${index}`);
    member.announcement = { ...member.announcement, incarnation, state };
    member.isDown = false;
    member.task.announce(member.announcement);
  }

  /** The daemon of a member loses its memory. */
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
      report: 'healthy',
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
    task.onTransition((transition) => this.note({ ...transition, at: this.clock.elapsed() }));
    task.onRefusal((refusal) => this.refusals.push({ ...refusal, at: this.clock.elapsed() }));
    task.onReassign((target) => this.reassigned.push(target));
    return task;
  }

  private note(transition: Timed<Transition>): void {
    this.transitions.push(transition);
    this.onTransition.fire(transition);
  }

  private announceRegularly(member: FleetMember): void {
    let renewedAt = -Infinity;
    const renew = () => {
      if (!member.isDown) {
        member.task.announce(member.announcement);
        renewedAt = this.clock.elapsed();
      } else if (this.clock.elapsed() - renewedAt > announceLifetime) {
        member.task.markGone(member.announcement.id);
      }
      this.clock.after(announceInterval, renew);
    };
    renew();
  }

  private createEnvironment(index: number): EjectionEnvironment {
    return {
      sampleSummaries: () => this.ask(sampleItems(this.random, this.others(index), sampledHomes)),
      allSummaries: () => this.ask(this.others(index)),
      probe: () => this.probe(index, index),
      diagnoseFault: () => this.formOpinion(index),
      floor: () => this.options.floor,
      isPaused: () => this.isPaused,
    };
  }

  private others(index: number): readonly FleetMember[] {
    return this.members.filter((member) => member.index !== index);
  }

  private async ask(members: readonly FleetMember[]): Promise<readonly TargetSummary[]> {
    const answers = await Promise.all(members.map((member) => this.askOne(member)));
    return answers.flat();
  }

  private async askOne({ task }: FleetMember): Promise<readonly TargetSummary[]> {
    const { lossShare, delay } = this.network;
    if (delay > 0) await this.wait(this.random() * delay);
    if (lossShare > 0 && this.random() < lossShare) return [];
    const summaries = task.summaries(service);
    if (delay > 0) await this.wait(this.random() * delay);
    return summaries;
  }

  private async probe(from: number, to: number): Promise<ProbeOutcome> {
    const { report } = this.member(to);
    const answer = this.answerOf(from, to);
    await this.wait(answer === 'silence' ? probeTimeout : probeTime);
    return { kind: answer === 'report' ? report : 'unreachable' };
  }

  /** A cut path is modelled by a fault of the target that only its own home sees. */
  private answerOf(from: number, to: number): 'report' | 'refusal' | 'silence' {
    const { target, isDown } = this.member(to);
    const { fault } = target;
    if (this.network.cutHomes.has(to)) return from === to ? 'silence' : 'report';
    if (fault.isSilent) return 'silence';
    const isHard = fault.failureShare === 1 && fault.failure === 'connect-failed';
    return isDown || isHard ? 'refusal' : 'report';
  }

  private async formOpinion(index: number): Promise<FaultDiagnosis> {
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
