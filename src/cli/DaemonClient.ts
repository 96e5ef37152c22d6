import { request } from 'undici';
import { FleetError, InvalidInputError } from '../common/base/index.js';
import type {
  DecisionReport,
  RestoreReport,
  StatusReport,
  TargetReport,
} from '../common/services/AdminTypes.js';

/** Timeout of one call to an admin endpoint. */
const callTimeoutMs = 3_000;

/** HTTP client of the daemons' admin endpoints. Tries the addresses in order and uses the first that answers. */
export class DaemonClient {
  /** @param addresses `host:port` of admin endpoints. */
  public constructor(private readonly addresses: readonly string[]) {}

  public status(): Promise<StatusReport> {
    return this.callWithFailover('/status') as Promise<StatusReport>;
  }

  public targets(): Promise<readonly TargetReport[]> {
    return this.callWithFailover('/targets') as Promise<readonly TargetReport[]>;
  }

  /** Decisions about a request or a target that the daemon still keeps. */
  public decisions(id: string): Promise<readonly DecisionReport[]> {
    return this.callWithFailover(`/why?id=${encodeURIComponent(id)}`) as Promise<
      readonly DecisionReport[]
    >;
  }

  /** Metrics in the Prometheus text format. */
  public metrics(): Promise<string> {
    return this.callWithFailover('/metrics', 'GET') as Promise<string>;
  }

  /** Puts an ejected or suspected target back; the daemon must be its home. */
  public restore(target: string): Promise<RestoreReport> {
    const path = `/targets/restore?id=${encodeURIComponent(target)}`;
    return this.callWithFailover(path, 'POST') as Promise<RestoreReport>;
  }

  private async callWithFailover(path: string, method: 'GET' | 'POST' = 'GET'): Promise<unknown> {
    if (this.addresses.length === 0) {
      const problem = 'no daemon given; use --daemon host:port or the settings file';
      throw new InvalidInputError([problem], { step: 'cli.options' });
    }
    let lastError: unknown;
    for (const address of this.addresses) {
      try {
        return await DaemonClient.call(address, path, method);
      } catch (error) {
        lastError = error;
      }
    }
    throw lastError;
  }

  private static async call(
    address: string,
    path: string,
    method: 'GET' | 'POST',
  ): Promise<unknown> {
    const origin = { step: `cli.daemon ${method} ${path}`, peer: address };
    try {
      const response = await request(`http://${address}${path}`, {
        method,
        signal: AbortSignal.timeout(callTimeoutMs),
      });
      const text = await response.body.text();
      const isJson = String(response.headers['content-type']).startsWith('application/json');
      if (isJson) return JSON.parse(text);
      if (response.statusCode === 200) return text;
      throw new FleetError(`the daemon answered ${response.statusCode}: ${text.trim()}`, origin);
    } catch (error) {
      if (error instanceof FleetError) throw error;
      throw new FleetError('the daemon cannot be reached', { ...origin, cause: error });
    }
  }
}
