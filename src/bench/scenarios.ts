import { crest } from './scenarios/crest.js';
import { detection } from './scenarios/detection.js';
import { falseEjection } from './scenarios/falseEjection.js';
import { headOfLine } from './scenarios/headOfLine.js';
import { hedging } from './scenarios/hedging.js';
import { operations } from './scenarios/operations.js';
import { retries } from './scenarios/retries.js';
import type { Scenario } from './Types.js';

/** All scenarios, in the order of the report. */
export const scenarios: readonly Scenario[] = [
  headOfLine,
  crest,
  retries,
  hedging,
  operations,
  detection,
  falseEjection,
];
