import { expect } from 'chai';
import { createRandom } from '../../common/base/Random.js';
import { injectFaults } from './Faults.js';
import type { Variant } from './SimulatedDaemon.js';
import { SimulatedFleet } from './SimulatedFleet.js';
import type { Violation } from './Types.js';
import { brokenGuards } from './brokenGuards.js';

const seeds = [101, 102, 103, 104, 105, 106, 107, 108];
/** Duration of the phase with faults and of the one after it without. */
const faultDurationMs = 90_000;
const quietDurationMs = 20_000;
const callers = 24;

async function run(seed: number, variant?: Variant): Promise<SimulatedFleet> {
  const random = createRandom(seed);
  const fleet = new SimulatedFleet({ random, callers, variant });
  await fleet.clock.advanceAsync(3000);
  injectFaults(fleet, random, faultDurationMs);
  await fleet.clock.advanceAsync(faultDurationMs + quietDurationMs);
  return fleet;
}

describe('histories of keyed operations', () => {
  seeds.forEach((seed) => {
    it(`comply with all rules under faults, seed ${seed}`, async () => {
      const fleet = await run(seed);
      expect(fleet.history.check()).to.deep.equal([]);
      // The check is only meaningful if the run produces each outcome.
      ['done', 'not-run', 'unknown', 'mismatch'].forEach((outcome) =>
        expect(fleet.history.count(outcome), outcome).to.be.greaterThan(0),
      );
    }).timeout(120_000);
  });

  brokenGuards.forEach(({ guard, breaks, variant }) => {
    it(`detect a missing guard: ${guard}`, async () => {
      const found: Violation[] = [];
      for (const seed of seeds) {
        if (found.length === 0) {
          const violations = (await run(seed, variant)).history.check();
          found.push(...violations.filter(({ rule }) => rule === breaks));
        }
      }
      expect(found).not.to.deep.equal([]);
    }).timeout(120_000);
  });
});
