import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { SystemClock } from './SystemClock.js';

describe('SystemClock', () => {
  it('does not fire a timer at once whose delay is too large for the platform', async () => {
    const fired: string[] = [];
    const timer = new SystemClock().after(1e15, () => fired.push('too large'));
    await sleep(20);
    await nextTurn();
    timer.dispose();
    expect(fired).to.deep.equal([]);
  });
});
