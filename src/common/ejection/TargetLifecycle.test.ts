import { expect } from 'chai';
import { brandAs, createRandom, pickIndex } from '../base/index.js';
import type { ServiceName, TargetId } from '../base/index.js';
import type { Verdict } from '../health/index.js';
import { stateCatalogue } from './StateCatalogue.js';
import { TargetLifecycle } from './TargetLifecycle.js';

function verdictOf(health: Verdict['health']): Verdict {
  const reason = { cause: 'errors' as const, errorRate: 0, slowShare: 0, samples: 50, peers: 7 };
  return { health, severity: 0, reason: { ...reason, score: 0 } };
}

type Step = (lifecycle: TargetLifecycle, now: number) => void;

/** Ejects as soon as the lifecycle requests it, as if the floor always allowed it. */
const evaluate =
  (health: Verdict['health']): Step =>
  (lifecycle, now) => {
    if (lifecycle.advance(verdictOf(health), now) === 'eject') lifecycle.eject(now);
  };

const steps: Readonly<Record<string, Step>> = {
  starting: (lifecycle, now) => lifecycle.announce('starting', false, now),
  active: (lifecycle, now) => lifecycle.announce('active', false, now),
  draining: (lifecycle, now) => lifecycle.announce('draining', false, now),
  'restart-starting': (lifecycle, now) => lifecycle.announce('starting', true, now),
  'restart-active': (lifecycle, now) => lifecycle.announce('active', true, now),
  healthy: evaluate('healthy'),
  uncertain: evaluate('uncertain'),
  suspect: evaluate('suspect'),
  sick: evaluate('sick'),
  depart: (lifecycle, now) => lifecycle.markGone(now),
  restore: (lifecycle, now) => lifecycle.restore(now),
  listed: (lifecycle, now) => lifecycle.markListed(now),
  release: (lifecycle, now) => lifecycle.releaseForFloor(now),
  refuse: (lifecycle, now) => {
    lifecycle.advance(verdictOf('sick'), now);
    lifecycle.keepInService(now);
  },
  hold: (lifecycle, now) => lifecycle.setOperatorHold('eject', now),
  drain: (lifecycle, now) => lifecycle.setOperatorHold('drain', now),
  lift: (lifecycle, now) => lifecycle.setOperatorHold(undefined, now),
};

/** Runs steps such as `0 active, 2-9 healthy`: at 0 s `active`, then `healthy` each second from 2 s to 9 s. */
function run(script: string): TargetLifecycle {
  const lifecycle = new TargetLifecycle(brandAs<TargetId>('t'), brandAs<ServiceName>('s'));
  script.split(', ').forEach((part) => {
    const [times = '', name = ''] = part.split(' ');
    const [from = 0, to = from] = times.split('-').map(Number);
    for (let second = from; second <= to; second += 1) steps[name]?.(lifecycle, second * 1000);
  });
  return lifecycle;
}

const ejected = '0 active, 0 sick, 2 sick';
const suspect = '0 active, 0 sick';

describe('TargetLifecycle', () => {
  const cases: readonly (readonly [name: string, script: string, state: string, share?: number])[] =
    [
      ['a starting target gets a reduced share', '0 starting', 'starting', 1 / 4],
      ['a start waits until the target announces active', '0 starting, 1-60 healthy', 'starting'],
      ['a start ends after two steps', '0 starting, 1 active, 2-10 healthy', 'active'],
      ['a start that fails requests is suspect', '0 starting, 1 suspect', 'suspect'],
      [
        'a new incarnation is cold even if it announces active',
        '0 active, 1 restart-active',
        'starting',
      ],
      ['suspicion is immediate', suspect, 'suspect', 1],
      ['ejection waits for evidence from the peers', `${suspect}, 1.9 sick`, 'suspect'],
      ['strong evidence ejects', ejected, 'ejected', 0],
      ['weak evidence alone does not eject', '0 active, 1-30 suspect', 'suspect'],
      ['one good answer does not end a suspicion', `${suspect}, 2 healthy`, 'suspect'],
      ['a suspicion ends without evidence', `${suspect}, 7 healthy`, 'active'],
      [
        'a suspicion that recurs within 60 s ejects',
        '0 active, 1 suspect, 7 healthy, 20-22 suspect',
        'ejected',
      ],
      [
        'a suspicion that recurs later does not eject',
        '0 active, 1 suspect, 7 healthy, 70-72 suspect',
        'suspect',
      ],
      ['the hold ends in a trial', `${ejected}, 7 healthy`, 'trial', 1 / 16],
      ['a trial advances in steps', `${ejected}, 7-17 healthy`, 'trial', 1 / 4],
      ['a trial ends in full service', `${ejected}, 7-27 healthy`, 'active', 1],
      ['an uncertain trial does not advance', `${ejected}, 7-27 uncertain`, 'trial', 1 / 16],
      ['the second hold is longer', `${ejected}, 7 healthy, 8 suspect, 17.9 healthy`, 'ejected'],
      [
        'a target that fails its trial at the floor serves as a suspect',
        `${ejected}, 7 healthy, 8 refuse`,
        'suspect',
        1,
      ],
      ['a floor release restores the full share', `${ejected}, 3 release`, 'suspect', 1],
      ['a listed target of another home enters a trial', '0 active, 1 listed', 'trial'],
      ['leaving and returning keeps the hold', `${ejected}, 3 depart, 4 active`, 'ejected'],
      ['leaving and returning keeps the trial', `${ejected}, 3 depart, 9 active`, 'trial'],
      ['a restart does not end a hold', `${ejected}, 3 restart-active`, 'ejected'],
      ['an operator can hold a target', '0 active, 1 hold, 2-600 healthy', 'held', 0],
      [
        'an operator hold persists over a restart',
        '0 active, 1 hold, 2 depart, 3 restart-starting',
        'held',
      ],
      ['lifting a hold starts a trial', '0 active, 1 hold, 2 lift', 'trial'],
      ['an operator can drain a target', '0 active, 1 drain', 'draining', 0],
      ['restoring an ejected target starts a trial', `${ejected}, 3 restore`, 'trial'],
      ['restoring a suspect clears it', `${suspect}, 1 restore`, 'active'],
      ['a draining target gets no new work', '0 active, 1 draining', 'draining', 0],
      ['a target that left is gone', '0 active, 1 depart', 'gone', 0],
    ];
  cases.forEach(([name, script, state, share]) => {
    it(`${name}: ${script}`, () => {
      const lifecycle = run(script);
      expect(lifecycle.state).to.equal(state);
      if (share !== undefined) expect(lifecycle.share).to.equal(share);
    });
  });

  it('doubles holds up to 5 min and halves them after 10 min of health', () => {
    const lifecycle = run('0 active');
    const holds: number[] = [];
    let now = 0;
    const ejectAndReturn = (health: number) => {
      holds.push(lifecycle.eject(now));
      now += 400_000;
      for (let step = 0; step < 5; step += 1) {
        lifecycle.advance(verdictOf('healthy'), now);
        now += 5_000;
      }
      now += health;
    };
    [0, 0, 0, 0, 0, 0, 0, 600_000, 600_000, 1_200_000, 0].forEach(ejectAndReturn);
    expect(holds.map((duration) => duration / 1000)).to.deep.equal([
      5, 10, 20, 40, 80, 160, 300, 300, 150, 150, 75,
    ]);
  });

  it('makes only the transitions that the catalogue lists', () => {
    const all = [...Object.values(steps), evaluate('healthy'), evaluate('healthy')];
    [11, 23, 37].forEach((seed) => {
      const random = createRandom(seed);
      const lifecycle = run('');
      const seen = new Set<string>();
      lifecycle.onTransition(({ from, to }) => {
        if (from !== to) seen.add(`${from} -> ${to}`);
      });
      for (let now = 0; now < 20_000_000; now += 1_000) {
        all[pickIndex(random, all.length)]?.(lifecycle, now);
      }
      const listed = stateCatalogue.flatMap(({ state, next }) =>
        next.map((to) => `${state} -> ${to}`),
      );
      expect(
        [...seen].filter((move) => !listed.includes(move)),
        `seed ${seed}`,
      ).to.deep.equal([]);
      expect(seen.size).to.be.greaterThan(25);
    });
  });
});
