import type { Clock, DaemonId, Disposable } from '../base/index.js';
import type { ReachabilityMonitor } from './ReachabilityMonitor.js';

/** Milliseconds within which a daemon of this region must send its first byte on an open connection. */
const sameRegionTimeout = 450;
/** Additional milliseconds for a daemon of the other region: two round trips. */
const crossRegionAllowance = 250;
/** Share of the timeout after which the daemon is checked on a new connection, so that its result is known in time. */
const checkShare = 1 / 3;

/** Why an exchange without a response ends. */
export type SilenceReason =
  /** The daemon responds on a new connection. */
  | 'connection-lost'
  /** The daemon responds on no connection. */
  | 'daemon-unreachable'
  /** No response came within the timeout, whatever a check has shown. */
  | 'timeout';

/** Milliseconds until the first byte of a daemon's response is due. */
export function responseTimeout(isSameRegion: boolean): number {
  return sameRegionTimeout + (isSameRegion ? 0 : crossRegionAllowance);
}

/** Settings and dependencies of `ResponseWatch`. */
export interface ResponseWatchSettings {
  readonly clock: Clock;
  readonly monitor: Pick<ReachabilityMonitor, 'check' | 'recordSilence'>;
  readonly daemon: DaemonId;
  /** Milliseconds until the first byte is due. */
  readonly timeout: number;
  /** Whether the connection was opened for this exchange. */
  readonly isNewConnection: () => boolean;
  /** Called at most once for each reason until the watch is disposed. */
  readonly onSilence: (reason: SilenceReason) => void;
}

/** Waits for the first byte of a response, and distinguishes a lost connection from an unreachable daemon. */
export class ResponseWatch implements Disposable {
  private readonly startedAt: number;

  private readonly timers: readonly Disposable[];

  private isEnded = false;

  public constructor(private readonly settings: ResponseWatchSettings) {
    const { clock, timeout } = settings;
    this.startedAt = clock.elapsed();
    this.timers = [
      clock.after(timeout * checkShare, () => {
        void this.checkDaemon();
      }),
      clock.after(timeout, () => this.timeOut()),
    ];
  }

  /** Ends the watch when a byte of the response arrives or the exchange ends. */
  public dispose(): void {
    this.isEnded = true;
    this.timers.forEach((timer) => timer.dispose());
  }

  private async checkDaemon(): Promise<void> {
    const { monitor, daemon, onSilence } = this.settings;
    const isReachable = await monitor.check(daemon);
    if (!this.isEnded) onSilence(isReachable ? 'connection-lost' : 'daemon-unreachable');
  }

  private timeOut(): void {
    const { monitor, daemon, isNewConnection, onSilence } = this.settings;
    const { startedAt } = this;
    monitor.recordSilence({ daemon, startedAt, isNewConnection: isNewConnection() });
    onSilence('timeout');
  }
}
