import {
  brandAs,
  DisposableStore,
  type Clock,
  type DaemonId,
  type Disposable,
  type Incarnation,
  type LogSink,
  type RandomSource,
  type ServiceName,
  type TargetEntry,
} from '../api/index.js';
import { FailureDetector } from '../common/membership/FailureDetector.js';
import { GossipTask } from '../common/membership/GossipTask.js';
import { MemberTable } from '../common/membership/MemberTable.js';
import { Prober } from '../common/membership/Prober.js';
import { TargetAnnouncements } from '../common/membership/TargetAnnouncements.js';
import { TargetDirectory } from '../common/membership/TargetDirectory.js';
import type { PeerLink, RevisionExchange } from '../common/membership/Types.js';
import type { PeerHandlers } from './generated/limpettrack/Peer.js';
import { decodeUpdate, encodeUpdate } from './MembershipMessages.js';
import { createUnaryHandler } from './PeerServer.js';
import { probeTarget } from './probeTarget.js';
import type { Directory, Identity } from './Types.js';

/** Interval at which a stop checks for targets that have not moved to another home. */
const handOverPollMs = 100;

/** Dependencies of the membership of a daemon. */
export interface MembershipSettings {
  readonly identity: Identity;
  readonly adminAddress: string;
  readonly contacts: readonly string[];
  readonly link: PeerLink;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly revisions: RevisionExchange;
}

/** This daemon's view of the fleet: members, their targets, and the targets announced here. */
export class Membership implements Directory, Disposable {
  public readonly table: MemberTable;

  public readonly announcements: TargetAnnouncements;

  public readonly targets: TargetDirectory;

  private readonly disposables = new DisposableStore();

  private readonly gossip: GossipTask;

  private readonly detector: FailureDetector;

  public constructor(private readonly settings: MembershipSettings) {
    const { identity, clock, random, log, link } = settings;
    this.table = this.disposables.add(
      new MemberTable(
        {
          id: identity.id,
          incarnation: identity.incarnation,
          version: 1,
          address: identity.address,
          adminAddress: settings.adminAddress,
          location: identity.location,
          status: 'alive',
          targetsVersion: 1,
          targets: [],
          revision: 0,
          ranges: [],
        },
        clock,
      ),
    );
    this.announcements = this.disposables.add(new TargetAnnouncements(clock));
    this.targets = this.disposables.add(new TargetDirectory(this.table));
    this.gossip = this.disposables.add(
      new GossipTask({ ...settings, table: this.table, contacts: settings.contacts }),
    );
    const { table, gossip } = this;
    this.detector = this.disposables.add(
      new FailureDetector({
        table,
        prober: new Prober({ table, link, clock, random }),
        clock,
        random,
        notify: (member) => gossip.notify(member),
        log,
      }),
    );
    this.disposables.add(
      table.onSuperseded(({ incarnation }) => this.reportSuperseded(incarnation)),
    );
    this.disposables.add(
      this.announcements.onChange(() => table.updateSelf({ targets: this.announcements.list() })),
    );
  }

  private reportSuperseded(incarnation: Incarnation): void {
    this.settings.log.write({
      level: 'error',
      kind: 'membership',
      message: 'a later incarnation with the id of this daemon exists; peers ignore this process',
      fields: { step: 'membership.merge', incarnation },
    });
  }

  /** Starts gossip and failure detection. */
  public start(): void {
    this.gossip.start();
    this.detector.start();
  }

  /** Rejects announcements and resolves when all targets have moved to another home, or after `limit` milliseconds. */
  public async handOverTargets(limit: number): Promise<void> {
    const { clock } = this.settings;
    this.announcements.close();
    const end = clock.elapsed() + limit;
    while (this.announcements.list().length > 0 && clock.elapsed() < end) {
      await new Promise<void>((resolve) => {
        clock.after(handOverPollMs, resolve);
      });
    }
  }

  /** Gossips with some peers at once, for a change that must not wait for the next exchange. */
  public gossipNow(): void {
    this.gossip.exchangeNow();
  }

  /** Publishes that this daemon accepts no new requests for its targets. */
  public leave(): void {
    this.table.updateSelf({ status: 'leaving' });
    this.gossip.exchangeNow();
  }

  /** Publishes that this daemon has stopped. */
  public end(): void {
    this.table.updateSelf({ status: 'left' });
    this.gossip.exchangeNow();
  }

  public candidates(service: ServiceName): readonly TargetEntry[] {
    return this.targets.candidates(service);
  }

  public addressOf(daemon: DaemonId): string | undefined {
    return this.table.get(daemon)?.address;
  }

  /** Handlers of the membership calls of peers. */
  public handlers(): Pick<PeerHandlers, 'Exchange' | 'Probe'> {
    return {
      Exchange: createUnaryHandler(async (update) =>
        encodeUpdate(this.gossip.handle(decodeUpdate(update))),
      ),
      Probe: createUnaryHandler(async ({ member, targetAddress }) =>
        targetAddress === '' ? this.probe(member) : Membership.probeTarget(targetAddress),
      ),
    };
  }

  public dispose(): void {
    this.disposables.dispose();
  }

  private static async probeTarget(address: string): Promise<{ reachable: boolean }> {
    const { kind } = await probeTarget(address);
    return { reachable: kind !== 'unreachable' };
  }

  private async probe(member: string): Promise<{ reachable: boolean }> {
    if (member === '' || member === this.settings.identity.id) return { reachable: true };
    const address = this.addressOf(brandAs<DaemonId>(member));
    if (address === undefined) return { reachable: false };
    const reachable = await this.settings.link.probe(address).catch(() => false);
    return { reachable };
  }
}
