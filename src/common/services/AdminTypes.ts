/** JSON that the admin endpoint of a daemon gives to operators. */
import type { TargetState } from './Types.js';

/** A daemon as another one knows it. */
export interface MemberReport {
  readonly daemon: string;
  /** Such as `alive`, `suspect` or `leaving`. */
  readonly status: string;
  readonly dataCentre: string;
  /** `host:port` of its admin endpoint; empty if it is not known. */
  readonly admin: string;
  /** Configuration revision in force there; 0 if there is none. */
  readonly revision: number;
}

/** A service as the asked daemon sees it. */
export interface ServiceReport {
  readonly service: string;
  readonly targets: number;
  /** Slots of all targets. */
  readonly slots: number;
  /** Slots of the targets that get work. */
  readonly slotsInService: number;
  /** Floor in slots under the preset in force. */
  readonly floor: number;
}

/** Answer of `GET /status`. */
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

/** A target as the asked daemon sees it; the answer of `GET /targets` is a list of them. */
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

/** Answer of `POST /targets/restore?id=TARGET` at the home of the target. */
export interface RestoreReport {
  /** False if this daemon is not the home of the target. */
  readonly isKnown: boolean;
}

/** One decision; the answer of `GET /why?id=ID` is a list of them, oldest first. */
export interface DecisionReport {
  /** ISO 8601 time. */
  readonly time: string;
  readonly level: string;
  readonly kind: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, string | number | boolean | undefined>>;
}
