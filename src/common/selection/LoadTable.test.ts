import { expect } from 'chai';
import { brandAs, VirtualClock, type TargetId } from '../base/index.js';
import type { TargetEntry, TargetLoad } from '../services/Types.js';
import { LoadTable } from './LoadTable.js';

const id = brandAs<TargetId>('t');
const target = { id, slots: 5 } as TargetEntry;

function createLoad(short: number, long: number): TargetLoad {
  const part = { queued: 0, serviceTime: 100 };
  return {
    queued: 0,
    running: short + long,
    slots: 5,
    serviceTime: 100,
    short: { ...part, running: short },
    long: { ...part, running: long },
    isLong: false,
  };
}

describe('LoadTable', () => {
  const ages = [
    { name: 'counts a fresh report in full', age: 0, total: 4 },
    { name: 'halves the load of other entries after two service times', age: 200, total: 2 },
    { name: 'counts no load of other entries after ten half-lives', age: 2_000, total: 0 },
  ];
  ages.forEach(({ name, age, total }) => {
    it(`${name}, so that an old report does not keep a target idle`, () => {
      const clock = new VirtualClock();
      const table = new LoadTable(clock);
      table.sent(id, 'r');
      table.ended(id, createLoad(4, 0), 'r');
      clock.advance(age);
      expect(table.estimate(target, 'r').total).to.be.closeTo(total, 0.01);
      expect(table.estimate(target, 'r').age).to.equal(age);
    });
  });

  it('counts own outstanding requests at any age, so that a silent target does not attract all requests', () => {
    const clock = new VirtualClock();
    const table = new LoadTable(clock);
    for (let index = 0; index < 3; index += 1) table.sent(id, 'r');
    clock.advance(60_000);
    expect(table.estimate(target, 'r').total).to.equal(3);
  });

  it('does not count own requests twice when a report contains them', () => {
    const table = new LoadTable(new VirtualClock());
    for (let index = 0; index < 3; index += 1) table.sent(id, 'r');
    table.ended(id, createLoad(2, 0), 'r');
    expect(table.estimate(target, 'r').total).to.equal(2);
  });

  it('subtracts the slots of long work from those of short work', () => {
    const table = new LoadTable(new VirtualClock());
    table.ended(id, createLoad(0, 3), 'r');
    expect(table.estimate(target, 'r').slots).to.equal(2);
  });

  it('records failures and lets them decay, so that a target that fails fast does not attract requests', () => {
    const clock = new VirtualClock();
    const table = new LoadTable(clock);
    for (let index = 0; index < 10; index += 1) table.failed(id);
    const fresh = table.estimate(target).failureShare;
    clock.advance(5_000);
    expect(fresh).to.be.above(0.8);
    expect(table.estimate(target).failureShare).to.be.closeTo(fresh / 2, 0.001);
  });
});
