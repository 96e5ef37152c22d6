import type { Registry } from 'prom-client';
import {
  brandAs,
  DisposableStore,
  sampleItems,
  type Clock,
  type Configuration,
  type DaemonId,
  type Disposable,
  type LogSink,
  type RandomSource,
  type ServiceName,
  type Store,
  type TargetAnnouncement,
  type TargetId,
  type TargetState,
} from '../api/index.js';
import { EjectionTask } from '../common/ejection/EjectionTask.js';
import { IndirectProber } from '../common/ejection/IndirectProber.js';
import { refusalMessage, transitionMessage } from '../common/ejection/StateCatalogue.js';
import type { EjectionEnvironment, EjectionRefusal, Transition } from '../common/ejection/Types.js';
import type { InFlightRequest, TargetSummary } from '../common/health/index.js';
import type { ConfigurationDistribution } from './ConfigurationDistribution.js';
import { EjectionMetrics } from './EjectionMetrics.js';
import type { PeerHandlers } from './generated/limpettrack/Peer.js';
import type { ProbeResult__Output as ProbeOutput } from './generated/limpettrack/ProbeResult.js';
import type { SummaryResponse__Output as SummaryOutput } from './generated/limpettrack/SummaryResponse.js';
import type { LocalHome } from './LocalHome.js';
import type { Membership } from './Membership.js';
import type { PeerConnections } from './PeerConnections.js';
import { createUnaryHandler } from './PeerServer.js';
import { probeTarget } from './probeTarget.js';
import type { ForwardRequest, Identity } from './Types.js';
import { callUnary } from './unary.js';

const summaryTimeoutMs = 800;
const remoteProbeTimeoutMs = 1_500;
const summarySampleSize = 4;
/** Time for which announcements of a target that must move to another home are refused. */
const reassignmentPeriodMs = 5_000;

/** States in which the home refuses requests; changes to or from them are gossiped at once. */
const closedStates: ReadonlySet<TargetState> = new Set(['ejected', 'held', 'draining']);

/** Dependencies of ejection at a home. */
export interface EjectionSettings {
  readonly identity: Identity;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: Store;
  readonly log: LogSink;
  readonly home: LocalHome;
  readonly membership: Membership;
  readonly configuration: ConfigurationDistribution;
  readonly connections: PeerConnections;
  /** Receives the metrics of the target states. */
  readonly registry: Registry;
}

/** Evaluates the health of the targets of this home and publishes their states. */
export class Ejection implements Disposable {
  private readonly disposables = new DisposableStore();

  private readonly task: EjectionTask;

  private readonly indirectProber: IndirectProber;

  private readonly metrics: EjectionMetrics;

  private readonly inFlightRequests = new WeakMap<ForwardRequest, InFlightRequest>();

  private readonly reassignedUntil = new Map<TargetId, number>();

  public constructor(private readonly settings: EjectionSettings) {
    const { identity, clock, random, store } = settings;
    this.indirectProber = new IndirectProber({
      others: () => this.otherDaemons(),
      probeFrom: (daemon, address) => this.probeFrom(daemon, address),
      probeHere: async (address) => ({
        isReachable: (await probeTarget(address)).kind !== 'unreachable',
      }),
      random,
    });
    this.task = this.disposables.add(
      new EjectionTask({
        home: identity.id,
        clock,
        random,
        store,
        environment: this.createEnvironment(),
      }),
    );
    this.metrics = new EjectionMetrics(settings.registry, () => this.task.statuses());
    this.subscribe();
  }

  /** Whether announcements of the target are accepted; false while it must move to another home. */
  public acceptsAnnouncement(target: TargetId): boolean {
    const until = this.reassignedUntil.get(target);
    if (until !== undefined && this.settings.clock.elapsed() < until) return false;
    this.reassignedUntil.delete(target);
    return true;
  }

  /** Handles an announcement or its renewal. */
  public announce(announcement: TargetAnnouncement): void {
    this.task.announce(announcement);
  }

  /** Returns a target to service on an operator's request; false if this daemon is not its home. */
  public restore(target: TargetId): boolean {
    return this.task.restore(target);
  }

  /** Handler of peer calls for the summaries of a service. */
  public handlers(): Pick<PeerHandlers, 'Summaries'> {
    return {
      Summaries: createUnaryHandler(async ({ service }) => ({
        summaries: this.task
          .summaries(brandAs<ServiceName>(service))
          .map((summary) => ({ ...summary, routes: [...summary.routes] })),
      })),
    };
  }

  public dispose(): void {
    this.disposables.dispose();
  }

  private subscribe(): void {
    const { home, membership, configuration } = this.settings;
    this.disposables.add(
      home.onStart((request) => {
        const inFlight = this.task.begin(request.target, request.context.route);
        if (inFlight !== undefined) this.inFlightRequests.set(request, inFlight);
      }),
    );
    this.disposables.add(
      home.onOutcome(({ target, request, outcome }) =>
        this.task.record(target, outcome, this.inFlightRequests.get(request)),
      ),
    );
    this.disposables.add(membership.announcements.onGone(({ id }) => this.task.markGone(id)));
    this.disposables.add(configuration.onChange(({ after }) => this.applyOperatorHolds(after)));
    this.disposables.add(this.task.onTransition((transition) => this.publish(transition)));
    this.disposables.add(this.task.onRefusal((refusal) => this.logRefusal(refusal)));
    this.disposables.add(
      this.task.onReassign((target) => {
        this.reassignedUntil.set(target, this.settings.clock.elapsed() + reassignmentPeriodMs);
      }),
    );
  }

  private applyOperatorHolds({ holds }: Configuration): void {
    this.task.setOperatorHolds(
      new Map(holds.map(({ target, action }) => [brandAs<TargetId>(target), action])),
    );
  }

  private publish(transition: Transition): void {
    const { target, service, from, to, cause, share, reason } = transition;
    this.metrics.recordTransition(transition);
    const { log, home, membership } = this.settings;
    if (to !== 'gone') membership.announcements.assign(target, { status: to, share });
    home.setClosed(target, closedStates.has(to));
    const isUrgent = closedStates.has(to) || closedStates.has(from);
    if (isUrgent) membership.gossipNow();
    log.write({
      level: to === 'active' ? 'info' : 'warn',
      kind: 'ejection',
      message: transitionMessage,
      fields: {
        step: 'home.ejection',
        target,
        service,
        from,
        to,
        cause,
        share,
        evidence: reason?.cause,
        score: reason?.score,
        errorRate: reason?.errorRate,
        slowShare: reason?.slowShare,
        samples: reason?.samples,
        peers: reason?.peers,
      },
    });
  }

  private logRefusal(event: EjectionRefusal): void {
    const { target, service, refusal, capacity, floor } = event;
    this.metrics.recordRefusal(event);
    this.settings.log.write({
      level: 'warn',
      kind: 'ejection',
      message: refusalMessage,
      fields: { step: 'home.ejection', target, service, refusal, capacity, floor },
    });
  }

  private createEnvironment(): EjectionEnvironment {
    const { configuration, random } = this.settings;
    return {
      sampleSummaries: (service) =>
        this.collectSummaries(
          service,
          sampleItems(random, this.homesOf(service), summarySampleSize),
        ),
      allSummaries: (service) => this.collectSummaries(service, this.homesOf(service)),
      probe: (_target, address) => probeTarget(address),
      diagnoseFault: (_target, address) => this.indirectProber.diagnose(address),
      floor: (service) => configuration.limitsOf(service).floor,
      isPaused: (service) => configuration.isPaused('ejection', service),
    };
  }

  private homesOf(service: ServiceName): DaemonId[] {
    const { membership, identity } = this.settings;
    const homes = membership.targets.all(service).map(({ home }) => home);
    return [...new Set(homes)].filter((home) => home !== identity.id);
  }

  private otherDaemons(): DaemonId[] {
    const { membership, identity } = this.settings;
    const live = membership.table.live().map(({ id }) => id);
    return live.filter((id) => id !== identity.id);
  }

  private async collectSummaries(
    service: ServiceName,
    homes: readonly DaemonId[],
  ): Promise<readonly TargetSummary[]> {
    const answers = homes.map((home) => this.summariesOf(home, service).catch(() => []));
    return (await Promise.all(answers)).flat();
  }

  private async summariesOf(home: DaemonId, service: ServiceName): Promise<TargetSummary[]> {
    const peer = this.settings.membership.addressOf(home) ?? '';
    const client = this.settings.connections.get(peer);
    const origin = { step: 'ejection.summaries', peer };
    const { summaries } = await callUnary<SummaryOutput>(
      origin,
      summaryTimeoutMs,
      (options, done) => {
        client.summaries({ service }, options, done);
      },
    );
    return summaries.map((summary) => ({
      ...summary,
      target: brandAs<TargetId>(summary.target),
      status: summary.status as TargetState,
    }));
  }

  private async probeFrom(
    daemon: DaemonId,
    targetAddress: string,
  ): Promise<{ isReachable: boolean } | undefined> {
    const peer = this.settings.membership.addressOf(daemon) ?? '';
    const client = this.settings.connections.get(peer);
    const origin = { step: 'ejection.opinion', peer };
    try {
      const { reachable } = await callUnary<ProbeOutput>(
        origin,
        remoteProbeTimeoutMs,
        (options, done) => {
          client.probe({ targetAddress }, options, done);
        },
      );
      return { isReachable: reachable };
    } catch {
      return undefined;
    }
  }
}
