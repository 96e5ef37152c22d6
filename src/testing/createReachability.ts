import type { Clock, LogSink } from '../api/index.js';
import { FleetDirectory } from '../common/fleet/FleetDirectory.js';
import {
  ReachabilityMonitor,
  type ReachabilityProbe,
} from '../common/fleet/ReachabilityMonitor.js';
import { responseTimeout } from '../common/fleet/ResponseWatch.js';
import type { DaemonRecord } from '../common/fleet/Types.js';
import { probeDaemon } from '../sidecar/peer/probeDaemon.js';

/** A directory of these daemons and the monitor of their reachability, which probes them over HTTP by default. */
export function createReachability(
  clock: Clock,
  log: LogSink,
  records: readonly DaemonRecord[],
  probe: ReachabilityProbe = ({ address }) => probeDaemon(address, responseTimeout(true), clock),
): { readonly directory: FleetDirectory; readonly monitor: ReachabilityMonitor } {
  const directory = new FleetDirectory(clock, log);
  records.forEach((record) => directory.put(record));
  return { directory, monitor: new ReachabilityMonitor({ clock, log, daemons: directory, probe }) };
}
