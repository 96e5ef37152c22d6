/** Documents of the operators' configuration. */
import type { AccountId, PresetName, Revision, ServiceName } from '../base/index.js';
import type { WorkClass } from '../services/Types.js';

/** Limits of a service that a preset can override. */
export interface ServiceLimits {
  /** Slots that must stay in service; ejection never goes below. */
  readonly floor: number;
  /** Waiting requests that one target may have. */
  readonly maxQueue: number;
  /** Timeout of a request in milliseconds if neither the caller nor the route gives one. */
  readonly timeout: number;
  /** Requests a second over the whole fleet; 0 means no limit. */
  readonly rate: number;
  /** Share of retries among an entry's requests, at most 0.1. */
  readonly retryShare: number;
  /** Bytes a second that one daemon may send to the other region for this service. */
  readonly crossRegionRate: number;
}

/** A service of the operators. */
export interface ServiceDocument extends ServiceLimits {
  readonly name: ServiceName;
}

/** Maps requests to a service. The longest path prefix wins, a named host goes before no host. */
export interface RouteDocument {
  readonly name: string;
  readonly service: ServiceName;
  readonly host?: string;
  readonly path: string;
  readonly methods?: readonly string[];
  readonly workClass: WorkClass;
  /** Overrides what the method says. */
  readonly isIdempotent?: boolean;
  /** Milliseconds. */
  readonly timeout?: number;
}

/** Account of a caller. */
export interface AccountDocument {
  readonly id: AccountId;
  /** Requests a second over the whole fleet. */
  readonly rate: number;
}

/** Automatic actions that operators can pause. */
export type Automation = 'ejection' | 'hedging' | 'retries' | 'cross-region';

/** An automatic action is off until the expiry. */
export interface PauseDocument {
  readonly automation: Automation;
  /** Absent means all services. */
  readonly service?: ServiceName;
  /** ISO 8601 time. */
  readonly expires: string;
  readonly author: string;
}

/** Manual decision of an operator about a target. */
export interface HoldDocument {
  readonly target: string;
  readonly action: 'eject' | 'drain';
  readonly author: string;
}

/** Named set of limits; exactly one is in force. */
export interface PresetDocument {
  readonly name: PresetName;
  readonly reason: string;
  readonly services: Readonly<Record<string, Partial<ServiceLimits>>>;
}

/** Everything that operators configure, at one revision. */
export interface Configuration {
  readonly revision: Revision;
  readonly preset: PresetName;
  readonly services: readonly ServiceDocument[];
  readonly routes: readonly RouteDocument[];
  readonly accounts: readonly AccountDocument[];
  readonly presets: readonly PresetDocument[];
  readonly pauses: readonly PauseDocument[];
  readonly holds: readonly HoldDocument[];
}

/** Head record in the store: the revision and the digests of its chunks. */
export interface ConfigurationHead {
  readonly revision: Revision;
  /** Revision that this one was made from. */
  readonly parent: Revision;
  readonly preset: PresetName;
  readonly author: string;
  /** ISO 8601 time at the author's clock; orders nothing. */
  readonly created: string;
  /** What was changed, in one line. */
  readonly summary: string;
  readonly chunks: readonly ChunkReference[];
}

/** One part of a revision, addressed by the SHA-256 of its content. */
export interface ChunkReference {
  readonly kind: keyof Omit<Configuration, 'revision' | 'preset'>;
  readonly digest: string;
  /** Bytes. */
  readonly size: number;
}
