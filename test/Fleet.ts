import type { LogLine, DaemonId, DataCentre, Region } from '../src/api/index.js';
import { brandAs, createRandom } from '../src/api/index.js';
import { Daemon } from '../src/daemon/Daemon.js';
import type { DaemonSettings } from '../src/daemon/Settings.js';
import { SystemClock } from '../src/node/SystemClock.js';

/** Settings of a daemon on loopback with ports that the system chooses. */
export function createSettings(id: string, extra: Partial<DaemonSettings> = {}): DaemonSettings {
  return {
    id: brandAs<DaemonId>(id),
    region: brandAs<Region>('gam'),
    dataCentre: brandAs<DataCentre>('gam-a'),
    callers: '127.0.0.1:0',
    peer: '127.0.0.1:0',
    admin: '127.0.0.1:0',
    peers: [],
    store: [],
    storeAdapter: 'etcd',
    logSink: 'none',
    logLevel: 'error',
    routeSample: 1,
    notice: 10,
    ...extra,
  };
}

/** Daemon in this process whose log lines are kept. */
export function createDaemon(settings: DaemonSettings, lines: LogLine[] = []): Daemon {
  return new Daemon(settings, {
    clock: new SystemClock(),
    sink: { write: (line) => lines.push(line) },
    random: createRandom(7),
  });
}
