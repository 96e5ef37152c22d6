import { left, right } from 'fp-ts/lib/Either.js';
import type { Either } from 'fp-ts/lib/Either.js';
import type { TargetId } from '../base/index.js';
import type { TimestampedSummary, FloorView } from './Types.js';

/** Milliseconds for which the summary of a target by its home counts. */
export const summaryLifetime = 3_000;

/** Capacity on which a decision is based, in slots. */
export interface FloorCount {
  /** Slots in service now. */
  readonly capacity: number;
  /** Slots in service if the target were ejected. */
  readonly remaining: number;
  readonly floor: number;
}

function isFresh(summary: TimestampedSummary, now: number): boolean {
  return now - summary.askedAt + summary.age <= summaryLifetime;
}

/**
 * Slots that one target contributes. A target that the record lists counts only in trial: its home may not know yet
 * that its ejection was written, so its capacity is not guaranteed until the entry is removed.
 */
function contribution(summary: TimestampedSummary, isListed: boolean): number {
  if (summary.status === 'trial') return summary.slots * summary.share;
  const isServing = summary.status === 'active' || summary.status === 'suspect';
  return isServing && !isListed ? summary.slots : 0;
}

/** Slots in service by target. A target that two homes claim counts once, with the lower claim. */
export function countCapacity(view: FloorView): ReadonlyMap<TargetId, number> {
  const listed = new Set(view.record.entries.map((entry) => entry.target));
  const counted = new Map<TargetId, number>();
  for (const summary of view.summaries) {
    if (!isFresh(summary, view.now)) continue;
    const slots = contribution(summary, listed.has(summary.target));
    const other = counted.get(summary.target);
    counted.set(summary.target, other === undefined ? slots : Math.min(other, slots));
  }
  return counted;
}

/** Only capacity that was removed by automatic ejection can be released automatically. */
function isReleasable(summary: TimestampedSummary): boolean {
  return summary.status === 'ejected' || summary.status === 'trial';
}

/** Sum of the slots in service. */
export function totalCapacity(view: FloorView): number {
  let sum = 0;
  countCapacity(view).forEach((slots) => {
    sum += slots;
  });
  return sum;
}

/** Decides whether an ejection keeps the floor. Pure: the same view gives the same result. */
export class FloorRule {
  /** Right if the capacity without the target stays at or above the floor, left with the count otherwise. */
  public static mayEject(view: FloorView, target: TargetId): Either<FloorCount, FloorCount> {
    const capacity = totalCapacity(view);
    const remaining = capacity - (countCapacity(view).get(target) ?? 0);
    const count = { capacity, remaining, floor: view.floor };
    return remaining >= view.floor ? right(count) : left(count);
  }

  /**
   * Ejected targets to release so that the floor is met again, lowest severity first. Each home decides for itself;
   * with different views the homes release too many rather than too few, which only adds capacity.
   */
  public static targetsToRelease(view: FloorView): readonly TargetId[] {
    let missing = view.floor - totalCapacity(view);
    const ejected = view.summaries
      .filter(isReleasable)
      .filter((summary) => isFresh(summary, view.now))
      .sort((one, other) => one.severity - other.severity || (one.target < other.target ? -1 : 1));
    const chosen: TargetId[] = [];
    for (const summary of ejected) {
      if (missing <= 0) break;
      chosen.push(summary.target);
      missing -= summary.slots * (1 - summary.share);
    }
    return chosen;
  }
}
