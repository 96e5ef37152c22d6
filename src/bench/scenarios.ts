import { crest } from './scenarios/crest.js';
import { decisionCost } from './scenarios/decisionCost.js';
import { headOfLine } from './scenarios/headOfLine.js';
import { hedging } from './scenarios/hedging.js';
import { quotas } from './scenarios/quotas.js';
import { retries } from './scenarios/retries.js';
import type { Scenario } from './Types.js';

/** All scenarios, in the order of the report. */
export const scenarios: readonly Scenario[] = [
  headOfLine,
  crest,
  retries,
  hedging,
  quotas,
  decisionCost,
];
