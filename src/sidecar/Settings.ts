import { map, type Either } from 'fp-ts/lib/Either.js';
import {
  brandAs,
  type DaemonId,
  type DataCentre,
  type InvalidInputError,
  type LogLevel,
  type Region,
  type ServiceName,
} from '../api/index.js';
import {
  address,
  choice,
  decimal,
  duration,
  list,
  name,
  optional,
  quantity,
  required,
  SettingsReader,
  single,
  withDefault,
  type Settings,
} from '../common/settings/index.js';
import { defaultLocality, type Locality } from '../common/dispatch/Placement.js';

/** Settings of a daemon on the VM of one target. */
export interface SidecarSettings {
  readonly id: DaemonId;
  readonly region: Region;
  readonly dataCentre: DataCentre;
  /** Service of the target on this VM. */
  readonly service: ServiceName;
  /** `host:port` of the target on this VM. */
  readonly target: string;
  /** `host:port` for callers on this VM. */
  readonly callers: string;
  /** `host:port` for other daemons. */
  readonly peer: string;
  /** `host:port` at which other daemons reach `peer`; differs from it behind address translation. */
  readonly advertised: string;
  /** `host:port` of the readiness endpoint. */
  readonly readiness: string;
  /** `host:port` of the endpoint for target announcements. */
  readonly admin: string;
  /** `host:port` of the metrics endpoint. */
  readonly metrics: string;
  /** `host:port` of the platform's store. */
  readonly store: readonly string[];
  /** Retries allowed per request, over the whole fleet. */
  readonly retryRatio: number;
  /** Retries of the whole fleet that are allowed in each window regardless of the number of requests. */
  readonly retrySlack: number;
  /** Window of the retry budget in milliseconds. */
  readonly retryWindow: number;
  /** Milliseconds from the stop signal until the process ends. */
  readonly grace: number;
  /** Costs of sending requests to other data centres and regions. */
  readonly locality: Locality;
  readonly logLevel: LogLevel;
}

const defaultWindow = 10_000;
const defaultGrace = 6_000;
const defaultRatio = 0.1;

/** Ratio such as `0.2 x`. */
const ratio = () => quantity('a ratio such as 0.2 x', { x: 1 });

const schema = {
  daemon: single({
    id: required(name()),
    region: required(name()),
    'data-centre': required(name()),
    grace: withDefault(duration(), defaultGrace),
  }),
  target: single({ service: required(name()), address: required(address()) }),
  listen: single({
    callers: required(address()),
    peer: required(address()),
    advertised: optional(address()),
    readiness: required(address()),
    admin: required(address()),
    metrics: required(address()),
  }),
  store: single({ addresses: required(list(address())) }),
  retries: single({
    ratio: withDefault(ratio(), defaultRatio),
    slack: withDefault(decimal(), 0),
    window: withDefault(duration(), defaultWindow),
  }),
  locality: single({
    'data-centre-cost': withDefault(duration(), defaultLocality.dataCentre.fixed),
    'data-centre-cost-per-kilobyte': withDefault(
      duration(),
      defaultLocality.dataCentre.perKilobyte,
    ),
    'region-cost': withDefault(duration(), defaultLocality.region.fixed),
    'region-cost-per-kilobyte': withDefault(duration(), defaultLocality.region.perKilobyte),
  }),
  log: single({ level: withDefault(choice('debug', 'info', 'warn', 'error'), 'info') }),
};

/** Parses the content of a settings file; `file` is the name used in messages. */
export function parseSidecarSettings(
  file: string,
  content: string,
): Either<InvalidInputError, SidecarSettings> {
  const settings = new SettingsReader(schema).read(file, content);
  return map(
    ({
      daemon,
      target,
      listen,
      store,
      retries,
      locality,
      log,
    }: Settings<typeof schema>): SidecarSettings => ({
      id: brandAs<DaemonId>(daemon.id),
      region: brandAs<Region>(daemon.region),
      dataCentre: brandAs<DataCentre>(daemon['data-centre']),
      grace: daemon.grace,
      service: brandAs<ServiceName>(target.service),
      target: target.address,
      ...listen,
      advertised: listen.advertised ?? listen.peer,
      store: store.addresses,
      retryRatio: retries.ratio,
      retrySlack: retries.slack,
      retryWindow: retries.window,
      locality: {
        dataCentre: {
          fixed: locality['data-centre-cost'],
          perKilobyte: locality['data-centre-cost-per-kilobyte'],
        },
        region: {
          fixed: locality['region-cost'],
          perKilobyte: locality['region-cost-per-kilobyte'],
        },
      },
      logLevel: log.level,
    }),
  )(settings);
}
