import { configuration } from './scenarios/configuration.js';
import { peakLoad } from './scenarios/peakLoad.js';
import { decisionCost } from './scenarios/decisionCost.js';
import { detection } from './scenarios/detection.js';
import { falseEjection } from './scenarios/falseEjection.js';
import { headOfLine } from './scenarios/headOfLine.js';
import { hedging } from './scenarios/hedging.js';
import { hop } from './scenarios/hop.js';
import { loopback } from './scenarios/loopback.js';
import { agreement, membership } from './scenarios/membership.js';
import { operations } from './scenarios/operations.js';
import { quotas } from './scenarios/quotas.js';
import { reachability } from './scenarios/reachability.js';
import { retries } from './scenarios/retries.js';
import type { Scenario } from './Types.js';

/** All scenarios, in the order of the report. */
export const scenarios: readonly Scenario[] = [
  headOfLine,
  peakLoad,
  retries,
  hedging,
  operations,
  loopback,
  hop,
  membership,
  agreement,
  configuration,
  detection,
  falseEjection,
  quotas,
  reachability,
  decisionCost,
];
