import { DisposableStore, pickIndex, sampleItems } from '../base/index.js';
import type { Clock, DaemonId, Disposable, LogSink, RandomSource } from '../base/index.js';
import { isGone } from './MemberOrder.js';
import type { MemberTable } from './MemberTable.js';
import { RecentChanges } from './RecentChanges.js';
import type {
  MemberDelta,
  MemberRecord,
  MemberUpdate,
  MemberVersion,
  PeerLink,
  RevisionExchange,
} from './Types.js';

/** Interval between the exchanges that a daemon starts. */
export const gossipPeriodMs = 500;

/** Interval between attempts to reach a dead member or a configured contact that is not a member. */
export const rejoinPeriodMs = 5000;

/**
 * Least interval between comparisons of complete table parts that a daemon starts. In a fleet of full size, changes
 * that are still spreading make digests differ most of the time, and they are already in the lists of recent changes.
 */
export const comparisonPeriodMs = 2000;

/** Fraction of exchanges with a peer of the own region; the link between regions is billed by volume. */
export const ownRegionShare = 0.75;

/** Most recent changes that one message lists. */
export const maxRecentChangesPerMessage = 64;

/** Most records in one message, about 350 KB; the rest follows in later exchanges. */
export const maxRecordsPerMessage = 256;

/** Peers that are contacted at once for a change that cannot wait for the next exchange. */
export const urgentFanout = 3;

/** Dependencies of gossip. */
export interface GossipOptions {
  readonly table: MemberTable;
  readonly link: PeerLink;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** `host:port` of the peers that the settings name for joining the fleet. */
  readonly contacts: readonly string[];
  readonly revisions: RevisionExchange;
  readonly log: LogSink;
}

const emptyDelta: MemberDelta = { records: [], requests: [] };

/** Anti-entropy gossip: exchanges member records with random peers until all tables are equal. */
export class GossipTask implements Disposable {
  private readonly recent = new RecentChanges();

  private readonly disposables = new DisposableStore();

  private gossipTimer: Disposable | undefined;

  private rejoinTimer: Disposable | undefined;

  private lastComparison = -comparisonPeriodMs;

  private isDisposed = false;

  public constructor(private readonly options: GossipOptions) {
    const { table } = options;
    this.recordChange(table.self);
    this.disposables.add(
      table.onChange(({ before, after }) => {
        if (after !== undefined) this.recordChange(after);
        else if (before !== undefined) this.recent.forget(before.id);
      }),
    );
  }

  /** Starts the periodic exchanges, and one with each contact at once. */
  public start(): void {
    const { clock, random, contacts } = this.options;
    this.gossipTimer = clock.after(random() * gossipPeriodMs, () => this.tick());
    this.rejoinTimer = clock.after(random() * rejoinPeriodMs, () => this.tryRejoin());
    contacts.forEach((address) => this.startExchange(address, true));
  }

  /** Exchanges with some peers at once, for urgent changes such as `leaving`. */
  public exchangeNow(): void {
    const { random } = this.options;
    const peers = sampleItems(random, this.others(), urgentFanout);
    peers.forEach(({ address }) => this.startExchange(address, false));
  }

  /** Sends a member its own record, so that it can refute a suspicion at once. */
  public notify(member: MemberRecord): void {
    const versions = [this.options.table.versionOf(member.id)];
    const record = this.options.table.exportRecord(member.id, false);
    const records = record === undefined ? [] : [record];
    void this.sendUpdate(member.address, { ...this.createUpdate(), records, versions });
  }

  /** Answers an update from a peer. */
  public handle(update: MemberUpdate): MemberUpdate {
    this.applyUpdate(update, this.options.table.get(update.sender)?.address);
    const { table } = this.options;
    const delta = table.delta(update.versions, update.parts);
    const answer = this.createUpdate(delta, update.revision);
    const isFirst = update.digest !== 0;
    if (!isFirst) return answer;
    const isEqual = table.digest() === update.digest;
    const known = new Set(update.versions.map(({ id }) => id));
    const listed = this.listRecent().filter(({ id }) => !known.has(id));
    const partDigests = isEqual ? [] : table.partDigests();
    return { ...answer, versions: [...answer.versions, ...listed], partDigests };
  }

  public dispose(): void {
    this.isDisposed = true;
    this.gossipTimer?.dispose();
    this.rejoinTimer?.dispose();
    this.disposables.dispose();
  }

  private tick(): void {
    if (this.isDisposed) return;
    this.gossipTimer = this.options.clock.after(gossipPeriodMs, () => this.tick());
    this.options.table.sweep();
    const address = this.choosePeerAddress();
    if (address !== undefined) this.startExchange(address, false);
  }

  private tryRejoin(): void {
    if (this.isDisposed) return;
    this.rejoinTimer = this.options.clock.after(rejoinPeriodMs, () => this.tryRejoin());
    const address = this.chooseRejoinAddress();
    if (address !== undefined) this.startExchange(address, true);
  }

  private choosePeerAddress(): string | undefined {
    const { table, random, contacts } = this.options;
    const { region } = table.self.location;
    const others = this.others();
    if (others.length === 0) return contacts[pickIndex(random, contacts.length)];
    const ownRegion = others.filter(({ location }) => location.region === region);
    const otherRegions = others.filter(({ location }) => location.region !== region);
    const isOwnRegionPreferred = random() < ownRegionShare;
    const preferred = isOwnRegionPreferred ? ownRegion : otherRegions;
    const eligible = preferred.length > 0 ? preferred : others;
    return eligible[pickIndex(random, eligible.length)]?.address;
  }

  /** Address of a random dead member, or of a contact that is not a known member. */
  private chooseRejoinAddress(): string | undefined {
    const { table, random, contacts } = this.options;
    const records = table.all();
    const liveAddresses = new Set(
      records.filter(({ status }) => !isGone(status)).map(({ address }) => address),
    );
    const dead = records.filter(({ status }) => status === 'dead').map(({ address }) => address);
    const lost = [...new Set([...dead, ...contacts])].filter(
      (address) => !liveAddresses.has(address),
    );
    return lost[pickIndex(random, lost.length)];
  }

  private others(): MemberRecord[] {
    const { table } = this.options;
    return table.live().filter(({ id }) => id !== table.self.id);
  }

  private startExchange(address: string, isComplete: boolean): void {
    void this.exchange(address, isComplete);
  }

  /**
   * Exchanges recent changes, then missing records and requests, then the requested records.
   *
   * @param isComplete Compares table parts even if the last comparison was recent.
   */
  private async exchange(address: string, isComplete: boolean): Promise<void> {
    const { table } = this.options;
    const firstUpdate = {
      ...this.createUpdate(),
      versions: this.listRecent(),
      digest: table.digest(),
    };
    const answer = await this.sendUpdate(address, firstUpdate);
    if (answer === undefined) return;
    const delta = table.delta(answer.versions);
    const parts = this.chooseParts(answer.partDigests, isComplete);
    const isBehind = answer.revision < this.options.revisions.revision();
    if (delta.records.length + delta.requests.length + parts.length === 0 && !isBehind) return;
    const listed = table.versionsOfParts(parts);
    const listedIds = new Set(listed.map(({ id }) => id));
    const versions = [...listed, ...delta.requests.filter(({ id }) => !listedIds.has(id))];
    const secondUpdate = { ...this.createUpdate(delta, answer.revision), versions, parts };
    await this.sendRequested(address, await this.sendUpdate(address, secondUpdate));
  }

  private async sendRequested(address: string, answer: MemberUpdate | undefined): Promise<void> {
    if (answer === undefined || answer.versions.length === 0) return;
    const delta = this.options.table.delta(answer.versions);
    if (delta.records.length === 0) return;
    await this.sendUpdate(address, this.createUpdate({ ...delta, requests: [] }));
  }

  private chooseParts(theirs: readonly number[], isComplete: boolean): number[] {
    const { table, clock } = this.options;
    if (theirs.length === 0) return [];
    const isDue = clock.elapsed() - this.lastComparison >= comparisonPeriodMs;
    if (!isDue && !isComplete) return [];
    this.lastComparison = clock.elapsed();
    const mine = table.partDigests();
    return mine.flatMap((digest, part) => (digest === theirs[part] ? [] : [part]));
  }

  private async sendUpdate(
    address: string,
    update: MemberUpdate,
  ): Promise<MemberUpdate | undefined> {
    if (this.isDisposed) return undefined;
    try {
      const answer = await this.options.link.exchange(address, update);
      if (this.isDisposed) return undefined;
      this.applyUpdate(answer, address);
      return answer;
    } catch (error) {
      this.options.log.write({
        level: 'debug',
        kind: 'membership',
        message: 'exchange failed',
        fields: { peer: address, error: String(error) },
      });
      return undefined;
    }
  }

  private applyUpdate(update: MemberUpdate, address: string | undefined): void {
    update.records.forEach((record) => this.options.table.merge(record));
    if (update.head === undefined || address === undefined) return;
    if (update.revision > this.options.revisions.revision()) {
      this.options.revisions.offer(address, update.head);
    }
  }

  /** Includes the configuration head if the peer's revision is known and older. */
  private createUpdate(delta: MemberDelta = emptyDelta, theirRevision?: number): MemberUpdate {
    const { table, revisions } = this.options;
    const revision = revisions.revision();
    const isBehind = theirRevision !== undefined && theirRevision < revision;
    return {
      sender: table.self.id,
      records: delta.records.slice(0, maxRecordsPerMessage),
      versions: delta.requests,
      digest: 0,
      partDigests: [],
      parts: [],
      revision,
      head: isBehind ? revisions.head() : undefined,
    };
  }

  private listRecent(): MemberVersion[] {
    return this.recent
      .take(maxRecentChangesPerMessage)
      .map((id: DaemonId) => this.options.table.versionOf(id));
  }

  private recordChange(record: MemberRecord): void {
    this.recent.record(record.id, this.options.table.size);
  }
}
