import { HedgePolicy } from '../../common/retry/HedgePolicy.js';
import { RetryBudget } from '../../common/retry/RetryBudget.js';
import type { RetryLimiter } from '../../common/retry/Types.js';
import { BaselineEntry, createLeastOutstanding, createRoundRobin } from './BaselineEntry.js';
import { AdmissionFleet } from './AdmissionFleet.js';
import { FleetEntry } from './FleetEntry.js';
import { HedgedEntry } from './HedgedEntry.js';
import { Traffic } from './Traffic.js';
import type { Observation, RunSettings, SimulatedEntry } from './Types.js';

/** Policy under test: its name in the report, and a factory for its entries. */
export interface Policy {
  readonly name: string;
  create(fleet: AdmissionFleet, index: number): SimulatedEntry;
}

/** Result of one run. */
export interface Run {
  readonly fleet: AdmissionFleet;
  readonly observations: readonly Observation[];
}

/** Maximum number of retries of the baselines per request. */
const baselineRetries = 3;

/** The policy of limpettrack itself. */
export const limpettrack: Policy = {
  name: 'limpettrack',
  create: (fleet, index) => new FleetEntry(fleet, index, new RetryBudget(() => 0.1, fleet.clock)),
};

/** Like limpettrack, but without a retry budget. */
export const unlimitedRetries: Policy = {
  name: 'limpettrack without budget',
  create: (fleet, index) => {
    const unlimitedBudget: RetryLimiter = { recordRequest: () => {}, takeRetry: () => true };
    return new FleetEntry(fleet, index, unlimitedBudget);
  },
};

/** Like limpettrack, with hedging of slow requests from the same retry budget. */
export const hedged: Policy = {
  name: 'limpettrack with hedging',
  create: (fleet, index) => {
    const budget = new RetryBudget(() => 0.1, fleet.clock);
    const inner = new FleetEntry(fleet, index, budget);
    const policy = new HedgePolicy({ isEnabled: () => true, isLong: () => false });
    return new HedgedEntry(fleet, inner, policy, budget);
  },
};

/** Round robin over the targets. */
export const roundRobin: Policy = {
  name: 'round robin',
  create: (fleet, index) => new BaselineEntry(fleet, createRoundRobin(index), baselineRetries),
};

/** Fewest outstanding requests of the entry. */
export const leastOutstanding: Policy = {
  name: 'least outstanding requests',
  create: (fleet) =>
    new BaselineEntry(fleet, createLeastOutstanding(fleet.random), baselineRetries),
};

/** Runs the traffic of `settings` against a new fleet with the given policy. */
export function runPolicy(policy: Policy, settings: RunSettings, seed: number): Run {
  const fleet = new AdmissionFleet(settings.size, seed);
  const entries = Array.from({ length: settings.size.entries }, (_, index) =>
    policy.create(fleet, index),
  );
  return { fleet, observations: new Traffic(fleet, entries, settings).run() };
}
