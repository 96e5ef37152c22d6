import type { DaemonId, DataCentre, LogLevel, Region } from '../api/index.js';

/** Settings of one daemon, read from its INI file. */
export interface DaemonSettings {
  readonly id: DaemonId;
  readonly region: Region;
  readonly dataCentre: DataCentre;
  /** `host:port` for callers. */
  readonly callers: string;
  /** `host:port` for peers. */
  readonly peer: string;
  /** `host:port` for operators and for the announcements of targets. */
  readonly admin: string;
  /** Peer addresses of daemons that are contacted first. */
  readonly peers: readonly string[];
  /** Addresses of the platform's store. */
  readonly store: readonly string[];
  readonly logSink: string;
  readonly logLevel: LogLevel;
  /** Share of routing decisions that is logged, in [0, 1]. */
  readonly routeSample: number;
  /** Milliseconds between failing readiness and stopping to accept. */
  readonly notice: number;
}
