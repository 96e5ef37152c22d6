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

/** Milliseconds between two exchanges that a daemon starts. */
export const gossipPeriodMs = 500;

/** Milliseconds between two attempts to reach a dead member or a configured first contact. */
export const rejoinPeriodMs = 5000;

/**
 * Milliseconds between two comparisons of whole parts that a daemon starts. Changes on their way make digests differ
 * most of the time at full size, and recent changes already travel in the lists.
 */
export const comparisonPeriodMs = 2000;

/** Share of exchanges with a peer of the own region; the link between regions is billed by volume. */
export const ownRegionShare = 0.75;

/** Recent changes listed in one message. */
export const maxRecentChangesPerMessage = 64;

/** Records in one message, at most about 350 KB; the rest follows in later exchanges. */
export const maxRecordsPerMessage = 256;

/** Peers that are told at once of a change that cannot wait for the next exchange. */
export const urgentFanout = 3;

/** Parts that gossip works with. */
export interface GossipOptions {
  readonly table: MemberTable;
  readonly link: PeerLink;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** `host:port` of the first contacts in the settings. */
  readonly contacts: readonly string[];
  readonly revisions: RevisionExchange;
  readonly log: LogSink;
}

const emptyDelta: MemberDelta = { records: [], requests: [] };

/** Exchanges member records with random peers until all daemons hold the same. */
export class GossipTask implements Disposable {
  private readonly recent = new RecentChanges();

  private readonly owned = new DisposableStore();

  private gossipTimer: Disposable | undefined;

  private rejoinTimer: Disposable | undefined;

  private lastComparison = -comparisonPeriodMs;

  private isDisposed = false;

  public constructor(private readonly options: GossipOptions) {
    const { table } = options;
    this.noteChange(table.self);
    this.owned.add(
      table.onChange(({ before, after }) => {
        if (after !== undefined) this.noteChange(after);
        else if (before !== undefined) this.recent.forget(before.id);
      }),
    );
  }

  /** Starts the periodic exchanges, the first with all contacts. */
  public start(): void {
    const { clock, random, contacts } = this.options;
    this.gossipTimer = clock.after(random() * gossipPeriodMs, () => this.tick());
    this.rejoinTimer = clock.after(random() * rejoinPeriodMs, () => this.tryRejoin());
    contacts.forEach((address) => this.startExchange(address, true));
  }

  /** Tells some peers at once, for changes such as `leaving`. */
  public exchangeNow(): void {
    const { random } = this.options;
    const peers = sampleItems(random, this.others(), urgentFanout);
    peers.forEach(({ address }) => this.startExchange(address, false));
  }

  /** Exchanges with one member at once, so that it sees what is said of it. */
  public notify(member: MemberRecord): void {
    const versions = [this.options.table.versionOf(member.id)];
    const record = this.options.table.exportRecord(member.id, false);
    const records = record === undefined ? [] : [record];
    void this.exchangeWith(member.address, { ...this.createUpdate(), records, versions });
  }

  /** Answers an exchange that a peer at `host:port` started; the address is absent if it is not known yet. */
  public handle(update: MemberUpdate): MemberUpdate {
    this.absorb(update, this.options.table.get(update.sender)?.address);
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
    this.owned.dispose();
  }

  private tick(): void {
    if (this.isDisposed) return;
    this.gossipTimer = this.options.clock.after(gossipPeriodMs, () => this.tick());
    this.options.table.sweep();
    const address = this.choosePeer();
    if (address !== undefined) this.startExchange(address, false);
  }

  private tryRejoin(): void {
    if (this.isDisposed) return;
    this.rejoinTimer = this.options.clock.after(rejoinPeriodMs, () => this.tryRejoin());
    const address = this.chooseLost();
    if (address !== undefined) this.startExchange(address, true);
  }

  private choosePeer(): string | undefined {
    const { table, random, contacts } = this.options;
    const { region } = table.self.location;
    const others = this.others();
    if (others.length === 0) return contacts[pickIndex(random, contacts.length)];
    const near = others.filter(({ location }) => location.region === region);
    const far = others.filter(({ location }) => location.region !== region);
    const isNear = random() < ownRegionShare;
    const preferred = isNear ? near : far;
    const pool = preferred.length > 0 ? preferred : others;
    return pool[pickIndex(random, pool.length)]?.address;
  }

  /** A dead member, or a first contact that is not known as a member. */
  private chooseLost(): string | undefined {
    const { table, random, contacts } = this.options;
    const records = table.all();
    const present = new Set(
      records.filter(({ status }) => !isGone(status)).map(({ address }) => address),
    );
    const dead = records.filter(({ status }) => status === 'dead').map(({ address }) => address);
    const lost = [...new Set([...dead, ...contacts])].filter((address) => !present.has(address));
    return lost[pickIndex(random, lost.length)];
  }

  private others(): MemberRecord[] {
    const { table } = this.options;
    return table.live().filter(({ id }) => id !== table.self.id);
  }

  private startExchange(address: string, isComplete: boolean): void {
    void this.exchange(address, isComplete);
  }

  /** First the lists of recent changes, then what one side lacks, then what it asked for. */
  private async exchange(address: string, isComplete: boolean): Promise<void> {
    const { table } = this.options;
    const opening = { ...this.createUpdate(), versions: this.listRecent(), digest: table.digest() };
    const answer = await this.exchangeWith(address, opening);
    if (answer === undefined) return;
    const delta = table.delta(answer.versions);
    const parts = this.chooseParts(answer.partDigests, isComplete);
    const isBehind = answer.revision < this.options.revisions.revision();
    if (delta.records.length + delta.requests.length + parts.length === 0 && !isBehind) return;
    const listed = table.versionsOfParts(parts);
    const listedIds = new Set(listed.map(({ id }) => id));
    const versions = [...listed, ...delta.requests.filter(({ id }) => !listedIds.has(id))];
    const second = { ...this.createUpdate(delta, answer.revision), versions, parts };
    await this.sendRequested(address, await this.exchangeWith(address, second));
  }

  private async sendRequested(address: string, answer: MemberUpdate | undefined): Promise<void> {
    if (answer === undefined || answer.versions.length === 0) return;
    const delta = this.options.table.delta(answer.versions);
    if (delta.records.length === 0) return;
    await this.exchangeWith(address, this.createUpdate({ ...delta, requests: [] }));
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

  private async exchangeWith(
    address: string,
    update: MemberUpdate,
  ): Promise<MemberUpdate | undefined> {
    if (this.isDisposed) return undefined;
    try {
      const answer = await this.options.link.exchange(address, update);
      if (this.isDisposed) return undefined;
      this.absorb(answer, address);
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

  private absorb(update: MemberUpdate, address: string | undefined): void {
    update.records.forEach((record) => this.options.table.merge(record));
    if (update.head === undefined || address === undefined) return;
    if (update.revision > this.options.revisions.revision()) {
      this.options.revisions.offer(address, update.head);
    }
  }

  /** `theirRevision` is absent when it is not known yet; the head is only sent to a peer that is behind. */
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

  private noteChange(record: MemberRecord): void {
    this.recent.record(record.id, this.options.table.size);
  }
}
