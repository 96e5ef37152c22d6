import { expect } from 'chai';
import { createRandom } from '../../common/base/Random.js';
import { injectFaults } from './Faults.js';
import type { Variant } from './SimulatedDaemon.js';
import { SimulatedFleet } from './SimulatedFleet.js';
import type { Violation } from './Types.js';
import { brokenGuards } from './Variants.js';

const seeds = [101, 102, 103, 104, 105, 106, 107, 108];
/** Milliseconds with faults and without. */
const faultyTime = 90_000;
const quietTime = 20_000;
const callers = 24;

async function run(seed: number, variant?: Variant): Promise<SimulatedFleet> {
  const random = createRandom(seed);
  const fleet = new SimulatedFleet({ random, callers, variant });
  await fleet.clock.advanceAsync(3000);
  injectFaults(fleet, random, faultyTime);
  await fleet.clock.advanceAsync(faultyTime + quietTime);
  return fleet;
}

describe('histories of keyed operations', () => {
  seeds.forEach((seed) => {
    it(`keep every rule under faults, seed ${seed}`, async () => {
      const fleet = await run(seed);
      expect(fleet.history.check()).to.deep.equal([]);
      // A run in which nothing succeeds or fails would show nothing.
      ['done', 'not-run', 'unknown', 'mismatch'].forEach((outcome) =>
        expect(fleet.history.count(outcome), outcome).to.be.greaterThan(0),
      );
    }).timeout(120_000);
  });

  brokenGuards.forEach(({ guard, breaks, variant }) => {
    it(`show when it does not hold that ${guard}`, async () => {
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
