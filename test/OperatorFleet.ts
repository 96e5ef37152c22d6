import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { LocalFleet } from '../src/demo/LocalFleet.js';
import type { FaultSettings } from '../src/store/Types.js';

/** Result of one command. */
export interface CommandResult {
  readonly code: number;
  readonly output: string;
}

const service = (name: string, path: string): string => `
[service ${name}]
floor = 5 slots
max-queue = 20 requests
timeout = 2 s
rate = 100 requests/s
retry-share = 5 %
cross-region-rate = 1 Mbit/s
[route ${name}]
service = ${name}
path = ${path}
class = interactive
`;

/** Configuration of the test fleet in INI format. */
export const configuration = `${service('catalogo', '/lots')}${service('pujas', '/bids')}
[account sala]
rate = 20 requests/s
[preset ordinary]
reason = test
[preset peak]
reason = test
[limits peak catalogo]
max-queue = 5 requests
[preset maintenance]
reason = test
`;

/** Store, two daemons and five targets as processes on loopback, for tests of the `limpettrack` commands. */
export class OperatorFleet {
  private readonly directory = mkdtempSync(join(tmpdir(), 'limpettrack-test-'));

  private readonly fleet = new LocalFleet({
    name: 'test',
    title: 'test',
    dataCentres: [
      { name: 'gam-a', region: 'gam' },
      { name: 'gam-b', region: 'gam' },
    ],
    services: [
      // Three targets, because one restored by a checklist row stays in trial for up to a minute, and the next row
      // drains another one.
      { name: 'catalogo', targets: 3 },
      { name: 'pujas', targets: 2 },
    ].map(({ name, targets }) => ({
      name,
      targets,
      slots: 5,
      connections: 10,
      serviceTime: 1,
    })),
    kinds: [],
    faultyService: 'catalogo',
    peakPreset: 'peak',
  });

  /** Starts all processes, writes the configuration and waits until all targets are active. */
  public async start(): Promise<void> {
    await this.fleet.startDaemons();
    const file = this.write('configuration.ini', configuration);
    const result = await this.run('preset', 'write', file);
    if (result.code !== 0) throw new Error(result.output);
    await this.fleet.startTargets();
    await this.runUntil(['target', 'list', '--state', 'active', '--json'], ({ output, code }) => {
      const targets = code === 0 ? (JSON.parse(output) as unknown[]) : [];
      return targets.length === 5;
    });
  }

  /** Runs a command against the fleet. */
  public run(...args: string[]): Promise<CommandResult> {
    return this.fleet.runCommand(...args);
  }

  /** Repeats a command until `isWanted` accepts its result. */
  public async runUntil(
    args: readonly string[],
    isWanted: (result: CommandResult) => boolean,
  ): Promise<CommandResult> {
    for (;;) {
      const result = await this.run(...args);
      if (isWanted(result)) return result;
    }
  }

  /** Writes a temporary file and returns its path. */
  public write(name: string, content: string): string {
    const file = join(this.directory, name);
    writeFileSync(file, content);
    return file;
  }

  /** Clears the faults of the store, then sets the given ones. */
  public async setFaults(faults: Partial<FaultSettings>): Promise<void> {
    await this.callControlEndpoint('DELETE', '/faults');
    await this.callControlEndpoint('POST', '/faults', JSON.stringify(faults));
  }

  /** Number of write calls of a client that the store has received. */
  public async countWrites(client: string): Promise<number> {
    const counters = (await this.callControlEndpoint('GET', '/counters')) as {
      clients: Record<string, { byKind: { write: number } } | undefined>;
    };
    return counters.clients[client]?.byKind.write ?? 0;
  }

  public async stop(): Promise<void> {
    await this.fleet.stop();
    rmSync(this.directory, { recursive: true, force: true });
  }

  private async callControlEndpoint(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: string,
  ): Promise<unknown> {
    const response = await request(`http://${this.fleet.storeControlAddress}${path}`, {
      method,
      ...(body === undefined ? {} : { body }),
    });
    return response.body.json();
  }
}
