import { isLeft, type Either } from 'fp-ts/lib/Either.js';
import {
  DisposableStore,
  type Clock,
  type DaemonId,
  type Disposable,
  type LogSink,
  type StoreEntry,
  type StoreEpoch,
} from '../api/index.js';
import type { PrefixWatcher } from '../common/fleet/PrefixWatcher.js';
import type { RelayedStore } from '../common/fleet/RelayedStore.js';
import { firstEpoch } from '../common/fleet/StorePosition.js';
import type { TrafficConfiguration } from '../common/routing/TrafficTypes.js';
import type { TrafficState } from './TrafficState.js';

/** Milliseconds within which the own poll should bring a configuration that another daemon already has. */
const refreshDelay = 400;
/** Milliseconds between reads for a newer configuration, which may be gone from the store. */
const refreshInterval = 1_500;
/** Maximum age in the metrics, in milliseconds; before the first read it is infinite. */
const maxReportedAge = 3_600_000;

/** Store key and decoder of the traffic configuration. */
export interface ConfigurationSource {
  readonly key: string;
  readonly decode: (value: Uint8Array) => Either<string, TrafficConfiguration>;
}

/** Dependencies of `ConfigurationFollower`. */
export interface ConfigurationFollowerSettings {
  readonly source: ConfigurationSource;
  /** Watches the key of the source. */
  readonly watcher: PrefixWatcher;
  readonly relayed: Pick<RelayedStore, 'lastRead' | 'ageOf' | 'reportNewer'>;
  /** Receives each version that was read. */
  readonly traffic: TrafficState;
  readonly clock: Clock;
  readonly log: LogSink;
}

/** Follows the configuration in the store and applies each version. */
export class ConfigurationFollower implements Disposable {
  private readonly disposables = new DisposableStore();

  /** Epoch and content of the configuration in force. */
  private inForce: { readonly epoch: StoreEpoch; readonly value: Uint8Array } | undefined;

  private lastDelay = 0;

  private refreshAllowedAt = -Infinity;

  public constructor(private readonly settings: ConfigurationFollowerSettings) {
    const { source, watcher } = settings;
    watcher.onSnapshot(({ entries }) => {
      entries.filter(({ key }) => key === source.key).forEach((entry) => this.apply(entry));
    });
    watcher.onChanges((changes) => {
      const newest = changes.filter(
        ({ type, entry }) => type === 'put' && entry.key === source.key,
      );
      newest.slice(-1).forEach(({ entry }) => this.apply(entry));
    });
  }

  /** Milliseconds that the last change had been in the store at most when it was read. */
  public get delay(): number {
    return this.lastDelay;
  }

  /** Milliseconds since the store confirmed what is known, an hour at most. */
  public get age(): number {
    return Math.min(this.settings.relayed.ageOf(this.settings.source.key), maxReportedAge);
  }

  /** Starts reading; returns at once. */
  public start(): void {
    this.settings.watcher.start();
  }

  /** Reads from other sources if another daemon still has a newer version soon, since the own poll may be stalled. */
  public refreshIfOlder(version: number, holder: DaemonId | undefined): void {
    const { source, watcher, relayed, traffic, clock } = this.settings;
    if (version <= traffic.version || clock.elapsed() < this.refreshAllowedAt) return;
    this.refreshAllowedAt = clock.elapsed() + refreshInterval;
    this.disposables.add(
      clock.after(refreshDelay, () => {
        if (version <= traffic.version) return;
        relayed.reportNewer(source.key, holder);
        watcher.refresh();
      }),
    );
  }

  public dispose(): void {
    this.disposables.dispose();
  }

  private apply(entry: StoreEntry): void {
    const { source: configuration, relayed, traffic, log } = this.settings;
    const decoded = configuration.decode(entry.value);
    if (isLeft(decoded)) {
      log.write({
        level: 'error',
        kind: 'configuration',
        message: 'the configuration in the store cannot be read; the last one stays in force',
        fields: { step: 'configuration.decode', key: entry.key, error: decoded.left },
      });
      return;
    }
    const {
      source = '',
      previousAge = Infinity,
      epoch = firstEpoch,
    } = relayed.lastRead(entry.key) ?? {};
    const { inForce } = this;
    // An operator whose last versions were lost may give their numbers out again.
    const isReissued =
      inForce !== undefined &&
      epoch > inForce.epoch &&
      Buffer.compare(entry.value, inForce.value) !== 0;
    // A process that has just started had no state that could be outdated.
    if (Number.isFinite(previousAge)) this.lastDelay = Math.round(previousAge);
    const origin = { epoch, revision: entry.modRevision, source, delay: this.lastDelay };
    const isApplied = traffic.apply(decoded.right, origin, isReissued);
    if (isApplied) this.inForce = { epoch, value: entry.value };
  }
}
