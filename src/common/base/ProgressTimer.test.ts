import { expect } from 'chai';
import { ProgressTimer } from './ProgressTimer.js';
import { VirtualClock } from './VirtualClock.js';

describe('ProgressTimer', () => {
  const limits = { idle: 100, total: 450 };
  const cases: readonly {
    readonly name: string;
    /** Times at which progress is recorded. */
    readonly progress: readonly number[];
    readonly expires: number;
  }[] = [
    { name: 'without progress', progress: [], expires: 100 },
    { name: 'after the last progress', progress: [60, 130], expires: 230 },
    {
      name: 'at the total limit despite progress',
      progress: [90, 180, 270, 360, 440],
      expires: 450,
    },
  ];
  cases.forEach(({ name, progress, expires }) => {
    it(`expires ${name}`, () => {
      const clock = new VirtualClock();
      const times: number[] = [];
      const timer = new ProgressTimer(clock, limits, () => times.push(clock.elapsed()));
      progress.forEach((time) => clock.after(time, () => timer.recordProgress()));
      clock.advance(2_000);
      expect(times).to.deep.equal([expires]);
    });
  });

  it('does not expire once it is disposed', () => {
    const clock = new VirtualClock();
    let count = 0;
    const timer = new ProgressTimer(clock, limits, () => {
      count += 1;
    });
    clock.after(50, () => timer.dispose());
    clock.advance(2_000);
    expect(count).to.equal(0);
  });
});
