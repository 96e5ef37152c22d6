import type { Figure } from './Types.js';

/** Quantile of unsorted values by the nearest-rank method; `share` in (0, 1]. NaN without values. */
export function quantile(values: readonly number[], share: number): number {
  if (values.length === 0) return NaN;
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? NaN;
}

/** Median, minimum and maximum of values, one per run. */
export function summarise(policy: string, values: readonly number[]): Figure {
  return {
    policy,
    median: quantile(values, 0.5),
    lowest: Math.min(...values),
    highest: Math.max(...values),
    runs: values.length,
  };
}
