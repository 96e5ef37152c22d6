import { expect } from 'chai';
import { CostModel } from './CostModel.js';

function recordAll(cost: CostModel, route: string, count: number, time: number): void {
  for (let index = 0; index < count; index += 1) cost.record(route, time);
}

describe('CostModel', () => {
  const cases = [
    { name: 'counts an unknown route as short', records: [], isLong: false },
    {
      name: 'needs three samples to classify a route',
      records: [[2, 500] as const],
      isLong: false,
    },
    { name: 'learns that a route is long', records: [[6, 500] as const], isLong: true },
    {
      name: 'learns that a long route has become short',
      records: [[6, 500] as const, [60, 10] as const],
      isLong: false,
    },
    {
      name: 'counts a route at exactly four times the median as short',
      records: [[6, 40] as const],
      isLong: false,
    },
  ];
  cases.forEach(({ name, records, isLong }) => {
    it(`${name}, to separate short from long work`, () => {
      const cost = new CostModel();
      recordAll(cost, 'listing', 100, 10);
      records.forEach(([count, time]) => recordAll(cost, 'download', count, time));
      expect(cost.isLong('download')).to.equal(isLong);
    });
  });

  it('changes little after one straggler, so that requests are not refused because of it', () => {
    const cost = new CostModel();
    recordAll(cost, 'listing', 100, 10);
    cost.record('listing', 10_000);
    expect(cost.expected('listing')).to.be.below(20);
  });

  it('follows a lasting change of the costs', () => {
    const cost = new CostModel();
    recordAll(cost, 'listing', 100, 10);
    recordAll(cost, 'listing', 100, 100);
    expect(cost.expected('listing')).to.be.within(90, 101);
  });
});
