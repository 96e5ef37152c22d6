import { readFileSync } from 'node:fs';
import type { Either } from 'fp-ts/lib/Either.js';
import { map } from 'fp-ts/lib/Either.js';
import {
  brandAs,
  type DaemonId,
  type DataCentre,
  type InvalidInputError,
  type LogLevel,
  type Region,
} from '../api/index.js';
import {
  address,
  choice,
  duration,
  list,
  name,
  required,
  SettingsReader,
  share,
  single,
  withDefault,
  type Settings,
} from '../common/settings/index.js';

/** Settings of one daemon, read from its INI file. */
export interface DaemonSettings {
  readonly id: DaemonId;
  readonly region: Region;
  readonly dataCentre: DataCentre;
  /** Listen address for callers, `host:port`. */
  readonly callers: string;
  /** Listen address for peers, `host:port`. */
  readonly peer: string;
  /** Listen address for operators and target announcements, `host:port`. */
  readonly admin: string;
  /** Peer addresses of daemons that are contacted to join the fleet. */
  readonly peers: readonly string[];
  /** Addresses of the platform's store. */
  readonly store: readonly string[];
  /** Name of the store adapter. */
  readonly storeAdapter: string;
  readonly logSink: string;
  readonly logLevel: LogLevel;
  /** Fraction of routing decisions that are logged, in [0, 1]. */
  readonly routeSample: number;
  /** Milliseconds between failing the readiness check and closing the listening socket. */
  readonly notice: number;
}

const defaultNoticeMs = 1_000;

const schema = {
  daemon: single({
    id: required(name()),
    region: required(name()),
    'data-centre': required(name()),
    notice: withDefault(duration(), defaultNoticeMs),
  }),
  listen: single({
    callers: required(address()),
    peer: required(address()),
    admin: required(address()),
  }),
  peers: single({ contacts: withDefault(list(address()), [] as readonly string[]) }),
  store: single({
    addresses: required(list(address())),
    adapter: withDefault(name(), 'etcd'),
  }),
  log: single({
    sink: withDefault(name(), 'consola'),
    level: withDefault(choice('debug', 'info', 'warn', 'error'), 'info'),
    'route-sample': withDefault(share(), 1),
  }),
};

/** Reads the content of a settings file; `file` is its name for messages. */
export function parseSettings(
  file: string,
  content: string,
): Either<InvalidInputError, DaemonSettings> {
  const settings = new SettingsReader(schema).read(file, content);
  return map(({ daemon, listen, peers, store, log }: Settings<typeof schema>) => ({
    id: brandAs<DaemonId>(daemon.id),
    region: brandAs<Region>(daemon.region),
    dataCentre: brandAs<DataCentre>(daemon['data-centre']),
    notice: daemon.notice,
    ...listen,
    peers: peers.contacts,
    store: store.addresses,
    storeAdapter: store.adapter,
    logSink: log.sink,
    logLevel: log.level,
    routeSample: log['route-sample'],
  }))(settings);
}

/** Reads a settings file; throws the error of the file system if it cannot be read. */
export function readSettings(file: string): Either<InvalidInputError, DaemonSettings> {
  return parseSettings(file, readFileSync(file, 'utf8'));
}
