import type { TargetReport } from '../common/services/AdminTypes.js';
import type { TargetState } from '../common/services/Types.js';

/** States that count for the floor; a target in trial counts with its share. */
const servingStates: ReadonlySet<TargetState> = new Set(['active', 'suspect', 'trial']);

/** Slots that stay in service when a target leaves. */
export function slotsWithout(targets: readonly TargetReport[], leaving: TargetReport): number {
  return targets
    .filter(
      ({ id, service, state }) =>
        service === leaving.service && id !== leaving.id && servingStates.has(state),
    )
    .reduce((sum, { slots, share, state }) => sum + (state === 'trial' ? slots * share : slots), 0);
}
