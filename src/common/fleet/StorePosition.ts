import { brandAs, type StoreEpoch } from '../base/index.js';

/** Place of a state in the history of the store. Positions are ordered by epoch, then by revision. */
export interface StorePosition {
  readonly epoch: StoreEpoch;
  readonly revision: number;
}

/** Epoch of a store that names none. */
export const firstEpoch = brandAs<StoreEpoch>(0);

/** Only the position of a state that has more fields. */
export function positionOf({ epoch, revision }: StorePosition): StorePosition {
  return { epoch, revision };
}

/** Negative if `left` is older than `right`, 0 if they are equal, positive if it is newer. */
export function comparePositions(left: StorePosition, right: StorePosition): number {
  return left.epoch - right.epoch || left.revision - right.revision;
}
