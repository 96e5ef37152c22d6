import * as O from 'fp-ts/lib/Option.js';
import {
  DisposableStore,
  type Clock,
  type Configuration,
  type ConfigurationChunk,
  type Disposable,
  type LogSink,
  type RandomSource,
  type ServiceLimits,
  type ServiceName,
  type Store,
} from '../api/index.js';
import {
  ConfigurationState,
  ConfigurationTask,
  createMembershipView,
  effectiveLimits,
  encodeHead,
  isPaused,
} from '../common/configuration/index.js';
import type { Automation } from '../common/configuration/Types.js';
import type { RevisionExchange } from '../common/membership/Types.js';
import { RouteTable } from '../common/routing/RouteTable.js';
import { sha256 } from '../node/sha256.js';
import type { ChunkResponse__Output as ChunkOutput } from './generated/limpettrack/ChunkResponse.js';
import type { PeerHandlers } from './generated/limpettrack/Peer.js';
import type { Membership } from './Membership.js';
import type { PeerConnections } from './PeerConnections.js';
import { createUnaryHandler } from './PeerServer.js';
import { callUnary } from './unary.js';

const chunkTimeoutMs = 2_000;

/**
 * Time per daemon of the fleet over which daemons spread the update of the revision in their member records. Without
 * the delay, 1,500 configuration changes a day would gossip 13 records a second to 730 daemons.
 */
const recordPeriodMs = 1_000;

/** Limits of a service that is not configured: it gets no requests until an operator configures it. */
const defaultLimits: ServiceLimits = {
  floor: 0,
  maxQueue: 0,
  timeout: 10_000,
  rate: 0,
  retryShare: 0,
  crossRegionRate: 0,
};

/** Dependencies of the configuration distribution. */
export interface ConfigurationDistributionSettings {
  readonly store: Store;
  readonly connections: PeerConnections;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
}

/** The configuration in force at this daemon, and the task that keeps it up to date. */
export class ConfigurationDistribution implements RevisionExchange, Disposable {
  private readonly state = new ConfigurationState(sha256);

  private readonly disposables = new DisposableStore();

  private task: ConfigurationTask | undefined;

  private recordTimer: Disposable | undefined;

  private routeTable: RouteTable = new RouteTable([]);

  private readonly limits = new Map<ServiceName, ServiceLimits>();

  /** Fires after a revision has come into force. */
  public readonly onChange = this.state.onChange;

  public constructor(private readonly settings: ConfigurationDistributionSettings) {
    this.disposables.add(this.state);
    this.disposables.add(this.state.onChange(({ after }) => this.apply(after)));
  }

  /** Starts to watch the store and to fetch revisions from peers. */
  public start(membership: Membership): void {
    const { state, settings } = this;
    this.task = this.disposables.add(
      new ConfigurationTask({
        ...settings,
        state,
        membership: createMembershipView(membership.table),
        fetchChunks: (address, digests) => this.fetchChunks(address, digests),
        digest: sha256,
      }),
    );
    this.disposables.add(
      state.onChange(() => {
        membership.gossipNow();
        this.recordRevision(membership);
      }),
    );
    this.task.start();
  }

  /** The configuration in force, if any. */
  public get current(): Configuration | undefined {
    return this.state.current;
  }

  /** Routes in force. */
  public get routes(): RouteTable {
    return this.routeTable;
  }

  /** Limits of a service under the preset in force. */
  public limitsOf(service: ServiceName): ServiceLimits {
    return this.limits.get(service) ?? defaultLimits;
  }

  /** Whether operators have paused an automatic action for a service. */
  public isPaused(automation: Automation, service: ServiceName): boolean {
    const { current } = this;
    return (
      current !== undefined && isPaused(current, automation, service, this.settings.clock.now())
    );
  }

  public revision(): number {
    return this.state.revision;
  }

  public head(): Uint8Array | undefined {
    const { head } = this.state;
    return head === undefined ? undefined : encodeHead(head, sha256);
  }

  public offer(address: string, head: Uint8Array): void {
    this.task?.offer(address, head);
  }

  /** Handler of peer calls for configuration chunks. */
  public handlers(): Pick<PeerHandlers, 'Chunks'> {
    return {
      Chunks: createUnaryHandler(async ({ digests }) => ({
        chunks: digests.flatMap((digest) => {
          const content = this.state.chunkContent(digest);
          return content === undefined ? [] : [{ digest, content }];
        }),
      })),
    };
  }

  public dispose(): void {
    this.recordTimer?.dispose();
    this.disposables.dispose();
  }

  private apply(configuration: Configuration): void {
    this.routeTable = new RouteTable(configuration.routes);
    this.limits.clear();
    configuration.services.forEach(({ name }) => {
      const limits = O.toUndefined(effectiveLimits(configuration, name));
      if (limits !== undefined) this.limits.set(name, limits);
    });
    this.settings.log.write({
      level: 'info',
      kind: 'configuration',
      message: 'revision in force',
      fields: {
        step: 'configuration.apply',
        revision: configuration.revision,
        preset: configuration.preset,
      },
    });
  }

  /** Writes the revision into the member record, at most about once a second over the whole fleet. */
  private recordRevision({ table }: Membership): void {
    const { clock, random } = this.settings;
    this.recordTimer?.dispose();
    this.recordTimer = clock.after(random() * table.size * recordPeriodMs, () => {
      table.updateSelf({ revision: this.state.revision });
    });
  }

  private async fetchChunks(
    address: string,
    digests: readonly string[],
  ): Promise<readonly ConfigurationChunk[]> {
    const client = this.settings.connections.get(address);
    const origin = { step: 'configuration.fetch', peer: address };
    const { chunks } = await callUnary<ChunkOutput>(origin, chunkTimeoutMs, (options, done) => {
      client.chunks({ digests: [...digests] }, options, done);
    });
    return chunks;
  }
}
