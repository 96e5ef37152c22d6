import type { Clock, Disposable } from '../common/base/index.js';
import { CallCounters } from './CallCounters.js';
import { CallHandler } from './CallHandler.js';
import { ControlEndpoint } from './ControlEndpoint.js';
import { FaultInjector } from './FaultInjector.js';
import { StoreGrpcServer } from './StoreGrpcServer.js';
import { StoreCore } from './StoreCore.js';
import { WatchService } from './WatchService.js';

/** Addresses that the store listens on. Port 0 selects a free port. */
export interface StoreAddresses {
  readonly listen: Address;
  readonly control: Address;
}

export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Store emulator with its gRPC and control endpoints, for `limpettrack-store` and for tests. */
export class StoreServer implements Disposable {
  public readonly counters = new CallCounters();

  public readonly faults = new FaultInjector();

  private readonly core: StoreCore;

  private readonly grpcServer: StoreGrpcServer;

  private readonly watches: WatchService;

  private readonly control: ControlEndpoint;

  private transition = Promise.resolve();

  private isOpen = false;

  private address = '';

  public constructor(clock: Clock) {
    this.core = new StoreCore(clock);
    const handler = new CallHandler(clock, this.counters, this.faults);
    this.watches = new WatchService(this.core, handler, this.counters, this.faults);
    this.grpcServer = new StoreGrpcServer(this.core, handler, this.watches);
    this.control = new ControlEndpoint(this.counters, this.faults);
    this.faults.onChange(({ down }) => {
      this.transition = this.transition.then(() => this.setOpen(!down));
    });
  }

  /** Opens both ports and returns the bound addresses. */
  public async open({ listen, control }: StoreAddresses): Promise<StoreAddresses> {
    const port = await this.grpcServer.open(`${listen.host}:${listen.port}`);
    this.address = `${listen.host}:${port}`;
    this.isOpen = true;
    const controlPort = await this.control.open(control.host, control.port);
    return {
      listen: { host: listen.host, port },
      control: { host: control.host, port: controlPort },
    };
  }

  /** Resolves when the gRPC port has been opened or closed according to the `down` fault. */
  public settled(): Promise<void> {
    return this.transition;
  }

  public dispose(): void {
    this.isOpen = false;
    this.grpcServer.close();
    this.control.close();
    this.watches.dispose();
    this.core.dispose();
  }

  private async setOpen(shouldOpen: boolean): Promise<void> {
    if (shouldOpen === this.isOpen || this.address === '') return;
    this.isOpen = shouldOpen;
    if (shouldOpen) await this.grpcServer.open(this.address);
    else this.grpcServer.close();
  }
}
