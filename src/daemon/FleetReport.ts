import type {
  Configuration,
  LogLine,
  ServiceLimits,
  ServiceName,
  TargetEntry,
  TargetId,
} from '../api/index.js';
import { stateCatalogue } from '../common/ejection/StateCatalogue.js';
import type { MemberRecord } from '../common/membership/Types.js';
import type {
  MemberReport,
  ServiceReport,
  StatusReport,
  TargetReport,
} from '../common/services/AdminTypes.js';
import { slotsInService } from '../common/services/slotsInService.js';
import type { OperatorApi } from './operatorHandlers.js';
import type { Identity } from './Types.js';

/** Sources of the report. */
export interface FleetReportSettings {
  readonly identity: Identity;
  /** Records of all known members, including this daemon. */
  readonly members: () => readonly MemberRecord[];
  readonly services: () => readonly ServiceName[];
  readonly targetsOf: (service: ServiceName) => readonly TargetEntry[];
  readonly configuration: () => Configuration | undefined;
  readonly limitsOf: (service: ServiceName) => ServiceLimits;
  /** Recent log lines that name an id, oldest first. */
  readonly findLines: (id: string) => readonly LogLine[];
  /** Returns an ejected or suspected target to service; false if this daemon is not its home. */
  readonly restore: (target: TargetId) => boolean;
}

function toMember({ id, status, location, adminAddress, revision }: MemberRecord): MemberReport {
  const { dataCentre } = location;
  return { daemon: id, status, dataCentre, admin: adminAddress, revision };
}

/** This daemon's view of the fleet, for operators. */
export class FleetReport implements OperatorApi {
  public constructor(private readonly settings: FleetReportSettings) {}

  public status(): StatusReport {
    const { identity, members, configuration } = this.settings;
    const current = configuration();
    const targets = this.targets();
    return {
      daemon: identity.id,
      incarnation: identity.incarnation,
      region: identity.location.region,
      dataCentre: identity.location.dataCentre,
      revision: current?.revision ?? 0,
      preset: current?.preset ?? '',
      members: members().map(toMember),
      services: this.serviceNames().map((service) => this.toService(service, targets)),
    };
  }

  public targets(): readonly TargetReport[] {
    const { services, targetsOf } = this.settings;
    return services().flatMap((service) =>
      targetsOf(service).map((target) => this.toTarget(target)),
    );
  }

  public restore(target: string): boolean {
    return this.settings.restore(target as TargetId);
  }

  /** Names of the configured services and of the services that have targets. */
  private serviceNames(): readonly ServiceName[] {
    const { services, configuration } = this.settings;
    const configured = configuration()?.services.map(({ name }) => name) ?? [];
    return [...new Set([...configured, ...services()])].sort();
  }

  private toService(service: ServiceName, all: readonly TargetReport[]): ServiceReport {
    const targets = all.filter((target) => target.service === service);
    return {
      service,
      targets: targets.length,
      slots: targets.reduce((sum, { slots }) => sum + slots, 0),
      slotsInService: slotsInService(targets),
      floor: this.settings.limitsOf(service).floor,
    };
  }

  private toTarget(target: TargetEntry): TargetReport {
    const { id, service, home, location, address, slots, status, share } = target;
    return {
      id,
      service,
      home,
      dataCentre: location.dataCentre,
      address,
      slots,
      state: status,
      share,
      why: this.explainState(target),
    };
  }

  /** An operator's hold, else the last logged decision that led to the state, else the meaning of the state. */
  private explainState({ id, status }: TargetEntry): string {
    const holds = this.settings.configuration()?.holds ?? [];
    const hold = holds.find(({ target }) => target === id);
    if (hold !== undefined) return `${hold.action} by ${hold.author}`;
    const last = this.settings
      .findLines(id)
      .findLast(({ kind, fields }) => kind === 'ejection' && fields.to === status);
    if (last !== undefined) return FleetReport.describe(last);
    return stateCatalogue.find(({ state }) => state === status)?.meaning ?? '';
  }

  private static describe({ message, fields }: LogLine): string {
    const parts = [fields.cause, fields.reason].filter((part) => part !== undefined);
    return [message, parts.join(', ')].join(': ');
  }
}
