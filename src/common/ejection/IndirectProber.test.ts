import { expect } from 'chai';
import { brandAs, createRandom } from '../base/index.js';
import type { DaemonId } from '../base/index.js';
import { IndirectProber } from './IndirectProber.js';

/** Answer of each daemon asked: reached, not reached, or no answer. */
type Answers = readonly (boolean | undefined)[];

describe('SecondOpinion', () => {
  const cases: readonly { here: boolean; there: Answers; opinion: string }[] = [
    { here: false, there: [false, false, false], opinion: 'target-faulty' },
    { here: false, there: [true, true, true], opinion: 'path-faulty' },
    { here: false, there: [true, undefined], opinion: 'path-faulty' },
    { here: false, there: [undefined, false], opinion: 'target-faulty' },
    { here: false, there: [undefined, undefined], opinion: 'unclear' },
    { here: false, there: [], opinion: 'target-faulty' },
    { here: true, there: [true, true], opinion: 'target-faulty' },
  ];
  cases.forEach(({ here, there, opinion }) => {
    it(`is ${opinion} if own probe is ${here} and others give ${there.join(', ')}`, async () => {
      let asked = 0;
      const second = new IndirectProber({
        others: () => there.map((_, index) => brandAs<DaemonId>(String(index))),
        probeFrom: async (daemon) => {
          asked += 1;
          const isReachable = there[Number(daemon)];
          return isReachable === undefined ? undefined : { isReachable };
        },
        probeHere: async () => ({ isReachable: here }),
        random: createRandom(11),
      });
      const answers = await Promise.all([second.diagnose('a:1'), second.diagnose('a:1')]);
      expect(answers).to.deep.equal([opinion, opinion]);
      expect(asked, 'a burst costs one round').to.equal(Math.min(2, there.length));
    });
  });
});
