import {
  brandAs,
  createIncarnation,
  DisposableStore,
  type Clock,
  type DaemonId,
  type Disposable,
  type Incarnation,
  type LogSink,
  type RandomSource,
  type StoreChange,
  type StoreEntry,
  type StoreEpoch,
} from '../api/index.js';
import { DepartureRecorder } from '../common/fleet/DepartureRecorder.js';
import { Dispatcher } from '../common/dispatch/Dispatcher.js';
import { Placement } from '../common/dispatch/Placement.js';
import { RouteStatistics } from '../common/dispatch/RouteStatistics.js';
import type {
  Candidate,
  ConditionReport,
  AttemptRequest,
  TargetAnswer,
} from '../common/dispatch/Types.js';
import { decodeRecord, encodeRecord, newestRelayVersion } from '../common/fleet/daemonRecords.js';
import { FleetDirectory } from '../common/fleet/FleetDirectory.js';
import { SharedWatchStore } from '../common/fleet/SharedWatchStore.js';
import { PrefixWatcher } from '../common/fleet/PrefixWatcher.js';
import { ReachabilityMonitor } from '../common/fleet/ReachabilityMonitor.js';
import { Registration } from '../common/fleet/Registration.js';
import { firstEpoch, positionOf, type StorePosition } from '../common/fleet/StorePosition.js';
import { RelayedStore } from '../common/fleet/RelayedStore.js';
import { responseTimeout } from '../common/fleet/ResponseWatch.js';
import type { StoreMirror } from '../common/fleet/StoreMirror.js';
import type { DaemonRecord, PolledStore, StoreSnapshot } from '../common/fleet/Types.js';
import type { FleetRetryLimits } from '../common/retry/HomeRetryBudget.js';
import { CrashGuard } from '../daemon/CrashGuard.js';
import { CallerServer } from './CallerServer.js';
import { ConfigurationFollower, type ConfigurationSource } from './ConfigurationFollower.js';
import { canConnect } from './canConnect.js';
import { bufferSmallBody } from './bufferSmallBody.js';
import { Home } from './Home.js';
import { HomeServer } from './HomeServer.js';
import { createRequestMetadata } from './peer/createRequestMetadata.js';
import { newestPeerEncoding, PeerCodecs } from './peer/peerCodecs.js';
import { probeDaemon } from './peer/probeDaemon.js';
import { RelayHttpClient } from './peer/RelayHttpClient.js';
import { RelayHttpServer } from './peer/RelayHttpServer.js';
import { encodeChanges } from './peer/relayMessages.js';
import { PeerHttpClient } from './PeerHttpClient.js';
import type { SidecarSettings } from './Settings.js';
import { SidecarMetrics } from './SidecarMetrics.js';
import { createStopSchedule } from './stopSchedule.js';
import { isFromLeavingTarget } from './targetNotice.js';
import { TrafficState } from './TrafficState.js';
import type { HeaderNames } from './Types.js';

const millisecondsPerSecond = 1_000;
const randomRange = 0x1_0000_0000;
/** Prefix of the daemon records. */
const daemonPrefix = 'limpettrack/daemons/';
/** Prefix of the records of requests that crashed targets. */
const quarantinePrefix = 'limpettrack/quarantine/';
/** Prefix of the targets that leave, by daemon. */
const departurePrefix = 'limpettrack/departures/';
/** Prefix of all keys of this fleet, which one poll watches. */
const fleetPrefix = 'limpettrack/';
/** A request that crashed 3 targets is refused; records expire after 60 s, when its caller has given up. */
const quarantineLimits = { crashes: 3, lifetime: 60_000 };
/** Seconds after which the store removes the record of a dead daemon. */
const leaseSeconds = 6;
/** Milliseconds of one long poll at the most; each poll counts against the store's call rate. */
const pollTimeout = 15_000;
/** Milliseconds within which a change is known although a relay has failed: half a second less than the shortest bound. */
const configurationStaleness = 2_000;
/** The same for changes of the fleet, which daemons also learn from each other's responses. */
const fleetStaleness = 8_000;
/** Milliseconds in which fleet changes are batched; daemons also learn newer records from each other's responses. */
const fleetBatchDelay = 1_500;
/** Shorter batch delay while the fleet starts or recovers, when it delays the first requests. */
const earlyFleetBatchDelay = 300;
/** Milliseconds between two removals of daemons that are gone. */
const pruneInterval = 2_000;
/** Milliseconds for which a daemon that starts waits for the fleet before it reads the configuration. */
const maxFleetWait = 500;
/** Maximum milliseconds for removing the own record from the store at the end of a stop. */
const withdrawTimeout = 200;
/** Milliseconds between checks of the requests in flight during a stop. */
const drainPollInterval = 50;

/** Dependencies on the process and the platform. */
export interface SidecarEnvironment {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly store: PolledStore;
  readonly names: HeaderNames;
  readonly configuration: ConfigurationSource;
}

/** Daemon on the VM of one target: creates its services and owns their lifetime. */
export class Sidecar implements Disposable {
  /** Home of the target on this VM. */
  public readonly home: Home;

  /** Targets of this VM that leave, for the next process of this daemon. */
  public readonly departures: DepartureRecorder;

  /** Metrics of this daemon. */
  public readonly metrics: SidecarMetrics;

  private readonly disposables = new DisposableStore();

  private readonly traffic: TrafficState;

  private readonly directory: FleetDirectory;

  /** Reads of the store, through another daemon of this data centre if possible. */
  private readonly relayed: RelayedStore;

  private readonly crashGuard: CrashGuard;

  private readonly registration: Registration;

  private readonly configuration: ConfigurationFollower;

  private readonly fleetWatcher: PrefixWatcher;

  private readonly homeServer: HomeServer;

  private readonly dispatcher: Dispatcher;

  private readonly callerServer: CallerServer;

  private readonly reachability: ReachabilityMonitor;

  private readonly peers: PeerHttpClient;

  private readonly incarnation: Incarnation;

  private record: DaemonRecord;

  private isStopping = false;

  private hasFleetSnapshot = false;

  /** Epoch of the last snapshot of the fleet. */
  private fleetEpoch = firstEpoch;

  /** Epoch that the store or a relay named last. */
  private epoch: StoreEpoch | undefined;

  /** Number of times that the store came back from an older copy while this process ran. */
  private restores = 0;

  public constructor(
    private settings: SidecarSettings,
    private readonly environment: SidecarEnvironment,
  ) {
    const { clock, random, log, names, store } = environment;
    this.incarnation = createIncarnation(clock.now(), random() * randomRange);
    this.traffic = new TrafficState(log);
    this.directory = new FleetDirectory(clock, log);
    this.home = this.disposables.add(
      new Home({
        address: settings.target,
        service: settings.service,
        names,
        clock,
        log,
        retryLimits: () => this.retryLimits(),
        countTargets: () => this.directory.countTargets(settings.service),
        mayExclude: (odds) => this.directory.mayExclude(settings.service, odds),
        checkStart: (request) => this.crashGuard.checkStart(request),
      }),
    );
    this.departures = this.disposables.add(
      new DepartureRecorder({ store, prefix: departurePrefix, daemon: settings.id, clock, log }),
    );
    this.record = this.createRecord(0);
    this.registration = this.disposables.add(
      new Registration({
        store,
        key: `${daemonPrefix}${settings.id}`,
        leaseSeconds,
        clock,
        random,
        log,
      }),
    );
    this.relayed = this.createRelayedStore();
    this.configuration = this.disposables.add(
      new ConfigurationFollower({
        source: environment.configuration,
        watcher: this.createWatcher(environment.configuration.key, 0, 0),
        relayed: this.relayed,
        traffic: this.traffic,
        clock,
        log,
      }),
    );
    this.fleetWatcher = this.createWatcher(fleetPrefix, fleetBatchDelay, earlyFleetBatchDelay);
    this.crashGuard = this.disposables.add(
      new CrashGuard({
        store: new SharedWatchStore(store, this.fleetWatcher, () =>
          this.relayed.known(fleetPrefix),
        ),
        clock,
        random,
        log,
        prefix: quarantinePrefix,
        limits: quarantineLimits,
        home: this.home,
        isDown: async () => !(await canConnect(settings.target)),
      }),
    );
    const onVersion = (version: number, holder: DaemonId | undefined): void =>
      this.configuration.refreshIfOlder(version, holder);
    const onConditions = (reports: readonly ConditionReport[]): void => {
      this.home.adoptLimits(reports);
      this.directory.mergeConditions(reports);
    };
    const conditions = (): readonly ConditionReport[] => this.collectConditions();
    const codecs = new PeerCodecs(names.requestId);
    this.reachability = this.disposables.add(
      new ReachabilityMonitor({
        clock,
        log,
        daemons: this.directory,
        probe: ({ address, region }) =>
          probeDaemon(address, responseTimeout(region === settings.region), clock),
      }),
    );
    this.peers = this.disposables.add(
      new PeerHttpClient({
        id: settings.id,
        region: settings.region,
        dataCentre: settings.dataCentre,
        codecs,
        clock,
        log,
        monitor: this.reachability,
        onVersion,
        conditions,
        onConditions,
        onRecord: (record) => this.directory.putFromDaemon(record),
      }),
    );
    this.homeServer = this.disposables.add(
      new HomeServer({
        clock,
        home: this.home,
        codecs,
        relay: this.createRelayHandler(),
        version: () => this.traffic.version,
        record: () => this.record,
        conditions,
        onConditions,
        onVersion,
        log,
      }),
    );
    this.metrics = new SidecarMetrics(() => this.gauges());
    this.dispatcher = this.createDispatcher();
    this.callerServer = this.disposables.add(this.createCallerServer());
    this.subscribe();
  }

  /** Whether this daemon accepts requests: it knows the configuration and the fleet and is not stopping. */
  public get isReady(): boolean {
    return !this.isStopping && this.traffic.isKnown && this.hasFleetSnapshot;
  }

  /** Opens the sockets; throws if an address cannot be bound. */
  public async start(): Promise<void> {
    const { settings } = this;
    await this.homeServer.listen(settings.peer);
    await this.callerServer.listen(settings.callers);
    this.fleetWatcher.start();
    this.startConfiguration();
    this.crashGuard.start();
    this.publish();
    this.schedulePrune();
    this.logLifecycle('serving');
  }

  /** Applies changed settings. Those that need a restart, such as listen addresses, are only logged. */
  public reload(settings: SidecarSettings): void {
    const { retryRatio, retrySlack, retryWindow, grace } = settings;
    const before = JSON.stringify(this.settings);
    this.settings = { ...this.settings, retryRatio, retrySlack, retryWindow, grace };
    const fields = { step: 'settings.reload', retryRatio, retrySlack, retryWindow, grace };
    const hasChanged = before !== JSON.stringify(this.settings);
    const isFullyApplied = JSON.stringify(settings) === JSON.stringify(this.settings);
    this.environment.log.write({
      level: isFullyApplied ? 'info' : 'warn',
      kind: 'lifecycle',
      message: isFullyApplied
        ? 'reloaded the settings'
        : 'some changed settings take effect only after a restart',
      fields: { ...fields, changed: hasChanged },
    });
  }

  /** Graceful shutdown: waits until callers and other daemons stop sending and requests in flight are complete. */
  public async stop(): Promise<void> {
    const { clock } = this.environment;
    const begun = clock.elapsed();
    const { acceptUntil, respondBy, closeBy } = createStopSchedule(this.settings.grace);
    this.isStopping = true;
    this.logLifecycle('stopping', this.loads());
    this.callerServer.disableKeepAlive();
    this.dispatcher.endBy(begun + respondBy);
    this.publish();
    this.home.drain();
    await this.sleep(acceptUntil);
    this.callerServer.drain();
    while (clock.elapsed() < begun + closeBy && this.load > 0) await this.sleep(drainPollInterval);
    await Promise.race([this.registration.withdraw(), this.sleep(withdrawTimeout)]);
    this.logLifecycle('stopped', this.loads());
    this.dispose();
  }

  public dispose(): void {
    this.disposables.dispose();
  }

  private sleep(delay: number): Promise<void> {
    return new Promise((resolve) => {
      this.environment.clock.after(delay, resolve);
    });
  }

  private createRelayedStore(): RelayedStore {
    const { clock, log, store } = this.environment;
    const { settings, directory } = this;
    const relays = new RelayHttpClient((daemon) => directory.recordOf(daemon)?.address);
    this.disposables.add(relays);
    return this.disposables.add(
      new RelayedStore({
        self: settings.id,
        maxStaleness: (prefix) =>
          prefix === this.environment.configuration.key ? configurationStaleness : fleetStaleness,
        store,
        relays,
        candidates: () => directory.relaysOf(settings.dataCentre, newestRelayVersion),
        clock,
        log,
      }),
    );
  }

  private createRelayHandler(): RelayHttpServer['handle'] {
    const { clock, log } = this.environment;
    const mirror = (prefix: string, isFollowed: boolean): StoreMirror | undefined =>
      this.isStopping ? undefined : this.relayed.mirrorForFollower(prefix, isFollowed);
    const server = new RelayHttpServer({ mirror, clock, log, encode: encodeChanges });
    return (request, response) => server.handle(request, response);
  }

  private createWatcher(
    prefix: string,
    batchDelay: number,
    earlyBatchDelay: number,
  ): PrefixWatcher {
    const { clock, random, log } = this.environment;
    return this.disposables.add(
      new PrefixWatcher({
        store: this.relayed,
        prefix,
        pollTimeout,
        batchDelay,
        earlyBatchDelay,
        clock,
        random,
        log,
      }),
    );
  }

  private createDispatcher(): Dispatcher {
    const { clock, random, log } = this.environment;
    const { settings, directory, traffic } = this;
    const routeStatistics = new RouteStatistics();
    traffic.onChange(({ routes }) =>
      routeStatistics.retain(new Set(routes.map(({ name }) => name))),
    );
    return new Dispatcher({
      clock,
      directory,
      placement: new Placement(settings, settings.locality, random),
      statistics: routeStatistics,
      send: (candidate, attempt, signal) => this.send(candidate, attempt, signal),
      version: () => traffic.version,
      log,
    });
  }

  private createCallerServer(): CallerServer {
    const { clock, random, log, names } = this.environment;
    const { settings, traffic, dispatcher } = this;
    return new CallerServer({
      names,
      service: settings.service,
      traffic,
      dispatcher,
      clock,
      random,
      log,
      onEnd: (end) => this.metrics.record(end),
    });
  }

  /** Starts after the first snapshot of the fleet, which tells the daemons from which the configuration can be read. */
  private startConfiguration(): void {
    const disposables = this.disposables.add(new DisposableStore());
    const start = (): void => {
      disposables.dispose();
      this.configuration.start();
    };
    disposables.add(this.fleetWatcher.onSnapshot(start));
    disposables.add(this.environment.clock.after(maxFleetWait, start));
  }

  private retryLimits(): FleetRetryLimits {
    const { retryRatio: ratio, retrySlack: slack, retryWindow } = this.settings;
    return { ratio, slack, window: Math.ceil(retryWindow / millisecondsPerSecond) };
  }

  private subscribe(): void {
    this.disposables.add(this.environment.store.onEpoch((epoch) => this.observeEpoch(epoch)));
    this.relayed.onEpoch((epoch) => this.observeEpoch(epoch));
    this.fleetWatcher.onSnapshot((snapshot) => this.replaceFleet(snapshot));
    this.fleetWatcher.onChanges((changes) => {
      changes.forEach((change) => this.changeFleet(change));
    });
    this.home.onChange(() => this.publish());
    this.home.onDeparture((departure) => this.departures.record(departure));
  }

  private replaceFleet(snapshot: StoreSnapshot): void {
    const { entries, epoch } = snapshot;
    this.home.restoreDepartures(this.departures.read(entries));
    const records = entries
      .filter(({ key }) => key.startsWith(daemonPrefix))
      .flatMap((entry) => this.readRecord(entry) ?? []);
    if (this.hasFleetSnapshot && epoch > this.fleetEpoch) {
      this.directory.replaceAllRestored(records);
    } else {
      this.directory.replaceAll(records);
    }
    this.hasFleetSnapshot = true;
    this.fleetEpoch = epoch;
    this.checkOwnRecord(
      records.find(({ daemon }) => daemon === this.settings.id),
      positionOf(snapshot),
    );
  }

  /** Handles a response of the store, direct or relayed, that names its epoch. */
  private observeEpoch(epoch: StoreEpoch): void {
    const before = this.epoch;
    if (before !== undefined && epoch <= before) return;
    this.epoch = epoch;
    this.registration.observeEpoch(epoch);
    if (before === undefined) return;
    this.restores += 1;
    this.crashGuard.rewrite();
  }

  private changeFleet({ type, entry }: StoreChange): void {
    if (type === 'put') this.home.restoreDepartures(this.departures.read([entry]));
    if (!entry.key.startsWith(daemonPrefix)) return;
    const daemon = brandAs<DaemonId>(entry.key.slice(daemonPrefix.length));
    const record = type === 'put' ? this.readRecord(entry) : undefined;
    if (record !== undefined) this.directory.put(record);
    else if (type === 'delete') this.directory.markUnlisted(daemon);
    if (daemon === this.settings.id) {
      this.checkOwnRecord(record, { epoch: this.fleetEpoch, revision: entry.modRevision });
    }
  }

  /** Rewrites the record of this daemon if the store lost it; `position` is that of the store when it was read. */
  private checkOwnRecord(record: DaemonRecord | undefined, position: StorePosition): void {
    if (record?.incarnation !== this.incarnation) this.registration.markLost(position);
  }

  private readRecord(entry: StoreEntry): DaemonRecord | undefined {
    const record = decodeRecord(
      new TextDecoder().decode(entry.value),
      entry.key.slice(daemonPrefix.length),
    );
    if (record === undefined) {
      this.environment.log.write({
        level: 'warn',
        kind: 'membership',
        message: 'ignored a store entry that is not a valid daemon record',
        fields: { step: 'fleet.decode', key: entry.key, revision: entry.modRevision },
      });
    }
    return record;
  }

  private publish(): void {
    this.record = this.createRecord(this.record.serial + 1);
    // The local target is known without reading the store.
    this.directory.put(this.record);
    this.registration.publish(encodeRecord(this.record));
  }

  private createRecord(serial: number): DaemonRecord {
    const { id, advertised, region, dataCentre } = this.settings;
    return {
      daemon: id,
      incarnation: this.incarnation,
      serial,
      address: advertised,
      region,
      dataCentre,
      state: this.isStopping ? 'leaving' : 'serving',
      encoding: newestPeerEncoding,
      relayVersion: newestRelayVersion,
      targets: this.home.publishedTargets,
    };
  }

  private schedulePrune(): void {
    this.disposables.add(
      this.environment.clock.after(pruneInterval, () => {
        if (this.fleetWatcher.isConnected) this.directory.prune();
        this.schedulePrune();
      }),
    );
  }

  /** Recent target conditions for other daemons, including that of the local target. */
  private collectConditions(): readonly ConditionReport[] {
    this.home.conditions.forEach(([target, condition]) => {
      this.directory.recordCondition(target, condition);
    });
    return this.directory.recentConditions;
  }

  private async send(
    candidate: Candidate,
    attempt: AttemptRequest,
    signal: AbortSignal,
  ): Promise<TargetAnswer> {
    const answer = await (candidate.daemon === this.settings.id
      ? this.runLocally(candidate, attempt, signal)
      : this.peers.send(candidate, attempt, signal));
    if (isFromLeavingTarget(answer.headers, this.environment.names)) {
      this.directory.markLeaving(candidate.target, candidate.incarnation);
    }
    return answer;
  }

  private async runLocally(
    candidate: Candidate,
    attempt: AttemptRequest,
    signal: AbortSignal,
  ): Promise<TargetAnswer> {
    const { call } = attempt;
    this.directory.markReachable(this.settings.id);
    const receiveBody = (): Promise<Buffer> => {
      attempt.onStart();
      return Promise.resolve(call.body);
    };
    const { method, path, headers } = call;
    const metadata = createRequestMetadata(candidate, attempt, this.settings.id);
    const forwardedHeaders = headers.filter(([name]) => name.toLowerCase() !== 'content-length');
    const answer = await this.home.run(
      { ...metadata, method, path, headers: forwardedHeaders },
      receiveBody,
      signal,
    );
    return { ...answer, body: await bufferSmallBody(answer.body, () => true) };
  }

  private gauges(): Readonly<Record<string, number>> {
    const { rateLimit } = this.home;
    return {
      ready: this.isReady ? 1 : 0,
      configuration_version: this.traffic.version,
      configuration_delay_milliseconds: this.configuration.delay,
      configuration_age_milliseconds: Math.round(this.configuration.age),
      known_daemons: this.directory.size,
      unreachable_daemons: this.reachability.excludedCount,
      lost_peer_connections: this.peers.lostConnections,
      callers_in_flight: this.callerServer.load,
      home_in_flight: this.home.load,
      target_idle_milliseconds: Math.round(this.home.idleTime ?? 0),
      ...(rateLimit === undefined ? {} : { target_rate_limit: rateLimit }),
      store_in_touch: this.fleetWatcher.isConnected ? 1 : 0,
      store_epoch: this.epoch ?? 0,
      store_restores: this.restores,
      registered: this.registration.isWritten ? 1 : 0,
    };
  }

  /** Requests in flight of callers and of other daemons. */
  private get load(): number {
    return this.callerServer.load + this.homeServer.load;
  }

  /** The same as fields of a log line. */
  private loads(): Readonly<Record<string, number>> {
    return { callersInFlight: this.callerServer.load, peersInFlight: this.homeServer.load };
  }

  private logLifecycle(message: string, more: Readonly<Record<string, number>> = {}): void {
    const { id, service, dataCentre, callers, peer } = this.settings;
    this.environment.log.write({
      level: 'info',
      kind: 'lifecycle',
      message,
      fields: {
        step: 'lifecycle',
        daemon: id,
        incarnation: this.incarnation,
        service,
        dataCentre,
        callers,
        peer,
        ...more,
      },
    });
  }
}
