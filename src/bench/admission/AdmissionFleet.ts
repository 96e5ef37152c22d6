import {
  brandAs,
  createRandom,
  VirtualClock,
  type DaemonId,
  type DataCentre,
  type Incarnation,
  type RandomSource,
  type Region,
  type ServiceName,
  type TargetEntry,
  type TargetId,
} from '../../api/index.js';
import { CostModel } from '../../common/admission/CostModel.js';
import { AdmissionController } from '../../common/admission/AdmissionController.js';
import { FakeTarget } from '../FakeTarget.js';
import type { FleetSize } from './Types.js';

/** Service of the simulated fleet. */
export const service = brandAs<ServiceName>('catalogo');

/** Region of the simulated fleet. */
export const region = brandAs<Region>('gam');

/** Data centres of the simulated fleet. */
export const dataCentres = ['gam-a', 'gam-b'].map((name) => brandAs<DataCentre>(name));

/** One-way latency between an entry and a home, or between a baseline entry and a target. */
export const hopLatencyMs = 0.25;

/** A target with its admission controller, which the baselines do not use. */
export interface SimulatedTarget {
  readonly entry: TargetEntry;
  readonly target: FakeTarget;
  readonly controller: AdmissionController;
}

/** Slot time in milliseconds that was spent on answers in time, and on everything else. */
export interface SlotUse {
  useful: number;
  wasted: number;
}

/** Clock, targets and counters that all entries of a run share. */
export class AdmissionFleet {
  public readonly clock = new VirtualClock();

  public readonly random: RandomSource;

  public readonly targets: readonly SimulatedTarget[];

  /** Requests sent to targets, including those that an admission controller refused. */
  public attempts = 0;

  /** Requests that a target started or queued. */
  public starts = 0;

  public constructor(
    public readonly size: FleetSize,
    public readonly seed: number,
  ) {
    this.random = createRandom(seed);
    // A daemon can be home to several targets of a service, which then share one cost model.
    const costs = Array.from({ length: size.entries }, () => new CostModel());
    this.targets = Array.from({ length: size.targets }, (_, index) =>
      this.createTarget(index, costs[index % costs.length] ?? new CostModel()),
    );
  }

  private createTarget(index: number, cost: CostModel): SimulatedTarget {
    const { slots, maxQueue, entries } = this.size;
    const id = `target-${index}`;
    const target = new FakeTarget(id, slots, this.clock, this.random);
    const controller = new AdmissionController({ slots, maxQueue }, cost, this.clock);
    const dataCentre = dataCentres[index % dataCentres.length];
    const entry: TargetEntry = {
      id: brandAs<TargetId>(id),
      incarnation: brandAs<Incarnation>('1'),
      service,
      address: '127.0.0.1:1',
      slots,
      connections: 330,
      state: 'active',
      home: brandAs<DaemonId>(`daemon-${index % entries}`),
      location: { region, dataCentre: dataCentre ?? brandAs<DataCentre>('gam-a') },
      status: 'active',
      share: 1,
    };
    return { entry, target, controller };
  }
}
