import * as O from 'fp-ts/lib/Option.js';
import { Emitter, type LogSink } from '../api/index.js';
import { RouteTable } from '../common/routing/RouteTable.js';
import type {
  CallerLimits,
  TrafficConfiguration,
  TrafficRoute,
} from '../common/routing/TrafficTypes.js';

/** Limits until a configuration is known; equal to the platform's defaults. */
const initialLimits: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 64 * 1024 * 1024,
  headerTimeout: 3_000,
  idleTimeout: 15_000,
};

/** Current traffic configuration of this process; it never goes back to an older version. */
export class TrafficState {
  private current: TrafficConfiguration | undefined;

  private table = new RouteTable<TrafficRoute>([]);

  private readonly changeEmitter = new Emitter<TrafficConfiguration>();

  /** Fires when a newer version is applied. */
  public readonly onChange = this.changeEmitter.event;

  public constructor(private readonly log: LogSink) {}

  /** Whether any version was applied. */
  public get isKnown(): boolean {
    return this.current !== undefined;
  }

  /** Current version; 0 if there is none. */
  public get version(): number {
    return this.current?.version ?? 0;
  }

  /** Current limits. */
  public get limits(): CallerLimits {
    return this.current?.limits ?? initialLimits;
  }

  /** Route that matches a host and path, if any. */
  public find(host: string, path: string): TrafficRoute | undefined {
    return O.toUndefined(this.table.find({ method: '', host, path }));
  }

  /**
   * Applies a version if it is newer, or the current one if its content was written anew (`isReissued`), and returns whether
   * it did; the log line also has the fields of `origin`.
   */
  public apply(
    configuration: TrafficConfiguration,
    origin: Readonly<Record<string, number | string>> = {},
    isReissued = false,
  ): boolean {
    const before = this.version;
    const isNewer =
      configuration.version > before || (isReissued && configuration.version === before);
    this.log.write({
      level: 'info',
      kind: 'configuration',
      message: isNewer ? 'applied a configuration' : 'ignored an older configuration',
      fields: {
        step: 'configuration.apply',
        version: configuration.version,
        before,
        routes: configuration.routes.length,
        ...origin,
      },
    });
    if (!isNewer) return false;
    this.current = configuration;
    this.table = new RouteTable(configuration.routes);
    this.changeEmitter.fire(configuration);
    return true;
  }
}
