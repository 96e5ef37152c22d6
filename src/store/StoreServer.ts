import type { Clock, Disposable } from '../common/base/index.js';
import { CallCounters } from './CallCounters.js';
import { CallHandler } from './CallHandler.js';
import { ControlEndpoint } from './ControlEndpoint.js';
import { FaultInjector } from './FaultInjector.js';
import { GrpcFront } from './GrpcFront.js';
import { StoreCore } from './StoreCore.js';
import { WatchStreams } from './WatchStreams.js';

/** Where the store listens. Port 0 takes a free one. */
export interface StoreAddresses {
  readonly listen: Address;
  readonly control: Address;
}

/** Host and port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** The whole store stand-in in one object, for the binary and for tests. */
export class StoreServer implements Disposable {
  public readonly counters = new CallCounters();

  public readonly faults = new FaultInjector();

  private readonly core: StoreCore;

  private readonly front: GrpcFront;

  private readonly watches: WatchStreams;

  private readonly control: ControlEndpoint;

  private transition = Promise.resolve();

  private isOpen = false;

  private address = '';

  public constructor(clock: Clock) {
    this.core = new StoreCore(clock);
    const handler = new CallHandler(clock, this.counters, this.faults);
    this.watches = new WatchStreams(this.core, handler, this.counters, this.faults);
    this.front = new GrpcFront(this.core, handler, this.watches);
    this.control = new ControlEndpoint(this.counters, this.faults);
    this.faults.onChange(({ down }) => {
      this.transition = this.transition.then(() => this.setOpen(!down));
    });
  }

  /** Opens both ports and returns the bound addresses. */
  public async open({ listen, control }: StoreAddresses): Promise<StoreAddresses> {
    const port = await this.front.open(`${listen.host}:${listen.port}`);
    this.address = `${listen.host}:${port}`;
    this.isOpen = true;
    const controlPort = await this.control.open(control.host, control.port);
    return {
      listen: { host: listen.host, port },
      control: { host: control.host, port: controlPort },
    };
  }

  /** Resolves when the port has been closed or opened as the faults say. */
  public settled(): Promise<void> {
    return this.transition;
  }

  public dispose(): void {
    this.isOpen = false;
    this.front.close();
    this.control.close();
    this.watches.dispose();
    this.core.dispose();
  }

  private async setOpen(shouldOpen: boolean): Promise<void> {
    if (shouldOpen === this.isOpen || this.address === '') return;
    this.isOpen = shouldOpen;
    if (shouldOpen) await this.front.open(this.address);
    else this.front.close();
  }
}
