/** Branded identifiers, so that ids of different kinds cannot be mixed up. */

declare const brand: unique symbol;

/** A primitive type branded with the name of its kind. */
export type Branded<Value, Kind extends string> = Value & { readonly [brand]: Kind };

/** Name of a data centre, such as `gam-a`. */
export type DataCentre = Branded<string, 'DataCentre'>;
/** Name of a region, such as `gam`. */
export type Region = Branded<string, 'Region'>;
/** Id of a daemon, stable across restarts. */
export type DaemonId = Branded<string, 'DaemonId'>;
/** One run of a process: start time in milliseconds, a hyphen, a random part. Sorts by start time. */
export type Incarnation = Branded<string, 'Incarnation'>;
/** Id of a target, unique in the fleet. */
export type TargetId = Branded<string, 'TargetId'>;
/** Name of a service. */
export type ServiceName = Branded<string, 'ServiceName'>;
/** Name of a preset. */
export type PresetName = Branded<string, 'PresetName'>;
/** Id of a caller's account. */
export type AccountId = Branded<string, 'AccountId'>;
/** Id of one request within the fleet. */
export type RequestId = Branded<string, 'RequestId'>;
/** Idempotency key of a non-idempotent operation. */
export type OperationKey = Branded<string, 'OperationKey'>;
/** Hash of method, path and body of an operation. */
export type Fingerprint = Branded<string, 'Fingerprint'>;
/** Number of a configuration revision, incremented by each accepted change. */
export type Revision = Branded<number, 'Revision'>;

/** Number that rises each time the store comes back from an older copy; revisions compare within one epoch. */
export type StoreEpoch = Branded<number, 'StoreEpoch'>;

/** Casts a primitive to the branded type that the caller expects, without a check. */
export function brandAs<Id extends string | number>(
  value: Id extends string ? string : number,
): Id {
  return value as Id;
}

const timeDigits = 9;

/** Creates the incarnation of a process that started at `startedAt`, from a random 32-bit number. */
export function createIncarnation(startedAt: Date, random: number): Incarnation {
  const time = startedAt.getTime().toString(36).padStart(timeDigits, '0');
  return brandAs<Incarnation>(`${time}-${(random >>> 0).toString(36)}`);
}
