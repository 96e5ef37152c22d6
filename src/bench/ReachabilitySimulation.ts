import {
  brandAs,
  createRandom,
  VirtualClock,
  type DaemonId,
  type DataCentre,
  type Disposable,
  type Incarnation,
  type RandomSource,
  type Region,
  type ServiceName,
  type TargetId,
} from '../api/index.js';
import { FleetDirectory } from '../common/fleet/FleetDirectory.js';
import { ReachabilityMonitor } from '../common/fleet/ReachabilityMonitor.js';
import { responseTimeout, ResponseWatch } from '../common/fleet/ResponseWatch.js';

const service = brandAs<ServiceName>('pedidos');
/** Daemons of the service; the first one has the fault. */
const daemonCount = 3;
const roundTrip = 40;
/** Milliseconds from the first byte of a response to its end. */
const work = 200;
/** Requests per second. */
const rate = 36;
const timeout = responseTimeout(false);
/** Exponential backoff of the policy that counts each failed exchange, in milliseconds. */
const minBackoff = 500;
const maxBackoff = 4_000;
const step = 10;

/** What happens to the first daemon; times are in milliseconds. */
export interface ReachabilityFault {
  readonly name: string;
  /** Times at which its open connections go silent. */
  readonly lostAt: readonly number[];
  /** Time in which it gives no response, refuses connections, or responds to checks only. */
  readonly outage?: {
    readonly from: number;
    readonly to: number;
    readonly kind: 'silent' | 'refuses' | 'answers-checks';
  };
}

/** How an entry decides that a daemon is unreachable: by checks on new connections, or by each failed exchange. */
export type ReachabilityPolicy = 'checks' | 'backoff';

/** Figures of one run. */
export interface ReachabilityResult {
  /** Milliseconds in which the first daemon was sound but not used. */
  readonly unused: number;
  /** Requests that got no response of a daemon to which they were sent, and the milliseconds that they waited. */
  readonly failed: number;
  readonly waited: number;
}

interface Connection {
  readonly openedAt: number;
  idleSince: number;
}

/** One entry that sends requests to three daemons, one of which has a fault, on a virtual clock. */
export class ReachabilitySimulation {
  private readonly clock = new VirtualClock();

  private readonly random: RandomSource;

  private readonly directory: FleetDirectory;

  private readonly monitor: ReachabilityMonitor;

  private readonly idle = new Map<DaemonId, Connection[]>();

  private readonly failures = new Map<DaemonId, { count: number; until: number }>();

  private unused = 0;

  private failed = 0;

  private waited = 0;

  public constructor(
    private readonly policy: ReachabilityPolicy,
    private readonly fault: ReachabilityFault,
    seed: number,
  ) {
    this.random = createRandom(seed);
    const log = { write: () => {} };
    this.directory = new FleetDirectory(this.clock, log);
    this.monitor = new ReachabilityMonitor({
      clock: this.clock,
      log,
      daemons: this.directory,
      probe: ({ daemon }) => this.probe(daemon),
    });
    for (let index = 0; index < daemonCount; index += 1) {
      this.directory.put({
        daemon: brandAs<DaemonId>(`d-${index}`),
        incarnation: brandAs<Incarnation>('1'),
        serial: 1,
        address: `d-${index}`,
        region: brandAs<Region>('guanacaste'),
        dataCentre: brandAs<DataCentre>('gte-a'),
        state: 'serving',
        targets: [
          {
            id: brandAs<TargetId>(`t-${index}`),
            incarnation: brandAs<Incarnation>('1'),
            service,
            slots: 3,
            state: 'ready',
          },
        ],
      });
    }
  }

  /** Sends requests for `duration` milliseconds. */
  public async run(duration: number): Promise<ReachabilityResult> {
    this.scheduleRequest(duration);
    const { outage } = this.fault;
    for (let time = 0; time < duration; time += step) {
      await this.clock.advanceAsync(step);
      const isSound = outage === undefined || time < outage.from || time >= outage.to;
      if (isSound && !this.candidates().includes(brandAs<DaemonId>('d-0'))) this.unused += step;
    }
    this.monitor.dispose();
    const { unused, failed, waited } = this;
    return { unused, failed, waited };
  }

  private candidates(): DaemonId[] {
    const now = this.clock.elapsed();
    return this.directory
      .candidates(service)
      .map(({ daemon }) => daemon)
      .filter((daemon) => (this.failures.get(daemon)?.until ?? 0) <= now);
  }

  private scheduleRequest(end: number): void {
    const interval = (-Math.log(1 - this.random()) * 1_000) / rate;
    this.clock.after(interval, () => {
      if (this.clock.elapsed() >= end) return;
      const candidates = this.candidates();
      const daemon = candidates[Math.floor(this.random() * candidates.length)];
      if (daemon !== undefined) this.exchange(daemon, false);
      this.scheduleRequest(end);
    });
  }

  private hasFault(daemon: DaemonId, kind: string): boolean {
    const { outage } = this.fault;
    const now = this.clock.elapsed();
    if (daemon !== 'd-0' || outage === undefined) return false;
    return outage.kind === kind && now >= outage.from && now < outage.to;
  }

  private responds(daemon: DaemonId, { openedAt }: Connection): boolean {
    if (this.hasFault(daemon, 'silent') || this.hasFault(daemon, 'answers-checks')) return false;
    const now = this.clock.elapsed();
    return (
      daemon !== 'd-0' || !this.fault.lostAt.some((lostAt) => openedAt < lostAt && lostAt <= now)
    );
  }

  private probe(daemon: DaemonId): Promise<void> {
    return new Promise((resolve, reject) => {
      const isSilent = this.hasFault(daemon, 'silent');
      const isRefused = this.hasFault(daemon, 'refuses');
      this.clock.after(isSilent ? timeout : 2 * roundTrip, () => {
        if (isSilent || isRefused) reject(new Error('no response'));
        else resolve();
      });
    });
  }

  private exchange(daemon: DaemonId, isResent: boolean): void {
    const { clock, monitor } = this;
    const startedAt = clock.elapsed();
    const pool = this.idle.get(daemon) ?? [];
    this.idle.set(daemon, pool);
    const known = pool.pop();
    const connection = known ?? { openedAt: startedAt, idleSince: startedAt };
    if (known === undefined && this.hasFault(daemon, 'refuses')) {
      this.fail(daemon, startedAt);
      if (this.policy === 'checks') monitor.recordConnectFailure(daemon, 'ECONNREFUSED');
      return;
    }
    let watch: Disposable | undefined;
    if (this.responds(daemon, connection)) {
      clock.after(roundTrip, () => {
        watch?.dispose();
        this.failures.delete(daemon);
        if (this.policy === 'checks') monitor.recordResponse(daemon, startedAt);
        clock.after(work, () =>
          pool.push(Object.assign(connection, { idleSince: clock.elapsed() })),
        );
      });
    }
    if (this.policy === 'backoff') {
      watch = clock.after(timeout, () => this.fail(daemon, startedAt));
      return;
    }
    const isNewConnection = known === undefined;
    watch = new ResponseWatch({
      clock,
      monitor,
      daemon,
      timeout,
      isNewConnection: () => isNewConnection,
      onSilence: (reason) => {
        watch?.dispose();
        this.idle.set(
          daemon,
          (this.idle.get(daemon) ?? []).filter(({ idleSince }) => idleSince >= startedAt),
        );
        if (reason === 'connection-lost') {
          monitor.recordLostConnection({ daemon, startedAt, isNewConnection });
          if (!isResent) {
            this.exchange(daemon, true);
            return;
          }
        }
        this.fail(daemon, startedAt);
      },
    });
  }

  private fail(daemon: DaemonId, startedAt: number): void {
    const now = this.clock.elapsed();
    this.failed += 1;
    this.waited += now - startedAt;
    if (this.policy === 'checks') return;
    const count = (this.failures.get(daemon)?.count ?? 0) + 1;
    const backoff = Math.min(maxBackoff, minBackoff * 2 ** (count - 1));
    this.failures.set(daemon, { count, until: now + backoff });
  }
}
