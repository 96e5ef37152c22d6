/** Types of the fleet-wide rate limits. */
import type { Either } from 'fp-ts/lib/Either.js';
import type { AccountId, Branded, DaemonId, RefusalReason, ServiceName } from '../base/index.js';
import type { WorkClass } from '../services/Types.js';

/** Name of a limit of a service, of a work class of a service, or of an account. */
export type QuotaKey = Branded<string, 'QuotaKey'>;

/** Demand of an entry for one key. */
export interface QuotaDemand {
  readonly key: QuotaKey;
  /** Requests that the entry expects in the next second. */
  readonly demand: number;
}

/** Grant of the owner of a key to an entry. */
export interface QuotaGrant {
  readonly key: QuotaKey;
  /** Requests that the entry may accept. */
  readonly granted: number;
  /** Milliseconds after which an unused grant expires. */
  readonly validFor: number;
  /** Minimum milliseconds until the entry requests the next grant. */
  readonly askAfter: number;
}

/** Requests grants from an owner; rejects if the owner is unreachable or does not own the keys. */
export type QuotaRequest = (
  owner: DaemonId,
  demands: readonly QuotaDemand[],
) => Promise<readonly QuotaGrant[]>;

/** Refusal of a request that exceeds a limit. It was not started. */
export interface QuotaRefusal {
  readonly step: 'quota';
  readonly notRun: true;
  readonly reason: RefusalReason;
  readonly key: QuotaKey;
  readonly message: string;
  /** Milliseconds after which a retry can succeed. */
  readonly retryAfter: number;
}

/** Result of taking one token of each of several limits. */
export type QuotaResult = Either<QuotaRefusal, 'accepted'>;

/** Properties of a request that select its limits. */
export interface QuotaSubject {
  readonly service: ServiceName;
  readonly workClass: WorkClass;
  readonly account?: AccountId;
}

/** Requests per second over the whole fleet; 0 means no limit. */
export type QuotaLimit = (key: QuotaKey) => number;

/** Dependencies of a quota client. */
export interface QuotaClientSettings {
  readonly limitOf: QuotaLimit;
  /** Owner of the key among the live members by rendezvous hash; undefined if none is known. */
  readonly ownerOf: (key: QuotaKey) => DaemonId | undefined;
  /** Number of daemons in the fleet, including unreachable ones. */
  readonly daemonCount: () => number;
  readonly request: QuotaRequest;
}
