import type { Clock, RandomSource } from '../../common/base/index.js';
import { FailureDetector } from '../../common/membership/FailureDetector.js';
import { GossipTask } from '../../common/membership/GossipTask.js';
import { MemberTable } from '../../common/membership/MemberTable.js';
import { Prober } from '../../common/membership/Prober.js';
import type { MemberRecord, PeerLink, RevisionExchange } from '../../common/membership/Types.js';
import { PausableClock } from '../PausableClock.js';

/** Simulated daemon that runs the production membership tasks. */
export class FleetNode {
  public readonly clock: PausableClock;

  public readonly table: MemberTable;

  public readonly gossip: GossipTask;

  public readonly detector: FailureDetector;

  public readonly log: string[] = [];

  public isUp = true;

  public constructor(
    public readonly index: number,
    record: MemberRecord,
    clock: Clock,
    random: RandomSource,
    contacts: readonly string[],
    link: PeerLink,
    revisions: RevisionExchange,
    knownMembers: readonly MemberRecord[] = [],
  ) {
    this.clock = new PausableClock(clock);
    const log = { write: ({ message }: { message: string }): unknown => this.log.push(message) };
    const common = { link, clock: this.clock, random, log };
    this.table = new MemberTable(record, this.clock);
    knownMembers.forEach((other) => this.table.merge(other));
    this.gossip = new GossipTask({ ...common, table: this.table, contacts, revisions });
    const prober = new Prober({ ...common, table: this.table });
    const notify = (member: MemberRecord): void => this.gossip.notify(member);
    this.detector = new FailureDetector({ ...common, table: this.table, prober, notify });
  }

  public start(): void {
    this.gossip.start();
    this.detector.start();
  }

  public stop(): void {
    this.isUp = false;
    this.gossip.dispose();
    this.detector.dispose();
  }
}
