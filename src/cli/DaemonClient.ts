import { request } from 'undici';
import { FleetError, InvalidInputError } from '../common/base/index.js';
import type {
  DecisionReport,
  RestoreReport,
  StatusReport,
  TargetReport,
} from '../common/services/AdminTypes.js';

/** Milliseconds for a call to the admin endpoint. */
const callTimeout = 3_000;

/** Asks the admin endpoints of daemons. The first one that answers is used. */
export class DaemonClient {
  /** @param addresses `host:port` of admin endpoints. */
  public constructor(private readonly addresses: readonly string[]) {}

  public status(): Promise<StatusReport> {
    return this.ask('/status') as Promise<StatusReport>;
  }

  public targets(): Promise<readonly TargetReport[]> {
    return this.ask('/targets') as Promise<readonly TargetReport[]>;
  }

  /** Decisions about a request or a target that the daemon remembers. */
  public why(id: string): Promise<readonly DecisionReport[]> {
    return this.ask(`/why?id=${encodeURIComponent(id)}`) as Promise<readonly DecisionReport[]>;
  }

  /** Metrics in the Prometheus text format. */
  public metrics(): Promise<string> {
    return this.ask('/metrics', 'GET') as Promise<string>;
  }

  /** Puts an ejected or suspected target back; the daemon must be its home. */
  public restore(target: string): Promise<RestoreReport> {
    const path = `/targets/restore?id=${encodeURIComponent(target)}`;
    return this.ask(path, 'POST') as Promise<RestoreReport>;
  }

  private async ask(path: string, method: 'GET' | 'POST' = 'GET'): Promise<unknown> {
    if (this.addresses.length === 0) {
      const problem = 'no daemon given; use --daemon host:port or the settings file';
      throw new InvalidInputError([problem], { step: 'cli.options' });
    }
    let failure: unknown;
    for (const address of this.addresses) {
      try {
        return await DaemonClient.call(address, path, method);
      } catch (error) {
        failure = error;
      }
    }
    throw failure;
  }

  private static async call(
    address: string,
    path: string,
    method: 'GET' | 'POST',
  ): Promise<unknown> {
    const origin = { step: `cli.daemon ${method} ${path}`, peer: address };
    try {
      const answer = await request(`http://${address}${path}`, {
        method,
        signal: AbortSignal.timeout(callTimeout),
      });
      const text = await answer.body.text();
      const isJson = String(answer.headers['content-type']).startsWith('application/json');
      if (isJson) return JSON.parse(text);
      if (answer.statusCode === 200) return text;
      throw new FleetError(`the daemon answered ${answer.statusCode}: ${text.trim()}`, origin);
    } catch (error) {
      if (error instanceof FleetError) throw error;
      throw new FleetError('the daemon cannot be reached', { ...origin, cause: error });
    }
  }
}
