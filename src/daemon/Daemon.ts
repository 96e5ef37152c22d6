import type { IncomingMessage, ServerResponse } from 'node:http';
import { isLeft } from 'fp-ts/lib/Either.js';
import {
  brandAs,
  createIncarnation,
  DisposableStore,
  type Clock,
  type DaemonId,
  type Disposable,
  type LogSink,
  type RandomSource,
  storeAdapters,
  type RequestId,
  type ServiceName,
  type TargetAnnouncement,
  type TargetId,
} from '../api/index.js';
import { PathTracker } from '../common/health/PathTracker.js';
import { RetryBudget } from '../common/retry/RetryBudget.js';
import { CrossRegionBudget } from '../common/selection/CrossRegionBudget.js';
import { LoadTable } from '../common/selection/LoadTable.js';
import { Selector } from '../common/selection/Selector.js';
import { AdminServer } from './AdminServer.js';
import { ConfigurationDistribution } from './ConfigurationDistribution.js';
import { CountedStore } from './CountedStore.js';
import { CrashGuard } from './CrashGuard.js';
import { DecisionLog } from './DecisionLog.js';
import { Ejection } from './Ejection.js';
import { FleetReport } from './FleetReport.js';
import { Forwarder } from './Forwarder.js';
import { GrpcPeerLink } from './GrpcPeerLink.js';
import { CallerServer } from './CallerServer.js';
import { LocalHome } from './LocalHome.js';
import { Membership } from './Membership.js';
import { OperationHttpHandler } from './OperationHttpHandler.js';
import { Operations } from './Operations.js';
import { addOperatorHandlers } from './operatorHandlers.js';
import { ObservedHome } from './ObservedHome.js';
import { PeerConnections } from './PeerConnections.js';
import { PeerServer } from './PeerServer.js';
import { readLimited } from './streams.js';
import { probeTarget } from './probeTarget.js';
import { Quotas } from './Quotas.js';
import { RemoteHome } from './RemoteHome.js';
import { RequestMetrics } from './RequestMetrics.js';
import { sendJson, sendText } from './Responses.js';
import type { DaemonSettings } from './Settings.js';
import type { Home, Identity } from './Types.js';

const announcementPath = '/.limpettrack/targets/';
/** Maximum bytes of an announcement. */
const maxAnnouncementBytes = 16 * 1024;
/** Longest wait for targets to move to another home; then their announcements here have expired. */
const targetHandOverTimeoutMs = 4_000;
/** Longest wait for journal writes and for releasing the key ranges during a stop. */
const operationStopTimeoutMs = 5_000;
/** Penalty in the expected wait of a path at preference 0.5; at the lowest preference, 2 %, it is about 1 s. */
const halfPreferencePenaltyMs = 20;
const incarnationRandomRange = 0x1_0000_0000;

/** Process facilities that a daemon uses. */
export interface DaemonEnvironment {
  readonly clock: Clock;
  readonly sink: LogSink;
  readonly random: RandomSource;
}

/** Ports that a daemon listens on. */
export interface DaemonPorts {
  readonly peer: number;
  readonly admin: number;
  readonly callers: number;
}

/** One daemon: creates its services, connects them, and owns their lifetime. */
export class Daemon implements Disposable {
  private readonly disposables = new DisposableStore();

  private readonly identity: Identity;

  private readonly log: DecisionLog;

  private readonly metrics = new RequestMetrics(() => this.store.calls);

  private readonly store: CountedStore;

  private readonly configuration: ConfigurationDistribution;

  private readonly home: LocalHome;

  private readonly connections: PeerConnections;

  private readonly peerServer: PeerServer;

  private readonly admin: AdminServer;

  private readonly callerServer: CallerServer;

  private readonly forwarder: Forwarder;

  private readonly ejection: Ejection;

  private readonly crashGuard: CrashGuard;

  private readonly operations: Operations;

  private readonly operationHandler: OperationHttpHandler;

  private readonly remoteHomes = new Map<string, Home>();

  private readonly paths = new PathTracker();

  private readonly membership: Membership;

  private readonly quotas: Quotas;

  private requestCount = 0;

  public constructor(
    private readonly settings: DaemonSettings,
    private readonly environment: DaemonEnvironment,
  ) {
    const { clock, random, sink } = environment;
    this.identity = {
      id: settings.id,
      incarnation: createIncarnation(clock.now(), random() * incarnationRandomRange),
      location: { region: settings.region, dataCentre: settings.dataCentre },
      address: settings.peer,
    };
    this.log = new DecisionLog(sink, settings.routeSample, random, () => clock.now());
    const adapter = storeAdapters.get(settings.storeAdapter);
    this.store = this.disposables.add(
      new CountedStore(adapter.createStore(settings.store, settings.id)),
    );
    this.connections = this.disposables.add(new PeerConnections());
    this.configuration = this.disposables.add(
      new ConfigurationDistribution({
        store: this.store,
        connections: this.connections,
        clock,
        random,
        log: this.log,
      }),
    );
    this.home = this.disposables.add(
      new LocalHome(
        clock,
        (service) => this.configuration.limitsOf(service).maxQueue,
        (request) => this.crashGuard.checkStart(request),
      ),
    );
    this.crashGuard = this.disposables.add(
      new CrashGuard({
        store: this.store,
        clock,
        random,
        log: this.log,
        home: this.home,
        isDown: (target) => this.isTargetDown(target),
      }),
    );
    this.membership = this.disposables.add(this.createMembership());
    this.quotas = this.disposables.add(this.createQuotas());
    this.forwarder = this.createForwarder();
    this.ejection = this.disposables.add(this.createEjection());
    this.operations = this.disposables.add(this.createOperations());
    this.operationHandler = new OperationHttpHandler(this.operations, clock, (request, signal) =>
      this.forwarder.forward(request, signal),
    );
    this.peerServer = this.disposables.add(
      new PeerServer(this.home, {
        ...this.operations.handlers(),
        ...this.ejection.handlers(),
        ...this.quotas.handlers(),
        ...this.membership.handlers(),
        ...this.configuration.handlers(),
      }),
    );
    this.admin = this.disposables.add(new AdminServer());
    this.callerServer = this.disposables.add(this.createCallerServer());
    this.addAdminHandlers();
    this.disposables.add(this.membership.announcements.onGone(({ id }) => this.home.remove(id)));
  }

  /** Opens the listening sockets and returns their ports; throws if an address cannot be bound. */
  public async start(): Promise<DaemonPorts> {
    const { settings } = this;
    const peer = await this.peerServer.listen(settings.peer);
    const admin = await this.admin.listen(settings.admin);
    const callers = await this.callerServer.listen(settings.callers);
    this.membership.start();
    this.configuration.start(this.membership);
    this.operations.start();
    this.crashGuard.start();
    this.logLifecycle('serving');
    return { peer, admin, callers };
  }

  /** Graceful shutdown: moves targets to other homes, drains callers, and completes the requests in flight. */
  public async stop(): Promise<void> {
    this.logLifecycle('stopping');
    this.callerServer.announceStop();
    const notice = new Promise<void>((resolve) => {
      this.environment.clock.after(this.settings.notice, resolve);
    });
    await Promise.all([this.membership.handOverTargets(targetHandOverTimeoutMs), notice]);
    this.membership.leave();
    await this.callerServer.drain();
    await this.operations.stop(operationStopTimeoutMs);
    await this.peerServer.drain();
    this.membership.end();
    this.logLifecycle('stopped');
    this.dispose();
  }

  public dispose(): void {
    this.disposables.dispose();
  }

  private logLifecycle(message: string): void {
    const { id, incarnation, location } = this.identity;
    this.log.write({
      level: 'info',
      kind: 'lifecycle',
      message,
      fields: { daemon: id, incarnation, dataCentre: location.dataCentre },
    });
  }

  private createMembership(): Membership {
    const { clock, random } = this.environment;
    return new Membership({
      identity: this.identity,
      adminAddress: this.settings.admin,
      contacts: this.settings.peers,
      link: new GrpcPeerLink(this.connections),
      clock,
      random,
      log: this.log,
      revisions: this.configuration,
    });
  }

  private createQuotas(): Quotas {
    return new Quotas({
      id: this.identity.id,
      table: this.membership.table,
      connections: this.connections,
      configuration: () => this.configuration.current,
      limitsOf: (service) => this.configuration.limitsOf(service),
      clock: this.environment.clock,
    });
  }

  private createForwarder(): Forwarder {
    const { clock, random } = this.environment;
    const crossRegion = new CrossRegionBudget(
      (service) =>
        this.configuration.isPaused('cross-region', service)
          ? 0
          : this.configuration.limitsOf(service).crossRegionRate,
      clock,
    );
    return new Forwarder({
      clock,
      directory: this.membership,
      selector: new Selector(this.identity.location, random, {
        pathPenalty: (daemon) => this.pathPenalty(daemon),
        crossRegion,
      }),
      loads: new LoadTable(clock),
      retries: new RetryBudget((service) => this.retryShareOf(service), clock),
      log: this.log,
      homeOf: (daemon) => this.homeOf(daemon),
    });
  }

  private createEjection(): Ejection {
    const { clock, random } = this.environment;
    const { identity, store, log, home, membership, configuration, connections } = this;
    return new Ejection({
      identity,
      clock,
      random,
      store,
      log,
      home,
      membership,
      configuration,
      connections,
      registry: this.metrics.registry,
    });
  }

  private createOperations(): Operations {
    const { clock, random } = this.environment;
    const { identity, store, log, membership, connections, forwarder } = this;
    return new Operations({
      identity,
      store,
      clock,
      random,
      log,
      membership,
      connections,
      forwarder,
    });
  }

  private async isTargetDown(target: TargetId): Promise<boolean> {
    const address = this.membership.announcements.get(target)?.address;
    if (address === undefined) return false;
    return (await probeTarget(address)).kind === 'unreachable';
  }

  /** Milliseconds added to the expected wait for a path with recent failures. */
  private pathPenalty(daemon: DaemonId): number {
    const preference = this.paths.preference(daemon, this.environment.clock.elapsed());
    return halfPreferencePenaltyMs * (1 / preference - 1);
  }

  private retryShareOf(service: ServiceName): number {
    if (this.configuration.isPaused('retries', service)) return 0;
    return this.configuration.limitsOf(service).retryShare;
  }

  private homeOf(daemon: DaemonId): Home {
    if (daemon === this.identity.id) return this.home;
    const address = this.membership.addressOf(daemon) ?? '';
    let home = this.remoteHomes.get(address);
    if (home === undefined) {
      home = new ObservedHome(new RemoteHome(address, this.connections), {
        daemon,
        paths: this.paths,
        clock: this.environment.clock,
      });
      this.remoteHomes.set(address, home);
    }
    return home;
  }

  private createCallerServer(): CallerServer {
    return new CallerServer({
      clock: this.environment.clock,
      log: this.log,
      routes: () => this.configuration.routes,
      forwarder: this.forwarder,
      runOperation: (request, signal) => this.operationHandler.run(request, signal),
      internal: (request, response, path) => this.operationHandler.handle(request, response, path),
      checkLimits: (context) => this.quotas.check(context),
      checkQuarantine: (context) => this.crashGuard.check(context),
      timeoutOf: (route) => route.timeout ?? this.configuration.limitsOf(route.service).timeout,
      createId: () => this.createRequestId(),
      onFinished: (request) => this.metrics.record(request),
    });
  }

  private createRequestId(): RequestId {
    this.requestCount += 1;
    const { id, incarnation } = this.identity;
    return brandAs<RequestId>(`${id}.${incarnation}.${this.requestCount.toString(36)}`);
  }

  private addAdminHandlers(): void {
    this.admin.on('PUT', announcementPath, (request, response) => this.announce(request, response));
    this.admin.on('GET', '/metrics', async (_request, response) => {
      const text = await this.metrics.text();
      response.writeHead(200, { 'content-type': this.metrics.registry.contentType });
      response.end(text);
    });
    this.admin.on('GET', '/why', async (_request, response, url) => {
      sendJson(response, 200, this.log.find(url.searchParams.get('id') ?? ''));
    });
    addOperatorHandlers(this.admin, this.createFleetReport());
  }

  private createFleetReport(): FleetReport {
    const { identity, membership, configuration, log } = this;
    return new FleetReport({
      identity,
      members: () => membership.table.all(),
      services: () => membership.targets.services(),
      targetsOf: (service) => membership.targets.all(service),
      configuration: () => configuration.current,
      limitsOf: (service) => configuration.limitsOf(service),
      findLines: (id) => log.find(id),
      restore: (target) => this.ejection.restore(target),
    });
  }

  private async announce(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const content = await readLimited(request, maxAnnouncementBytes);
    const announcement = JSON.parse(content.toString()) as TargetAnnouncement;
    if (!this.ejection.acceptsAnnouncement(announcement.id)) {
      sendText(response, 409, 'announce to another home: this one does not reach the target');
      return;
    }
    const taken = this.membership.announcements.announce(announcement);
    if (isLeft(taken)) {
      sendText(response, 409, taken.left);
      return;
    }
    this.home.announce(announcement);
    this.ejection.announce(announcement);
    sendJson(response, 200, {});
  }
}
