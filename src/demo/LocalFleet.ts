import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import type { FaultSettings } from '../target/Types.js';
import { binaryPath, ChildProcess } from './ChildProcess.js';
import { findFreePorts } from '../node/freePorts.js';
import type { Deployment, ServicePlan } from './Types.js';

const loopback = '127.0.0.1';

/** Daemon of the local fleet; `callers`, `peer` and `admin` are the addresses that it listens on. */
export interface LocalDaemon {
  readonly id: string;
  readonly dataCentre: string;
  readonly callers: string;
  readonly peer: string;
  readonly admin: string;
  readonly settingsFile: string;
  process: ChildProcess;
}

/** Target of the local fleet. */
export interface LocalTarget {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly process: ChildProcess;
}

/** Store, daemons and targets of a deployment as child processes on loopback. */
export class LocalFleet {
  public readonly daemons: LocalDaemon[] = [];

  public readonly targets: LocalTarget[] = [];

  private readonly processes: ChildProcess[] = [];

  private directory = '';

  private storeAddress = '';

  private controlAddress = '';

  public constructor(
    private readonly deployment: Deployment,
    private readonly daemonsPerDataCentre = 1,
  ) {}

  /** Starts the store and the daemons. */
  public async startDaemons(): Promise<void> {
    this.directory = await mkdtemp(join(tmpdir(), 'limpettrack-'));
    const store = this.start('store', binaryPath('store'), [
      '--listen',
      `${loopback}:0`,
      '--control',
      `${loopback}:0`,
    ]);
    const match = await store.waitFor(/listen=(\S+) control=(\S+)/);
    [, this.storeAddress = '', this.controlAddress = ''] = match;
    await this.configureDaemons();
    for (const daemon of this.daemons) {
      daemon.process = this.startDaemon(daemon);
    }
    await Promise.all(this.daemons.map(({ process }) => process.waitFor(/"message":"serving"/)));
  }

  /** Starts a stopped daemon again with the same settings. */
  public async restartDaemon(daemon: LocalDaemon): Promise<void> {
    daemon.process = this.startDaemon(daemon);
    await daemon.process.waitFor(/"message":"serving"/);
  }

  /** Starts all targets, spread over the data centres. */
  public async startTargets(): Promise<void> {
    for (const service of this.deployment.services) {
      for (let index = 0; index < service.targets; index += 1) {
        this.targets.push(await this.startTarget(service, index));
      }
    }
  }

  /** Runs a command of the `limpettrack` command line and returns its output and exit code. */
  public async runCommand(...args: string[]): Promise<{ code: number; output: string }> {
    const command = new ChildProcess('limpettrack', binaryPath('cli'), [
      ...args,
      '--store',
      this.storeAddress,
      '--daemon',
      this.daemons[0]?.admin ?? '',
    ]);
    const code = await command.wait();
    return { code, output: command.text };
  }

  /** Sets the faults that a target injects. */
  public async setFault(target: LocalTarget, fault: Partial<FaultSettings>): Promise<void> {
    const { body } = await request(`http://${target.address}/.fault`, {
      method: 'PUT',
      body: JSON.stringify(fault),
    });
    await body.dump();
  }

  /** Keys of the non-idempotent requests that all targets of the fleet have started. */
  public async startedKeys(): Promise<string[]> {
    const lists = await Promise.all(
      this.targets.map(async ({ address }) => {
        const { body } = await request(`http://${address}/.starts`);
        return (await body.json()) as { key: string }[];
      }),
    );
    return lists.flat().map(({ key }) => key);
  }

  /** Address of the store's control endpoint. */
  public get storeControlAddress(): string {
    return this.controlAddress;
  }

  /** Stops all processes gracefully and removes the settings files. */
  public async stop(): Promise<void> {
    await Promise.all(this.processes.map((process) => process.stop()));
    if (this.directory !== '') await rm(this.directory, { recursive: true, force: true });
  }

  private start(name: string, file: string, args: readonly string[]): ChildProcess {
    const child = new ChildProcess(name, file, args);
    this.processes.push(child);
    return child;
  }

  private startDaemon({ id, settingsFile }: LocalDaemon): ChildProcess {
    return this.start(id, binaryPath('daemon'), ['--settings', settingsFile]);
  }

  private async configureDaemons(): Promise<void> {
    const locations = this.deployment.dataCentres.flatMap((location) =>
      Array.from({ length: this.daemonsPerDataCentre }, () => location),
    );
    const ports = await findFreePorts(locations.length * 3);
    const addressOf = (port: number | undefined): string => `${loopback}:${port ?? 0}`;
    const contacts = locations.map((_location, index) => addressOf(ports[index * 3 + 1]));
    for (const [index, location] of locations.entries()) {
      const daemon = {
        id: `${location.name}-${index + 1}`,
        dataCentre: location.name,
        callers: addressOf(ports[index * 3]),
        peer: addressOf(ports[index * 3 + 1]),
        admin: addressOf(ports[index * 3 + 2]),
        settingsFile: join(this.directory, `${location.name}-${index + 1}.ini`),
      };
      await writeFile(daemon.settingsFile, this.formatSettings(daemon, location.region, contacts));
      this.daemons.push(daemon as LocalDaemon);
    }
  }

  private formatSettings(
    daemon: Omit<LocalDaemon, 'process'>,
    region: string,
    contacts: readonly string[],
  ): string {
    return [
      '[daemon]',
      `id = ${daemon.id}`,
      `region = ${region}`,
      `data-centre = ${daemon.dataCentre}`,
      '[listen]',
      `callers = ${daemon.callers}`,
      `peer = ${daemon.peer}`,
      `admin = ${daemon.admin}`,
      '[peers]',
      `contacts = ${contacts.join(', ')}`,
      '[store]',
      `addresses = ${this.storeAddress}`,
      '',
    ].join('\n');
  }

  private async startTarget(service: ServicePlan, index: number): Promise<LocalTarget> {
    const id = `${service.name}-${index + 1}`;
    const homeIndex = index % this.daemons.length;
    const homes = [...this.daemons.slice(homeIndex), ...this.daemons.slice(0, homeIndex)];
    const process = this.start(
      id,
      binaryPath('target'),
      [
        ['--id', id],
        ['--service', service.name],
        ['--homes', homes.map(({ admin }) => admin).join(',')],
        ['--slots', String(service.slots)],
        ['--connections', String(service.connections)],
        ['--service-time', String(service.serviceTime)],
        ['--seed', String(index + 1)],
      ].flat(),
    );
    const [, address = ''] = await process.waitFor(/"address":"([^"]+)"/);
    return { id, service: service.name, address, process };
  }
}
