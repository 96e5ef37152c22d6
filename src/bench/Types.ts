/** Interfaces of the benchmarks and of the report, which is written as JSON. */

/** Summary of one measured value of one policy over several runs. */
export interface Figure {
  readonly policy: string;
  readonly median: number;
  readonly lowest: number;
  readonly highest: number;
  readonly runs: number;
}

/** Row of the report: one measure, with the figures of limpettrack and of the baselines in the same runs. */
export interface Row {
  readonly measure: string;
  readonly unit: string;
  /** Goal as worded in docs/design.md 1.2; empty if there is none. */
  readonly goal: string;
  /** Whether limpettrack meets the goal; absent if there is none. */
  readonly isMet?: boolean;
  readonly figures: readonly Figure[];
  readonly seeds: readonly number[];
  /** What the figures do not include. */
  readonly notMeasured?: string;
}

/** Scenario that `npm run bench -- NAME` runs; it yields a group of rows. */
export interface Scenario {
  readonly name: string;
  run(seeds: readonly number[]): Promise<readonly Row[]>;
}
