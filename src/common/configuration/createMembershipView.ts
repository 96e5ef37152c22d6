import type { MemberTable } from '../membership/MemberTable.js';
import type { MembershipView } from './ConfigurationTask.js';

/** Adapts the member table for `ConfigurationTask`. */
export function createMembershipView(table: MemberTable): MembershipView {
  const { id, location } = table.self;
  const isActive = (status: string): boolean => status === 'alive' || status === 'suspect';
  return {
    self: id,
    dataCentre: location.dataCentre,
    members: () =>
      table
        .live()
        .filter((member) => member.location.dataCentre === location.dataCentre)
        .filter((member) => isActive(member.status))
        .map((member) => member.id),
    peers: () =>
      table
        .live()
        .filter((member) => member.id !== id && member.location.region === location.region)
        .filter((member) => isActive(member.status)),
  };
}
