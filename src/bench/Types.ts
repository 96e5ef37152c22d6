/** Interfaces of the bench. */

/** One figure of one policy over several runs. */
export interface Figure {
  readonly policy: string;
  readonly median: number;
  readonly lowest: number;
  readonly highest: number;
  readonly runs: number;
}

/** One row of the report: a measure with limpettrack's figure beside the baselines of the same run. */
export interface Row {
  readonly measure: string;
  readonly unit: string;
  /** Goal as stated in docs/design.md 1.2, in words; empty if none is stated. */
  readonly goal: string;
  /** Whether limpettrack's figure meets the goal; absent if no goal is stated. */
  readonly isMet?: boolean;
  readonly figures: readonly Figure[];
  readonly seeds: readonly number[];
  /** What the figure leaves out. */
  readonly notMeasured?: string;
}

/** Group of rows that `npm run bench -- NAME` runs. */
export interface Scenario {
  readonly name: string;
  run(seeds: readonly number[]): Promise<readonly Row[]>;
}
