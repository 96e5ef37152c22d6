import type { Clock, DaemonId, Disposable, Incarnation, LogSink } from '../base/index.js';
import type { DaemonRecord } from './Types.js';

/** Exponential backoff of the checks of an unreachable daemon, in milliseconds. */
const minCheckInterval = 500;
const maxCheckInterval = 2_000;
/** Exponential backoff of a daemon that answers checks but no requests, in milliseconds. */
const minExclusion = 500;
const maxExclusion = 4_000;
/** Requests without a response, each on a new connection after a successful check, until a daemon is excluded. */
const maxUnexplained = 2;

/** Requests a response of a daemon on a new connection. Rejects with the reason if there is none in time. */
export type ReachabilityProbe = (daemon: DaemonRecord) => Promise<void>;

/** Daemons whose reachability is monitored. */
export interface MonitoredDaemons {
  /** Latest record of a daemon; undefined if it is unknown. */
  recordOf(daemon: DaemonId): DaemonRecord | undefined;
  markReachable(daemon: DaemonId): void;
  /** The daemon is not used until `markReachable`. */
  markUnreachable(daemon: DaemonId, reason: string): void;
}

/** Dependencies of `ReachabilityMonitor`. */
export interface ReachabilityMonitorSettings {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly daemons: MonitoredDaemons;
  readonly probe: ReachabilityProbe;
}

/** An exchange without a response. */
export interface SilentExchange {
  readonly daemon: DaemonId;
  /** Time at which it began. */
  readonly startedAt: number;
  /** Its connection was opened for it. */
  readonly isNewConnection: boolean;
}

/** A check in progress; several exchanges can wait for its result. */
interface Check {
  readonly result: Promise<boolean>;
  settle(isReachable: boolean): void;
}

/** What is known of a daemon that gave no response lately. */
interface PeerState {
  readonly incarnation: Incarnation;
  check: Check | undefined;
  isProbing: boolean;
  isExcluded: boolean;
  /** Checks in a row without a response. */
  failedChecks: number;
  /** Start of the last check or exchange with a response. Silence of earlier exchanges is a fault of their connections. */
  checkedAt: number;
  /** Time of the last response to an exchange. */
  respondedAt: number;
  /** Exchanges on new connections without a response since the last response to an exchange. */
  unexplained: number;
  /** Exchanges that began before this time belong to failures that are already counted. */
  countedUntil: number;
  timer: Disposable | undefined;
}

/**
 * Decides whether other daemons are reachable. An exchange without a response may only show that its connection was lost,
 * so a daemon counts as unreachable only if it gives no response on a new connection either. It is then checked until it
 * responds, without sending requests to it. All failures during one check or exclusion count as one.
 */
export class ReachabilityMonitor implements Disposable {
  private readonly states = new Map<DaemonId, PeerState>();

  private isDisposed = false;

  public constructor(private readonly settings: ReachabilityMonitorSettings) {}

  /** Number of daemons that are not used. */
  public get excludedCount(): number {
    return [...this.states.values()].filter(({ isExcluded }) => isExcluded).length;
  }

  /** Checks whether a daemon responds on a new connection; joins the check in progress. */
  public check(daemon: DaemonId): Promise<boolean> {
    const state = this.openState(daemon);
    if (state === undefined || state.isExcluded) return Promise.resolve(false);
    state.check ??= this.startCheck(daemon, state);
    return state.check.result;
  }

  /** Records a response to an exchange that began at a time. */
  public recordResponse(daemon: DaemonId, startedAt: number): void {
    const state = this.states.get(daemon);
    if (state !== undefined) {
      state.isExcluded = false;
      state.timer?.dispose();
      state.failedChecks = 0;
      state.unexplained = 0;
      state.respondedAt = this.settings.clock.elapsed();
      state.checkedAt = Math.max(state.checkedAt, startedAt);
      this.settle(state, true);
    }
    this.settings.daemons.markReachable(daemon);
  }

  /** Records that no connection to a daemon could be opened. */
  public recordConnectFailure(daemon: DaemonId, reason: string): void {
    const state = this.openState(daemon);
    if (state === undefined || state.isExcluded) return;
    this.exclude(daemon, state, reason);
    state.failedChecks = 1;
    this.scheduleCheck(daemon, state, minCheckInterval);
  }

  /** Records that an exchange got no response in time. */
  public recordSilence(exchange: SilentExchange): void {
    const { daemon, startedAt } = exchange;
    const state = this.openState(daemon);
    if (state === undefined || state.isExcluded) return;
    if (state.checkedAt >= startedAt) this.recordLostConnection(exchange);
    // The check goes on and ends the exclusion if it succeeds.
    else if (state.check !== undefined)
      this.exclude(daemon, state, 'no response on any connection');
    else void this.check(daemon);
  }

  /** Records that an exchange got no response although the daemon has responded since it began. */
  public recordLostConnection({ daemon, startedAt, isNewConnection }: SilentExchange): void {
    const state = this.openState(daemon);
    if (state === undefined || state.isExcluded) return;
    if (!isNewConnection || startedAt < state.countedUntil) return;
    state.unexplained += 1;
    state.countedUntil = this.settings.clock.elapsed();
    if (state.unexplained < maxUnexplained) return;
    this.exclude(daemon, state, 'responds to checks but not to requests');
    const exclusion = minExclusion * 2 ** (state.unexplained - maxUnexplained);
    this.scheduleCheck(daemon, state, Math.min(maxExclusion, exclusion));
  }

  public dispose(): void {
    this.isDisposed = true;
    this.states.forEach(({ timer, check }) => {
      timer?.dispose();
      check?.settle(false);
    });
    this.states.clear();
  }

  /** State of a daemon; that of an earlier incarnation is dropped. Undefined if the daemon is unknown. */
  private openState(daemon: DaemonId): PeerState | undefined {
    const record = this.settings.daemons.recordOf(daemon);
    const known = this.states.get(daemon);
    if (record === undefined || this.isDisposed) {
      if (known !== undefined) this.closeState(daemon, known);
      return undefined;
    }
    if (known?.incarnation === record.incarnation) return known;
    if (known !== undefined) this.closeState(daemon, known);
    else this.dropUnknown();
    const state: PeerState = {
      incarnation: record.incarnation,
      check: undefined,
      isProbing: false,
      isExcluded: false,
      failedChecks: 0,
      checkedAt: -Infinity,
      respondedAt: -Infinity,
      unexplained: 0,
      countedUntil: -Infinity,
      timer: undefined,
    };
    this.states.set(daemon, state);
    return state;
  }

  private closeState(daemon: DaemonId, state: PeerState): void {
    state.timer?.dispose();
    if (this.states.get(daemon) === state) this.states.delete(daemon);
  }

  /** Bounds the states by the number of daemons. */
  private dropUnknown(): void {
    this.states.forEach((state, daemon) => {
      if (this.settings.daemons.recordOf(daemon) === undefined) this.closeState(daemon, state);
    });
  }

  private isCurrent(daemon: DaemonId, state: PeerState): boolean {
    const record = this.settings.daemons.recordOf(daemon);
    return this.states.get(daemon) === state && record?.incarnation === state.incarnation;
  }

  private startCheck(daemon: DaemonId, state: PeerState): Check {
    let settle: Check['settle'] = () => {};
    const result = new Promise<boolean>((resolve) => {
      settle = resolve;
    });
    void this.probe(daemon, state);
    return { result, settle };
  }

  private async probe(daemon: DaemonId, known: PeerState): Promise<void> {
    const state = known;
    const record = this.settings.daemons.recordOf(daemon);
    // A probe in progress tells the result.
    if (record === undefined || state.isProbing) return;
    const startedAt = this.settings.clock.elapsed();
    state.isProbing = true;
    let failure: string | undefined;
    try {
      await this.settings.probe(record);
    } catch (error) {
      failure = error instanceof Error ? error.message : String(error);
    }
    state.isProbing = false;
    if (!this.isCurrent(daemon, state)) {
      state.check?.settle(false);
      this.closeState(daemon, state);
    } else if (failure === undefined) this.endCheck(daemon, state, startedAt);
    else if (state.isExcluded || state.respondedAt < startedAt) {
      this.failCheck(daemon, state, failure);
    }
    // A response that arrived during the check outweighs its failure.
    else if (state.check !== undefined) void this.probe(daemon, state);
  }

  private endCheck(daemon: DaemonId, known: PeerState, startedAt: number): void {
    const state = known;
    state.checkedAt = Math.max(state.checkedAt, startedAt);
    state.failedChecks = 0;
    if (state.isExcluded) {
      state.isExcluded = false;
      state.countedUntil = this.settings.clock.elapsed();
    }
    this.settle(state, true);
    this.settings.daemons.markReachable(daemon);
  }

  private settle(known: PeerState, isReachable: boolean): void {
    const state = known;
    state.check?.settle(isReachable);
    state.check = undefined;
  }

  private failCheck(daemon: DaemonId, known: PeerState, reason: string): void {
    const state = known;
    if (!state.isExcluded) this.exclude(daemon, state, reason);
    state.failedChecks += 1;
    const interval = Math.min(maxCheckInterval, minCheckInterval * 2 ** (state.failedChecks - 1));
    this.settings.log.write({
      level: 'info',
      kind: 'membership',
      message: 'daemon gave no response to a check',
      fields: { step: 'fleet.check', daemon, reason, failures: state.failedChecks, interval },
    });
    this.scheduleCheck(daemon, state, interval);
  }

  private exclude(daemon: DaemonId, known: PeerState, reason: string): void {
    const state = known;
    state.isExcluded = true;
    this.settle(state, false);
    this.settings.daemons.markUnreachable(daemon, reason);
  }

  private scheduleCheck(daemon: DaemonId, known: PeerState, delay: number): void {
    const state = known;
    state.timer?.dispose();
    state.timer = this.settings.clock.after(delay, () => {
      if (this.isCurrent(daemon, state)) void this.probe(daemon, state);
      else this.closeState(daemon, state);
    });
  }
}
