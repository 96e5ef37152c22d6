import { rankByRendezvous, type Clock, type DaemonId } from '../base/index.js';

/** Milliseconds for which a daemon reads the store itself after another one has followed it. */
const servingTime = 10_000;
/** Milliseconds for which a daemon is not asked after it failed as a relay, this one included. */
const avoidanceTime = 6_000;
/** Relays that are tried before the store. */
const maxRelays = 2;
/** Daemons that rank next and read the store themselves when the first relay gives no news. */
const maxStandbys = 2;
/** Daemons asked together after the standbys and the store, before all others. */
const maxNeighbours = 4;

/** Where a daemon reads the changes of the store: a relay in its data centre, or the store itself. */
export type ChangeSource =
  { readonly type: 'store' } | { readonly type: 'relay'; readonly daemon: DaemonId };

/**
 * Chooses where this daemon reads the changes of the store. In each data centre the daemon that ranks first for a prefix
 * reads the store and relays to the others, so the calls to the store do not grow with the fleet. The order is the same
 * at all daemons, and a daemon that is followed reads the store itself unless the store does not answer it. Relays that
 * follow each other then grow too old and are left.
 */
export class RelaySelector {
  private readonly avoidedUntil = new Map<DaemonId, number>();

  private followedAt = -Infinity;

  /** Relays that failed since the last successful call or the last call to the store. */
  private failures = 0;

  public constructor(
    private readonly self: DaemonId,
    /** Key of the ranking, so that different prefixes have different relays. */
    private readonly key: string,
    /** Daemons of this data centre that are serving and can relay, this one included. */
    private readonly candidates: () => readonly DaemonId[],
    private readonly clock: Clock,
  ) {}

  /** Records that another daemon follows this one. */
  public recordFollower(): void {
    this.followedAt = this.clock.elapsed();
  }

  /** Source of the next call. */
  public choose(): ChangeSource {
    const isFollowed =
      this.clock.elapsed() - this.followedAt < servingTime && !this.isAvoided(this.self);
    if (isFollowed || this.failures >= maxRelays) return { type: 'store' };
    const [first] = rankByRendezvous(this.key, this.candidates()).filter(
      (daemon) => !this.isAvoided(daemon),
    );
    if (first === undefined || first === this.self) return { type: 'store' };
    return { type: 'relay', daemon: first };
  }

  /**
   * Groups of sources to ask besides `primary` while it gives no news: the standbys, which ask the store then; the store;
   * some other daemons; all others. A group is computed when it is asked.
   */
  public backups(primary: ChangeSource): readonly (() => readonly ChangeSource[])[] {
    const asked = new Set<DaemonId>([this.self]);
    if (primary.type === 'relay') asked.add(primary.daemon);
    let isStoreAsked = false;
    const askStore = (): readonly ChangeSource[] => {
      if (isStoreAsked) return [];
      isStoreAsked = true;
      return [{ type: 'store' }];
    };
    const ask = (ranked: readonly DaemonId[], count: number): readonly ChangeSource[] => {
      const daemons = ranked
        .filter((daemon) => !asked.has(daemon) && !this.isAvoided(daemon))
        .slice(0, count);
      daemons.forEach((daemon) => asked.add(daemon));
      return daemons.map((daemon) => ({ type: 'relay', daemon }));
    };
    const inOwnOrder = (): DaemonId[] =>
      rankByRendezvous(`${this.key} ${this.self}`, this.candidates());
    return [
      () => {
        const ranked = rankByRendezvous(this.key, this.candidates());
        const isStandby = ranked.slice(0, 1 + maxStandbys).includes(this.self);
        // A connection to the store that lost a response stays silent, so the store is asked on another one.
        const readsStore = isStandby || primary.type === 'store';
        return [...(readsStore ? askStore() : []), ...ask(ranked, maxStandbys)];
      },
      askStore,
      () => ask(inOwnOrder(), maxNeighbours),
      () => ask(inOwnOrder(), Infinity),
    ];
  }

  /** Records a successful call. */
  public recordSuccess(source: ChangeSource): void {
    this.failures = 0;
    this.avoidedUntil.delete(this.readerOf(source));
  }

  /** Records a failed call; a relay fails too if its state is too old. */
  public recordFailure(source: ChangeSource): void {
    this.failures = source.type === 'store' ? 0 : this.failures + 1;
    this.avoidedUntil.set(this.readerOf(source), this.clock.elapsed() + avoidanceTime);
  }

  private isAvoided(daemon: DaemonId): boolean {
    return (this.avoidedUntil.get(daemon) ?? 0) > this.clock.elapsed();
  }

  /** Daemon that reads the store for this source. */
  private readerOf(source: ChangeSource): DaemonId {
    return source.type === 'store' ? this.self : source.daemon;
  }
}
