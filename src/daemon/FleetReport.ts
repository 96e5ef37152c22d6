import type { ServiceName, TargetEntry, TargetState } from '../api/index.js';
import type {
  MemberReport,
  ServiceReport,
  StatusReport,
  TargetReport,
} from '../common/services/AdminTypes.js';
import type { ConfigurationDistribution } from './ConfigurationDistribution.js';
import type { Membership } from './Membership.js';
import type { OperatorSource } from './operatorHandlers.js';
import type { Identity } from './Types.js';

const inService: ReadonlySet<TargetState> = new Set(['active', 'suspect', 'trial']);

/** What the report depends on. */
export interface FleetReportSettings {
  readonly identity: Identity;
  readonly membership: Membership;
  readonly configuration: ConfigurationDistribution;
  readonly storeState: () => StatusReport['store'];
  /** Reason of the state of a target, if this daemon knows it. */
  readonly explain: (target: TargetEntry) => string | undefined;
  /** Puts an ejected or suspected target of this home back; false if it is not here. */
  readonly restore: (target: string) => boolean;
}

/** The fleet as this daemon tells operators. */
export class FleetReport implements OperatorSource {
  public constructor(private readonly settings: FleetReportSettings) {}

  public status(): StatusReport {
    const { identity, configuration, storeState } = this.settings;
    return {
      daemon: identity.id,
      incarnation: identity.incarnation,
      region: identity.location.region,
      dataCentre: identity.location.dataCentre,
      revision: configuration.revision(),
      preset: configuration.current?.preset ?? '',
      store: storeState(),
      members: this.members(),
      services: this.serviceNames().map((service) => this.service(service)),
    };
  }

  public targets(): readonly TargetReport[] {
    const { targets } = this.settings.membership;
    return targets
      .services()
      .flatMap((service) => targets.all(service))
      .map((target) => this.target(target))
      .sort((left, right) => (left.id < right.id ? -1 : 1));
  }

  public restore(target: string): boolean {
    return this.settings.restore(target);
  }

  private members(): MemberReport[] {
    return this.settings.membership.table.all().map((member) => ({
      daemon: member.id,
      status: member.status,
      dataCentre: member.location.dataCentre,
      admin: member.adminAddress,
      revision: member.revision,
    }));
  }

  private serviceNames(): ServiceName[] {
    const { configuration, membership } = this.settings;
    const configured = configuration.current?.services.map(({ name }) => name) ?? [];
    return [...new Set([...configured, ...membership.targets.services()])].sort();
  }

  private service(service: ServiceName): ServiceReport {
    const targets = this.settings.membership.targets.all(service);
    const count = (list: readonly TargetEntry[]): number =>
      list.reduce((sum, { slots }) => sum + slots, 0);
    return {
      service,
      targets: targets.length,
      slots: count(targets),
      slotsInService: count(targets.filter(({ status }) => inService.has(status))),
      floor: this.settings.configuration.limitsOf(service).floor,
    };
  }

  private target(target: TargetEntry): TargetReport {
    const { id, service, home, address, slots, status, share } = target;
    return {
      id,
      service,
      home,
      dataCentre: target.location.dataCentre,
      address,
      slots,
      state: status,
      share,
      why: this.settings.explain(target) ?? '',
    };
  }
}
