/** Interfaces of limits that hold over the whole fleet. */
import type { Either } from 'fp-ts/lib/Either.js';
import type { AccountId, Branded, DaemonId, RefusalReason, ServiceName } from '../base/index.js';
import type { WorkClass } from '../services/Types.js';

/** Name of a limit: of a service, of a class of a service or of an account. */
export type QuotaKey = Branded<string, 'QuotaKey'>;

/** Wish of an entry for one key. */
export interface QuotaDemand {
  readonly key: QuotaKey;
  /** Requests that the entry expects in the next second. */
  readonly demand: number;
}

/** What the owner of a key grants an entry. */
export interface QuotaGrant {
  readonly key: QuotaKey;
  /** Requests that the entry may accept. */
  readonly granted: number;
  /** Milliseconds after which an unused grant lapses. */
  readonly validFor: number;
  /** Milliseconds before which the entry does not ask again. */
  readonly askAfter: number;
}

/** Asks an owner for grants; rejects if the owner cannot be reached or does not own the keys. */
export type QuotaRequest = (
  owner: DaemonId,
  demands: readonly QuotaDemand[],
) => Promise<readonly QuotaGrant[]>;

/** A request is over a limit. It has not been started. */
export interface QuotaRefusal {
  readonly step: 'quota';
  readonly notRun: true;
  readonly reason: RefusalReason;
  readonly key: QuotaKey;
  readonly message: string;
  /** Milliseconds after which another attempt can succeed. */
  readonly retryAfter: number;
}

/** Result of taking one request from several limits. */
export type QuotaResult = Either<QuotaRefusal, 'accepted'>;

/** What a request counts against. */
export interface QuotaSubject {
  readonly service: ServiceName;
  readonly workClass: WorkClass;
  readonly account?: AccountId;
}

/** Requests a second over the whole fleet; 0 means no limit. */
export type QuotaLimit = (key: QuotaKey) => number;

/** What the entry side depends on. */
export interface QuotaClientSettings {
  readonly limitOf: QuotaLimit;
  /** Owner of the key among the live members by rendezvous hash; undefined if none is known. */
  readonly ownerOf: (key: QuotaKey) => DaemonId | undefined;
  /** Daemons of the fleet, those that cannot be reached included. */
  readonly daemonCount: () => number;
  readonly request: QuotaRequest;
}
