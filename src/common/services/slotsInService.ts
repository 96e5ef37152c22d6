import type { TargetReport } from './AdminTypes.js';
import type { TargetState } from './Types.js';

/** States that count for the floor (docs/design.md 5.4). */
const servingStates: ReadonlySet<TargetState> = new Set(['active', 'suspect', 'trial']);

/** Slots that count for the floor; a target in trial counts with its share. */
export function slotsInService(targets: readonly TargetReport[]): number {
  return targets
    .filter(({ state }) => servingStates.has(state))
    .reduce((sum, { slots, share, state }) => sum + (state === 'trial' ? slots * share : slots), 0);
}
