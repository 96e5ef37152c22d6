/** JSON responses of the admin endpoint of a daemon. */
import type { TargetState } from './Types.js';

/** A daemon as known to the queried daemon. */
export interface MemberReport {
  readonly daemon: string;
  /** Such as `alive`, `suspect` or `leaving`. */
  readonly status: string;
  readonly dataCentre: string;
  /** `host:port` of its admin endpoint; empty if unknown. */
  readonly admin: string;
  /** Configuration revision in force at that daemon; 0 if there is none. */
  readonly revision: number;
}

/** A service as known to the queried daemon. */
export interface ServiceReport {
  readonly service: string;
  readonly targets: number;
  /** Slots of all targets. */
  readonly slots: number;
  /** Slots of the targets that receive work. */
  readonly slotsInService: number;
  /** Floor in slots under the preset in force. */
  readonly floor: number;
}

/** Response to `GET /status`. */
export interface StatusReport {
  readonly daemon: string;
  readonly incarnation: string;
  readonly region: string;
  readonly dataCentre: string;
  /** Configuration revision in force; 0 if there is none. */
  readonly revision: number;
  /** Preset in force; empty if there is none. */
  readonly preset: string;
  readonly members: readonly MemberReport[];
  readonly services: readonly ServiceReport[];
}

/** A target as known to the queried daemon; the response to `GET /targets` is a list of them. */
export interface TargetReport {
  readonly id: string;
  readonly service: string;
  readonly home: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly slots: number;
  readonly state: TargetState;
  /** Share of normal traffic, 0 to 1. */
  readonly share: number;
  /** Why the target is in this state, in one line. */
  readonly why: string;
}

/** Response to `POST /targets/restore?id=TARGET` at the home of the target. */
export interface RestoreReport {
  /** False if this daemon is not the home of the target. */
  readonly isKnown: boolean;
}

/** One decision; the response to `GET /why?id=ID` is a list of them, oldest first. */
export interface DecisionReport {
  /** ISO 8601 time. */
  readonly time: string;
  readonly level: string;
  readonly kind: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, string | number | boolean | undefined>>;
}
