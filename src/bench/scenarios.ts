import { detection } from './scenarios/detection.js';
import { falseEjection } from './scenarios/falseEjection.js';
import type { Scenario } from './Types.js';

/** All scenarios, in the order of the report. */
export const scenarios: readonly Scenario[] = [detection, falseEjection];
