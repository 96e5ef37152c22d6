import { expect } from 'chai';
import { SimulatedFleet, type SimulatedLoad } from '../testing/SimulatedFleet.js';

const swing = 0.55;
const swingPeriod = 15_000;
/** Retry budget of the deployments: a share of the requests and a number in each ten seconds. */
const budget = { ratio: 0.2, slack: 60, window: 10 };

/** Auction floor: 3 in 10 targets hang in turns of 9 s and lose three quarters of their requests. */
const auction: Omit<SimulatedLoad, 'seed' | 'crest'> = {
  services: { catalogo: 8, pujas: 8, archivo: 8 },
  slots: 5,
  duration: 30,
  sick: { share: 0.3, loss: 0.75, period: 9_000 },
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

/** Shares of the requests of a class that were answered, and in time. */
function sharesOf(fleet: SimulatedFleet, name: string): { served: number; timely: number } {
  const { sent = 1, served = 0, timely = 0 } = fleet.results.get(name) ?? {};
  return { served: served / sent, timely: timely / sent };
}

async function play(scale: number, change: Partial<SimulatedLoad> = {}): Promise<SimulatedFleet> {
  const fleet = new SimulatedFleet({
    ...auction,
    seed: 11,
    crest: (time) => scale * (1 + swing * Math.sin((2 * Math.PI * time) / swingPeriod)),
    ...change,
  });
  await fleet.play();
  return fleet;
}

describe('load of a fleet in which targets hang in turns', () => {
  const healthyShare = 1 - auction.sick.share;
  const loads = [
    { name: 'an ordinary day', scale: 1, least: 0.85 },
    // What the healthy targets can carry is the bound of an overload.
    { name: 'the heaviest day', scale: 1.3, least: healthyShare },
  ];
  loads.forEach(({ name, scale, least }) => {
    it(`serves each kind of request on ${name}, runs bids once and keeps the retry budget`, async () => {
      const fleet = await play(scale);
      ['bid', 'browse', 'detail'].forEach((kind) => {
        expect(sharesOf(fleet, kind).served, kind).to.be.at.least(least);
      });
      expect(fleet.twice).to.deep.equal([]);
      const sent = [...fleet.results.values()].reduce((sum, result) => sum + result.sent, 0);
      const windows = auction.duration / budget.window;
      const services = Object.keys(auction.services).length;
      const allowed = budget.ratio * sent + budget.slack * windows * services;
      expect(fleet.repeats).to.be.at.most(allowed);
    });
  });

  it('loses fewer than half of the bids that a blind choice would lose', async () => {
    const fleet = await play(1);
    const { sent = 1, failed = 0 } = fleet.results.get('bid') ?? {};
    const { share, loss } = auction.sick;
    expect(failed / sent).to.be.below((share * loss) / 2);
  });

  it('serves nearly all when no target is sick, or caution costs healthy capacity', async () => {
    const fleet = await play(1, { sick: { share: 0, loss: 0, period: 9_000 } });
    expect(sharesOf(fleet, 'bid').served).to.be.at.least(0.97);
    expect(sharesOf(fleet, 'bid').timely).to.be.at.least(0.9);
  });
});
