import {
  brandAs,
  createRandom,
  storeAdapters,
  type Configuration,
  type DaemonId,
  type DataCentre,
  type LogLine,
  type PresetName,
  type Region,
  type ServiceName,
} from '../src/api/index.js';
import { StoreConfigurationEditor } from '../src/common/configuration/StoreConfigurationEditor.js';
import { Daemon, type DaemonPorts } from '../src/daemon/Daemon.js';
import type { DaemonSettings } from '../src/daemon/Settings.js';
import { findFreePorts } from '../src/node/freePorts.js';
import { sha256 } from '../src/node/sha256.js';
import { SystemClock } from '../src/node/SystemClock.js';
import { MemoryBackend } from '../src/store/MemoryBackend.js';
import { MemoryStore } from '../src/store/MemoryStore.js';

const seed = 7;
const pollIntervalMs = 50;
const maxPolls = 400;

/** Configuration with one service `lots` and one route to it. */
export const lotsConfiguration: Omit<Configuration, 'revision'> = {
  preset: brandAs<PresetName>('ordinary'),
  services: [
    {
      name: brandAs<ServiceName>('lots'),
      floor: 0,
      maxQueue: 100,
      timeout: 5_000,
      rate: 0,
      retryShare: 0.1,
      crossRegionRate: 1_000_000,
    },
  ],
  routes: [
    {
      name: 'lots',
      service: brandAs<ServiceName>('lots'),
      path: '/lots',
      workClass: 'interactive',
    },
  ],
  accounts: [],
  presets: [{ name: brandAs<PresetName>('ordinary'), reason: 'tests', services: {} }],
  pauses: [],
  holds: [],
};

/** Polls until `isMet` returns true; throws after 20 s. */
export async function waitUntil(
  condition: string,
  isMet: () => Promise<boolean> | boolean,
): Promise<void> {
  for (let polls = 0; polls < maxPolls; polls += 1) {
    if (await isMet()) return;
    await new Promise((resolve) => {
      setTimeout(resolve, pollIntervalMs);
    });
  }
  throw new Error(`timed out waiting until ${condition}`);
}

/** Daemon of a test fleet with its settings, log lines and bound ports. */
export interface FleetMember {
  readonly daemon: Daemon;
  readonly settings: DaemonSettings;
  readonly lines: LogLine[];
  ports: DaemonPorts;
}

let fleetCount = 0;

/** Fleet of daemons in the test process that share one in-memory store. */
export class Fleet {
  public readonly backend = new MemoryBackend(new SystemClock());

  public readonly members: FleetMember[] = [];

  private readonly adapter: string;

  public constructor() {
    fleetCount += 1;
    this.adapter = `memory-${fleetCount}`;
    storeAdapters.register(this.adapter, {
      createStore: (_addresses, client) => new MemoryStore(this.backend, client),
    });
  }

  /** Starts `count` daemons that know each other and waits until all of them apply the configuration. */
  public async start(count: number, content = lotsConfiguration): Promise<void> {
    const store = new MemoryStore(this.backend, 'operator');
    const editor = new StoreConfigurationEditor(store, sha256, () => new Date());
    const base = await editor.read();
    await editor.change(base, content, { author: 'test', summary: 'start' });
    const peers = (await findFreePorts(count)).map((port) => `127.0.0.1:${port}`);
    for (const [index, peer] of peers.entries()) {
      await this.startDaemon(`d${index + 1}`, peer, peers);
    }
    await waitUntil('the configuration is in force', () =>
      this.members.every(({ lines }) => lines.some(({ kind }) => kind === 'configuration')),
    );
  }

  /** Member at an index; negative indexes count from the end. */
  public member(index: number): FleetMember {
    const member = this.members.at(index);
    if (member === undefined) throw new Error(`no daemon ${index}`);
    return member;
  }

  /** Stops all daemons at once, without draining. */
  public dispose(): void {
    this.members.forEach(({ daemon }) => daemon.dispose());
  }

  private async startDaemon(id: string, peer: string, peers: readonly string[]): Promise<void> {
    const lines: LogLine[] = [];
    const settings = this.createSettings(id, peer, peers);
    const daemon = new Daemon(settings, {
      clock: new SystemClock(),
      sink: { write: (line) => lines.push(line) },
      random: createRandom(seed + this.members.length),
    });
    this.members.push({ daemon, settings, lines, ports: await daemon.start() });
  }

  private createSettings(id: string, peer: string, peers: readonly string[]): DaemonSettings {
    return {
      id: brandAs<DaemonId>(id),
      region: brandAs<Region>('gam'),
      dataCentre: brandAs<DataCentre>('gam-a'),
      callers: '127.0.0.1:0',
      peer,
      admin: '127.0.0.1:0',
      peers,
      store: ['memory'],
      storeAdapter: this.adapter,
      logSink: 'none',
      logLevel: 'error',
      routeSample: 1,
      notice: 10,
    };
  }
}
