import { expect } from 'chai';
import { SimulatedFleet, type SimulatedLoad } from '../testing/SimulatedFleet.js';

const loadAmplitude = 0.55;
const loadPeriod = 15_000;
/** Retry budget of the deployments: a ratio to the requests plus a number per window of 10 s. */
const budget = { ratio: 0.2, slack: 60, window: 10 };

/** Auction site: 3 in 10 targets hang for 9 s each in rotation and lose 75 % of their requests. */
const auctionLoad: Omit<SimulatedLoad, 'seed' | 'rateFactor'> = {
  services: { catalogo: 8, pujas: 8, archivo: 8 },
  slots: 5,
  duration: 30,
  hangs: { share: 0.3, loss: 0.75, period: 9_000 },
  classes: [
    {
      name: 'browse',
      service: 'catalogo',
      rate: 12.7,
      work: 560,
      goal: 2_000,
      timeout: 4_000,
      deadline: 8_000,
      isIdempotent: true,
      rank: 2,
      calls: 'ledger',
    },
    {
      name: 'bid',
      service: 'pujas',
      rate: 28,
      work: 420,
      goal: 2_000,
      timeout: 4_000,
      deadline: 8_000,
      isIdempotent: false,
      rank: 1,
      calls: 'photos',
    },
    {
      name: 'detail',
      service: 'archivo',
      rate: 10.8,
      work: 170,
      goal: 1_200,
      timeout: 4_000,
      deadline: 4_000,
      isIdempotent: true,
      rank: 1,
    },
    {
      name: 'ledger',
      service: 'pujas',
      rate: 0,
      work: 120,
      goal: 600,
      timeout: 1_500,
      deadline: 1_500,
      isIdempotent: true,
      rank: 1,
    },
    {
      name: 'photos',
      service: 'archivo',
      rate: 0,
      work: 120,
      goal: 600,
      timeout: 1_500,
      deadline: 1_500,
      isIdempotent: true,
      rank: 1,
    },
  ],
};

/** Milliseconds after which a limit binds, and the window in which starts are counted. */
const stableWindow = 3_000;
const limitWindow = 4_000;

/** Starts in a window that the users allow a target that takes `rate` requests per second. */
function allowedStarts(rate: number): number {
  return (1.5 * rate * limitWindow) / 1_000 + 5;
}

/** Shares of the requests of a class that were answered, and answered within the target latency. */
function servedShares(fleet: SimulatedFleet, name: string): { served: number; timely: number } {
  const { sent = 1, served = 0, withinGoal: timely = 0 } = fleet.results.get(name) ?? {};
  return { served: served / sent, timely: timely / sent };
}

async function runFleet(
  loadFactor: number,
  change: Partial<SimulatedLoad> = {},
): Promise<SimulatedFleet> {
  const fleet = new SimulatedFleet({
    ...auctionLoad,
    seed: 11,
    rateFactor: (time) =>
      loadFactor * (1 + loadAmplitude * Math.sin((2 * Math.PI * time) / loadPeriod)),
    ...change,
  });
  await fleet.run();
  return fleet;
}

describe('fleet in which targets hang in rotation', () => {
  const healthyShare = 1 - auctionLoad.hangs.share;
  const loads = [
    { name: 'normal load', loadFactor: 1, least: 0.85 },
    // Under overload the bound is the capacity of the healthy targets.
    { name: 'peak load', loadFactor: 1.3, least: healthyShare },
  ];
  loads.forEach(({ name, loadFactor, least }) => {
    it(`serves all request classes under ${name}, runs bids at most once and stays within the retry budget`, async () => {
      const fleet = await runFleet(loadFactor);
      ['bid', 'browse', 'detail'].forEach((kind) => {
        expect(servedShares(fleet, kind).served, kind).to.be.at.least(least);
      });
      expect(fleet.duplicateStarts).to.deep.equal([]);
      const sent = [...fleet.results.values()].reduce((sum, result) => sum + result.sent, 0);
      const windows = auctionLoad.duration / budget.window;
      const services = Object.keys(auctionLoad.services).length;
      const allowed = budget.ratio * sent + budget.slack * windows * services;
      expect(fleet.retries).to.be.at.most(allowed);
    });
  });

  it('loses fewer than half of the bids that random target selection would lose', async () => {
    const fleet = await runFleet(1);
    const { sent = 1, failed = 0 } = fleet.results.get('bid') ?? {};
    const { share, loss } = auctionLoad.hangs;
    expect(failed / sent).to.be.below((share * loss) / 2);
  });

  it('keeps to the rate limits that targets name and serves the rest elsewhere', async () => {
    const limits = { service: 'catalogo', share: 0.7, rate: 1 };
    const fleet = await runFleet(1, { limits });
    const limited = [...Array(24).keys()].filter((index) => fleet.rateLimitOf(index) !== undefined);
    expect(limited).to.have.length(6);
    const excess = limited.filter((index) => {
      const times = fleet.startsAt(index).filter((time) => time >= stableWindow);
      return times.some(
        (from) =>
          times.filter((time) => time >= from && time < from + limitWindow).length >
          allowedStarts(limits.rate),
      );
    });
    expect(excess).to.deep.equal([]);
    expect(servedShares(fleet, 'browse').served).to.be.at.least(0.85);
  });

  it('serves nearly all requests when all targets are healthy, so that health checks cost no capacity', async () => {
    const fleet = await runFleet(1, { hangs: { share: 0, loss: 0, period: 9_000 } });
    expect(servedShares(fleet, 'bid').served).to.be.at.least(0.97);
    expect(servedShares(fleet, 'bid').timely).to.be.at.least(0.9);
  });
});
