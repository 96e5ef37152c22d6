import { brandAs, createIncarnation, createRandom } from '../../common/base/index.js';
import type {
  DaemonId,
  DataCentre,
  RandomSource,
  Region,
  VirtualClock,
} from '../../common/base/index.js';
import { isGone } from '../../common/membership/MemberOrder.js';
import type {
  MemberRecord,
  MemberTarget,
  MemberUpdate,
  PeerLink,
  RevisionExchange,
} from '../../common/membership/Types.js';
import { FleetNode } from './FleetNode.js';

/** One-way latency within a region. */
const sameRegionLatencyMs = 0.5;

/** One-way latency between regions. */
const crossRegionLatencyMs = 10;

/** Time after which an unanswered call fails. */
const callTimeoutMs = 1000;

/** Message between two simulated daemons. */
export interface FleetMessage {
  readonly kind: 'exchange' | 'probe';
  readonly sender: number;
  readonly receiver: number;
  readonly update?: MemberUpdate;
}

/** Settings of a simulated fleet. */
export interface FleetOptions {
  readonly clock: VirtualClock;
  readonly seed: number;
  readonly size: number;
  /** Region and data centre of the daemon at an index. */
  readonly locationOf?: (index: number) => { region: string; dataCentre: string };
  readonly targetsOf?: (index: number) => readonly MemberTarget[];
  readonly revisionsOf?: (index: number) => RevisionExchange;
  readonly onMessage?: (message: FleetMessage) => void;
  /** All daemons know each other from the start, as in a fleet that has already converged. */
  readonly startsConverged?: boolean;
}

const noRevisions: RevisionExchange = {
  revision: () => 0,
  head: () => undefined,
  offer: () => {},
};

/** Daemons that run the production membership tasks on a virtual clock and a simulated network with faults. */
export class MemberFleet {
  public readonly nodes: FleetNode[] = [];

  /** Whether messages from one daemon to another are lost. */
  public isCut: (sender: number, receiver: number) => boolean = () => false;

  private readonly random: RandomSource;

  public constructor(private readonly options: FleetOptions) {
    this.random = createRandom(options.seed);
    const indexes = Array.from({ length: options.size }, (_, index) => index);
    const records = indexes.map((index) => this.createRecord(index));
    const known = options.startsConverged === true ? records : [];
    records.forEach((record, index) => this.nodes.push(this.createNode(index, record, known)));
  }

  public static idOf(index: number): DaemonId {
    return brandAs<DaemonId>(`daemon-${String(index).padStart(4, '0')}`);
  }

  public start(): void {
    this.nodes.forEach((node) => node.start());
  }

  /** Kills the process at an index without notice to other members. */
  public crash(index: number): void {
    this.node(index).stop();
  }

  /** Starts a new process with the same id and address and a new incarnation. */
  public restart(index: number): void {
    this.crash(index);
    this.nodes[index] = this.createNode(index, this.createRecord(index));
    this.node(index).start();
  }

  public node(index: number): FleetNode {
    return this.nodes[index] as FleetNode;
  }

  public running(): FleetNode[] {
    return this.nodes.filter(({ isUp }) => isUp);
  }

  /** Whether the view of each running daemon lists exactly the running daemons as live, with equal digests. */
  public hasConverged(): boolean {
    const running = this.running();
    const digest = running[0]?.table.digest();
    // Equal digests mean equal views, so checking one view is enough.
    if (running.some(({ table }) => table.digest() !== digest)) return false;
    const expected = running.map(({ table }) => table.self.id).sort();
    return MemberFleet.hasExactlyLive(this.running()[0] as FleetNode, expected);
  }

  /** Virtual milliseconds until the views agree, at most `limit`. */
  public async timeToConvergence(limit: number, step = 100): Promise<number> {
    for (let waited = 0; waited < limit; waited += step) {
      if (this.hasConverged()) return waited;
      await this.options.clock.advanceAsync(step);
    }
    return limit;
  }

  public dispose(): void {
    this.nodes.forEach((node) => node.stop());
  }

  private static hasExactlyLive({ table }: FleetNode, expected: readonly string[]): boolean {
    const live = table.live();
    const ids = live.map(({ id }) => id).sort();
    const isSettled = live.every(({ status }) => status !== 'suspect' && !isGone(status));
    return isSettled && ids.join() === expected.join();
  }

  private locationOf(index: number): { region: string; dataCentre: string } {
    return this.options.locationOf?.(index) ?? { region: 'gam', dataCentre: 'gam-a' };
  }

  private createRecord(index: number): MemberRecord {
    const { clock, targetsOf } = this.options;
    const { region, dataCentre } = this.locationOf(index);
    return {
      id: MemberFleet.idOf(index),
      incarnation: createIncarnation(clock.now(), this.random() * 2 ** 32),
      version: 1,
      address: `10.${index >> 8}.${index & 255}.1:7400`,
      adminAddress: `10.${index >> 8}.${index & 255}.1:7401`,
      location: { region: brandAs<Region>(region), dataCentre: brandAs<DataCentre>(dataCentre) },
      status: 'alive',
      targetsVersion: 1,
      targets: targetsOf?.(index) ?? [],
      revision: 0,
      ranges: [],
    };
  }

  private createNode(
    index: number,
    record: MemberRecord,
    known: readonly MemberRecord[] = [],
  ): FleetNode {
    const { clock, seed, revisionsOf } = this.options;
    const contacts = index === 0 ? [] : ['10.0.0.1:7400', '10.0.1.1:7400'];
    const revisions = revisionsOf?.(index) ?? noRevisions;
    const random = createRandom(seed * 100003 + index);
    const link = this.createLink(index);
    return new FleetNode(index, record, clock, random, contacts, link, revisions, known);
  }

  /** Index of the daemon at an address. */
  public indexOf(address: string): number {
    const [, high, low] = address.split(/[.:]/);
    return Number(high) * 256 + Number(low);
  }

  private createLink(sender: number): PeerLink {
    return {
      exchange: (address, update) => {
        const receiver = this.indexOf(address);
        const answer = (node: FleetNode): MemberUpdate => {
          const response = node.gossip.handle(update);
          this.reportMessage({
            kind: 'exchange',
            sender: receiver,
            receiver: sender,
            update: response,
          });
          return response;
        };
        this.reportMessage({ kind: 'exchange', sender, receiver, update });
        return this.call(sender, receiver, (node) => Promise.resolve(answer(node)));
      },
      probe: (address, member) => {
        const receiver = this.indexOf(address);
        this.reportMessage({ kind: 'probe', sender, receiver });
        return this.call(sender, receiver, (node) => {
          this.reportMessage({ kind: 'probe', sender: receiver, receiver: sender });
          return this.answerProbe(node, member);
        });
      },
    };
  }

  private answerProbe(node: FleetNode, member: DaemonId | undefined): Promise<boolean> {
    const record = member === undefined ? undefined : node.table.get(member);
    if (record === undefined) return Promise.resolve(member === undefined);
    return this.createLink(node.index)
      .probe(record.address)
      .catch(() => false);
  }

  private reportMessage(message: FleetMessage): void {
    this.options.onMessage?.(message);
  }

  private latency(sender: number, receiver: number): number {
    const isSameRegion = this.locationOf(sender).region === this.locationOf(receiver).region;
    return isSameRegion ? sameRegionLatencyMs : crossRegionLatencyMs;
  }

  /** Runs `serve` at the receiver and returns its answer; times out if a link is cut or the receiver is down. */
  public call<Answer>(
    sender: number,
    receiver: number,
    serve: (node: FleetNode) => Promise<Answer>,
  ): Promise<Answer> {
    const caller = this.node(sender);
    const latency = this.latency(sender, receiver);
    return new Promise((resolve, reject) => {
      const timer = caller.clock.after(callTimeoutMs, () => reject(new Error('call timed out')));
      const deliver = (answer: Answer): void => {
        if (this.isCut(receiver, sender)) return;
        caller.clock.after(latency, () => {
          timer.dispose();
          resolve(answer);
        });
      };
      const node = this.nodes[receiver];
      if (node === undefined || this.isCut(sender, receiver)) return;
      node.clock.after(latency, () => {
        if (node.isUp) serve(node).then(deliver, reject);
      });
    });
  }
}
