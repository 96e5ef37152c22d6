import { expect } from 'chai';
import { VirtualClock } from './VirtualClock.js';

describe('VirtualClock', () => {
  const cases = [
    {
      name: 'fires timers in order of due time, not of creation',
      delays: [30, 10, 20],
      to: 30,
      order: [1, 2, 0],
    },
    {
      name: 'keeps creation order for equal due times',
      delays: [10, 10, 10],
      to: 10,
      order: [0, 1, 2],
    },
    { name: 'does not fire a timer that is not due', delays: [5, 11], to: 10, order: [0] },
  ];
  cases.forEach(({ name, delays, to, order }) => {
    it(name, () => {
      const clock = new VirtualClock();
      const fired: number[] = [];
      delays.forEach((delay, index) => clock.after(delay, () => fired.push(index)));
      clock.advance(to);
      expect(fired).to.deep.equal(order);
      expect(clock.elapsed()).to.equal(to);
    });
  });

  it('does not fire a disposed timer', () => {
    const clock = new VirtualClock();
    let count = 0;
    clock
      .after(5, () => {
        count += 1;
      })
      .dispose();
    clock.advance(10);
    expect(count).to.equal(0);
  });
});
