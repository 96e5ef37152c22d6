import { rankByRendezvous, type Clock, type DaemonId } from '../base/index.js';

/** Milliseconds for which a daemon reads the store itself after another one has followed it. */
const servingTime = 10_000;
/** Milliseconds for which a daemon is not asked after it failed as a relay, this one included. */
const avoidanceTime = 6_000;
/** Relays that are tried before the store. */
const maxRelays = 2;

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
    const now = this.clock.elapsed();
    const isAvoided = (daemon: DaemonId): boolean => (this.avoidedUntil.get(daemon) ?? 0) > now;
    const isFollowed = now - this.followedAt < servingTime && !isAvoided(this.self);
    if (isFollowed || this.failures >= maxRelays) return { type: 'store' };
    const [first] = rankByRendezvous(this.key, this.candidates()).filter(
      (daemon) => !isAvoided(daemon),
    );
    if (first === undefined || first === this.self) return { type: 'store' };
    return { type: 'relay', daemon: first };
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

  /** Daemon that reads the store for this source. */
  private readerOf(source: ChangeSource): DaemonId {
    return source.type === 'store' ? this.self : source.daemon;
  }
}
