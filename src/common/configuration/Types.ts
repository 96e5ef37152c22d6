/** Documents of the operators' configuration. */
import type { AccountId, PresetName, Revision, ServiceName } from '../base/index.js';
import type { WorkClass } from '../services/Types.js';

/** Limits of a service that a preset can override. */
export interface ServiceLimits {
  /** Number of slots that must stay in service; ejection never reduces them below it. */
  readonly floor: number;
  /** Maximum number of requests that wait for one target. */
  readonly maxQueue: number;
  /** Default timeout of a request in milliseconds, if neither the caller nor the route sets one. */
  readonly timeout: number;
  /** Requests a second over the whole fleet; 0 means no limit. */
  readonly rate: number;
  /** Share of retries among an entry's requests, at most 0.1. */
  readonly retryShare: number;
  /** Bytes a second that one daemon may send to the other region for this service. */
  readonly crossRegionRate: number;
}

/** A service as operators configure it. */
export interface ServiceDocument extends ServiceLimits {
  readonly name: ServiceName;
}

/** Maps requests to a service. The longest path prefix wins; a route with a host precedes one without. */
export interface RouteDocument {
  readonly name: string;
  readonly service: ServiceName;
  readonly host?: string;
  readonly path: string;
  readonly methods?: readonly string[];
  readonly workClass: WorkClass;
  /** Overrides the default for the method. */
  readonly isIdempotent?: boolean;
  /** Timeout in milliseconds. */
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

/** Turns an automatic action off until it expires. */
export interface PauseDocument {
  readonly automation: Automation;
  /** Service to which the pause applies; all services if absent. */
  readonly service?: ServiceName;
  /** ISO 8601 time. */
  readonly expires: string;
  readonly author: string;
}

/** Manual decision of an operator to eject or drain a target. */
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

/** All documents that operators configure, at one revision. */
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
  /** ISO 8601 time by the author's clock. Not used to order revisions. */
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

/** Computes the SHA-256 digest of a chunk or head in lower-case hexadecimal. */
export type DigestFunction = (content: Uint8Array) => string;

/** The documents of a configuration without its revision. */
export type ConfigurationContent = Omit<Configuration, 'revision'>;

/** Content of a chunk with the digest that identifies it. */
export interface ConfigurationChunk {
  readonly digest: string;
  readonly content: Uint8Array;
}

/** A revision as read from the store by an operator; the base of a change. */
export interface ConfigurationSnapshot {
  /** Head of the revision; absent before the first change. */
  readonly head?: ConfigurationHead;
  /** Store revision of `config/head`; 0 if it does not exist. */
  readonly modRevision: number;
  readonly configuration: Configuration;
}

/** Author of a change and a one-line summary. */
export interface ChangeNote {
  readonly author: string;
  readonly summary: string;
}

/** Result of an operator's change. */
export type ChangeResult =
  | { readonly type: 'applied'; readonly head: ConfigurationHead }
  | {
      /** The configuration has changed since `base` was read; the head was not written. */
      readonly type: 'conflict';
      readonly base: ConfigurationSnapshot;
      /** Content that the operator tried to write. */
      readonly wanted: ConfigurationContent;
      /** Revision that is in the store now. */
      readonly present: ConfigurationSnapshot;
    };

/**
 * Reads and writes the configuration in the store for operators. Every call throws `StoreError` if the store cannot
 * be reached. The outcome `unknown` means that reading back failed too.
 */
export interface ConfigurationEditor {
  /** Reads the latest revision from the store; an empty configuration at revision 0 if there is none. */
  read(): Promise<ConfigurationSnapshot>;
  /** Writes `wanted` as the next revision after `base`; throws `InvalidInputError` with all problems. */
  change(
    base: ConfigurationSnapshot,
    wanted: ConfigurationContent,
    note: ChangeNote,
  ): Promise<ChangeResult>;
  /** Makes a preset the one in force. */
  switchPreset(
    base: ConfigurationSnapshot,
    preset: PresetName,
    note: ChangeNote,
  ): Promise<ChangeResult>;
  /** Heads of the last 50 revisions, newest first. */
  history(): Promise<readonly ConfigurationHead[]>;
  /** Reads a revision that is still in the history; throws `InvalidInputError` if it is not. */
  readRevision(revision: Revision): Promise<Configuration>;
  /** Writes the content of an old revision as a new one. */
  restore(base: ConfigurationSnapshot, revision: Revision, note: ChangeNote): Promise<ChangeResult>;
}
