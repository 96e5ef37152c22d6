import type { TargetState } from '../services/Types.js';

/** Description of one state for operators. A test compares `docs/operators/target-states.md` with this table. */
export interface StateDescription {
  readonly state: TargetState;
  readonly meaning: string;
  readonly entered: string;
  readonly left: string;
  /** Command of an operator that reverses the state, or the reason why there is none. */
  readonly reversal: string;
  /** States that can follow. */
  readonly next: readonly TargetState[];
  /** Whether the target gets new work, and how. */
  readonly traffic: 'normal' | 'reduced' | 'last' | 'none';
}

/** Message of the log line of every transition. Its fields are `target`, `service`, `from`, `to`, `cause`, `share`. */
export const transitionMessage = 'target state changed';

/** Message of the log line when a sick target stays in service. Its field `refusal` says why. */
export const refusalMessage = 'ejection refused';

/** Names of the metrics of the target states. */
export const metricNames = {
  /** Gauge with labels `service` and `state`: targets of this home in each state. */
  states: 'limpettrack_target_states',
  /** Counter with labels `service`, `from`, `to` and `cause`. */
  transitions: 'limpettrack_target_transitions_total',
  /** Counter with labels `service` and `refusal`. */
  refusals: 'limpettrack_ejection_refusals_total',
} as const;

/** All states in the order of a target's lifecycle. */
export const stateCatalogue: readonly StateDescription[] = [
  {
    state: 'starting',
    meaning: 'The target has just started and is cold. It gets 1/4, then 1/2 of its share.',
    entered: 'It announces itself as `starting`.',
    left: 'It has announced itself as `active` for two steps of 5 s, or fails requests.',
    reversal: '`limpettrack target eject` keeps it out; a start needs no reversal.',
    next: ['active', 'suspect', 'trial', 'draining', 'gone', 'held'],
    traffic: 'reduced',
  },
  {
    state: 'active',
    meaning: 'The target is healthy and gets its full share.',
    entered:
      'It announced itself as `active`, warmed up, passed its trial, or was cleared of a suspicion.',
    left: 'Evidence of sickness, a drain, an operator, or a missed announcement.',
    reversal: '`limpettrack target eject` or `limpettrack target drain`.',
    next: ['starting', 'suspect', 'ejected', 'trial', 'draining', 'gone', 'held'],
    traffic: 'normal',
  },
  {
    state: 'suspect',
    meaning:
      'The home has evidence of sickness. The target is used only when the others have no free slot.',
    entered: 'Evidence at the home, without asking anyone; or a release below the floor.',
    left: 'Cleared after at least 5 s without new evidence, or ejected when the evidence is strong or returns within 60 s.',
    reversal: '`limpettrack target restore` clears the evidence.',
    next: ['starting', 'active', 'ejected', 'trial', 'draining', 'gone', 'held'],
    traffic: 'last',
  },
  {
    state: 'ejected',
    meaning:
      'Automation has taken the target out of service. The store record `ejection/<service>` lists it.',
    entered: 'The home wrote the record after the floor rule allowed it.',
    left: 'The hold time (5 s, doubled by each ejection up to 5 min) is over, or capacity fell below the floor.',
    reversal: '`limpettrack target restore`; `limpettrack pause ejection` stops further ejections.',
    next: ['starting', 'trial', 'suspect', 'draining', 'gone', 'held'],
    traffic: 'none',
  },
  {
    state: 'trial',
    meaning: 'The target returns with 1/16, 1/8, 1/4, then 1/2 of its share.',
    entered:
      'The hold time is over, an operator restored it, or a new home found it in the record.',
    left: 'It passed all steps, or showed evidence of sickness again.',
    reversal: '`limpettrack target eject` keeps it out; the trial ends by itself.',
    next: ['starting', 'active', 'suspect', 'ejected', 'draining', 'gone', 'held'],
    traffic: 'reduced',
  },
  {
    state: 'draining',
    meaning: 'The target finishes its requests and gets no new ones.',
    entered: 'It announced itself as `draining`, or an operator drained it.',
    left: 'It stops announcing itself, or the operator restores it.',
    reversal:
      '`limpettrack target restore` ends a drain by an operator; a target that drains itself must start again.',
    next: ['starting', 'active', 'trial', 'gone', 'held'],
    traffic: 'none',
  },
  {
    state: 'gone',
    meaning: 'The target has not announced itself to this home for 3 s.',
    entered: 'The announcement expired, or the target moved to another home.',
    left: 'It announces itself again.',
    reversal: 'Start the target; it announces itself.',
    next: ['starting', 'active', 'ejected', 'trial', 'draining', 'held'],
    traffic: 'none',
  },
  {
    state: 'held',
    meaning: 'An operator has taken the target out of service.',
    entered: '`limpettrack target eject`.',
    left: 'The operator restores it, or it is gone.',
    reversal: '`limpettrack target restore` puts it into trial.',
    next: ['trial', 'draining', 'gone'],
    traffic: 'none',
  },
];
