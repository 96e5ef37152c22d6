import { expect } from 'chai';
import { SimulatedFleet, type SimulatedLoad } from '../testing/SimulatedFleet.js';

/** Window of the users' floor of targets in use, in milliseconds, and the share that must get requests in it. */
const floorWindow = 2_000;
const floorShare = 0.7;
/** Milliseconds after a hang from which a target counts again. */
const recovery = 2_000;
/** Milliseconds in which the entries learn of the targets. */
const warmUp = 6_000;

/** Calls that targets make while they run a request. */
const call = {
  rate: 0,
  work: 220,
  goal: 829,
  timeout: 2_592,
  deadline: 2_592,
  isIdempotent: true,
  rank: 1,
};

/** Auction site after its growth, on a quiet day: far more targets than the load needs. */
const quietLoad: SimulatedLoad = {
  seed: 5,
  services: { catalogo: 26, pujas: 33, archivo: 9 },
  slots: 7,
  retrySlack: 156,
  duration: 26,
  hangs: { share: 0.3, loss: 0.75, period: 9_000 },
  rateFactor: () => 1,
  classes: [
    {
      name: 'browse',
      service: 'catalogo',
      rate: 30,
      work: 940,
      goal: 4_032,
      timeout: 8_000,
      deadline: 12_096,
      isIdempotent: true,
      rank: 2,
      calls: 'ledger',
    },
    {
      name: 'bid',
      service: 'pujas',
      rate: 66,
      work: 710,
      goal: 4_031,
      timeout: 8_000,
      deadline: 12_092,
      isIdempotent: false,
      rank: 1,
      calls: 'photos',
    },
    {
      name: 'detail',
      service: 'archivo',
      rate: 26,
      work: 290,
      goal: 2_030,
      timeout: 6_000,
      deadline: 6_090,
      isIdempotent: true,
      rank: 1,
    },
    { ...call, name: 'ledger', service: 'pujas' },
    { ...call, name: 'photos', service: 'archivo' },
  ],
};

describe('use of the targets of a fleet', () => {
  [5, 17, 29].forEach((seed) => {
    it(`keeps at least ${floorShare} of the sound targets of each service in use, seed ${seed}`, async function test() {
      this.timeout(120_000);
      const fleet = new SimulatedFleet({ ...quietLoad, seed });
      await fleet.run();
      const use = fleet.targetUse(warmUp, floorWindow, recovery);
      const low = use.filter(({ sound, used }) => used < floorShare * sound);
      expect(low).to.deep.equal([]);
    });
  });
});
