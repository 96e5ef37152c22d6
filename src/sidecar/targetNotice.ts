import type { HeaderPair } from '../common/dispatch/Types.js';
import { findHeader } from '../daemon/Headers.js';
import type { HeaderNames } from './Types.js';

/** Decimal number without sign or exponent. */
const ratePattern = /^\d+(\.\d+)?$/;
const leavingValue = '1';

/** What a target says of itself in the head of a response. */
export interface TargetNotice {
  /** Requests per second that it takes from all daemons together; undefined if it names no limit. */
  readonly rateLimit: number | undefined;
  /** Limit that cannot be read; the one in force stays. */
  readonly invalidLimit: string | undefined;
  /** The target leaves and must get no new requests. */
  readonly isLeaving: boolean;
}

/** Whether a response says that its target leaves. */
export function isFromLeavingTarget(
  headers: readonly HeaderPair[],
  names: Pick<HeaderNames, 'leaving'>,
): boolean {
  return findHeader(headers, names.leaving)?.trim() === leavingValue;
}

/** Reads the notice of a target from the headers of its response. */
export function readTargetNotice(
  headers: readonly HeaderPair[],
  names: Pick<HeaderNames, 'rateLimit' | 'leaving'>,
): TargetNotice {
  const text = findHeader(headers, names.rateLimit)?.trim();
  const rate = text !== undefined && ratePattern.test(text) ? Number(text) : NaN;
  const isValid = Number.isFinite(rate);
  return {
    rateLimit: isValid ? rate : undefined,
    invalidLimit: isValid ? undefined : text,
    isLeaving: isFromLeavingTarget(headers, names),
  };
}
