import { expect } from 'chai';
import { brandAs, createRandom } from '../base/index.js';
import type { DaemonId } from '../base/index.js';
import { IndirectProber } from './IndirectProber.js';

/** Result of each daemon asked: reachable, unreachable, or no response. */
type ProbeResults = readonly (boolean | undefined)[];

describe('IndirectProber', () => {
  const cases: readonly { here: boolean; there: ProbeResults; diagnosis: string }[] = [
    { here: false, there: [false, false, false], diagnosis: 'target-faulty' },
    { here: false, there: [true, true, true], diagnosis: 'path-faulty' },
    { here: false, there: [true, undefined], diagnosis: 'path-faulty' },
    { here: false, there: [undefined, false], diagnosis: 'target-faulty' },
    { here: false, there: [undefined, undefined], diagnosis: 'unclear' },
    { here: false, there: [], diagnosis: 'target-faulty' },
    { here: true, there: [true, true], diagnosis: 'target-faulty' },
  ];
  cases.forEach(({ here, there, diagnosis }) => {
    it(`returns ${diagnosis} if the own probe is ${here} and the others are ${there.join(', ')}`, async () => {
      let asked = 0;
      const prober = new IndirectProber({
        others: () => there.map((_, index) => brandAs<DaemonId>(String(index))),
        probeFrom: async (daemon) => {
          asked += 1;
          const isReachable = there[Number(daemon)];
          return isReachable === undefined ? undefined : { isReachable };
        },
        probeHere: async () => ({ isReachable: here }),
        random: createRandom(11),
      });
      const diagnoses = await Promise.all([prober.diagnose('a:1'), prober.diagnose('a:1')]);
      expect(diagnoses).to.deep.equal([diagnosis, diagnosis]);
      expect(asked, 'concurrent calls share one round').to.equal(Math.min(2, there.length));
    });
  });
});
