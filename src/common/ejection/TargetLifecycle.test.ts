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

const announce =
  (state: 'starting' | 'active' | 'draining', isNew = false): Step =>
  (lifecycle, now) =>
    lifecycle.announce(state, isNew, now);

/** Ejects as soon as the lifecycle asks for it, as if the floor always allowed it. */
const judge =
  (health: Verdict['health']): Step =>
  (lifecycle, now) => {
    if (lifecycle.advance(verdictOf(health), now) === 'eject') lifecycle.eject(now);
  };

const depart: Step = (lifecycle, now) => lifecycle.depart(now);
const restore: Step = (lifecycle, now) => lifecycle.restore(now);
const found: Step = (lifecycle, now) => lifecycle.foundInRecord(now);
const release: Step = (lifecycle, now) => lifecycle.releaseForFloor(now);
const refuse: Step = (lifecycle, now) => {
  lifecycle.advance(verdictOf('sick'), now);
  lifecycle.keepInService(now);
};
const hold =
  (value: 'eject' | 'drain' | undefined): Step =>
  (lifecycle, now) =>
    lifecycle.setOperatorHold(value, now);

/** Steps with their times in seconds. */
type Script = readonly (readonly [number, Step])[];

const ejected: Script = [
  [0, announce('active')],
  [1, judge('sick')],
  [2, judge('sick')],
];

function run(script: Script): TargetLifecycle {
  const lifecycle = new TargetLifecycle(brandAs<TargetId>('t'), brandAs<ServiceName>('s'));
  script.forEach(([seconds, step]) => step(lifecycle, seconds * 1000));
  return lifecycle;
}

function everySecond(from: number, to: number, step: Step): Script {
  return Array.from({ length: to - from + 1 }, (_, index) => [from + index, step] as const);
}

describe('TargetLifecycle', () => {
  const cases: readonly { name: string; script: Script; state: string; share?: number }[] = [
    {
      name: 'a start is not at once in full service',
      script: [[0, announce('starting')]],
      state: 'starting',
      share: 1 / 4,
    },
    {
      name: 'a start stays cold until the target says that it is active',
      script: [[0, announce('starting')], ...everySecond(1, 60, judge('healthy'))],
      state: 'starting',
    },
    {
      name: 'a start ends after two steps',
      script: [
        [0, announce('starting')],
        [1, announce('active')],
        ...everySecond(2, 10, judge('healthy')),
      ],
      state: 'active',
    },
    {
      name: 'a start that fails requests is suspect',
      script: [
        [0, announce('starting')],
        [1, judge('suspect')],
      ],
      state: 'suspect',
    },
    {
      name: 'a new process is cold even if it calls itself active',
      script: [
        [0, announce('active')],
        [1, announce('active', true)],
      ],
      state: 'starting',
    },
    { name: 'suspicion is immediate', script: ejected.slice(0, 2), state: 'suspect', share: 1 },
    {
      name: 'ejection waits for the peers to show a common cause',
      script: [...ejected.slice(0, 2), [1.5, judge('sick')]],
      state: 'suspect',
    },
    { name: 'strong evidence ejects', script: ejected, state: 'ejected', share: 0 },
    {
      name: 'weak evidence alone does not eject',
      script: [[0, announce('active')], ...everySecond(1, 30, judge('suspect'))],
      state: 'suspect',
    },
    {
      name: 'a suspicion does not end with the next good answer',
      script: [...ejected.slice(0, 2), [2, judge('healthy')]],
      state: 'suspect',
    },
    {
      name: 'a suspicion ends without evidence',
      script: [...ejected.slice(0, 2), [7, judge('healthy')]],
      state: 'active',
    },
    {
      name: 'a suspicion that returns within 60 s ejects',
      script: [
        [0, announce('active')],
        [1, judge('suspect')],
        [7, judge('healthy')],
        [20, judge('suspect')],
        [22, judge('suspect')],
      ],
      state: 'ejected',
    },
    {
      name: 'a suspicion that returns after 60 s does not eject',
      script: [
        [0, announce('active')],
        [1, judge('suspect')],
        [7, judge('healthy')],
        [70, judge('suspect')],
        [72, judge('suspect')],
      ],
      state: 'suspect',
    },
    {
      name: 'the hold ends in a trial',
      script: [...ejected, [7, judge('healthy')]],
      state: 'trial',
      share: 1 / 16,
    },
    {
      name: 'a trial grows',
      script: [...ejected, ...everySecond(7, 17, judge('healthy'))],
      state: 'trial',
      share: 1 / 4,
    },
    {
      name: 'a trial ends in full service',
      script: [...ejected, ...everySecond(7, 27, judge('healthy'))],
      state: 'active',
    },
    {
      name: 'a doubtful trial does not grow',
      script: [...ejected, ...everySecond(7, 27, judge('uncertain'))],
      state: 'trial',
      share: 1 / 16,
    },
    {
      name: 'the second hold is twice as long',
      script: [...ejected, [7, judge('healthy')], [8, judge('suspect')], [17.9, judge('healthy')]],
      state: 'ejected',
    },
    {
      name: 'a refused ejection of a trial leaves a suspect',
      script: [...ejected, [7, judge('healthy')], [8, refuse]],
      state: 'suspect',
      share: 1,
    },
    {
      name: 'a release below the floor gives the whole share back',
      script: [...ejected, [3, release]],
      state: 'suspect',
      share: 1,
    },
    {
      name: 'a target of another home that is listed starts a trial',
      script: [
        [0, announce('active')],
        [1, found],
      ],
      state: 'trial',
    },
    {
      name: 'leaving and returning does not end a hold',
      script: [...ejected, [3, depart], [4, announce('active')]],
      state: 'ejected',
    },
    {
      name: 'leaving and returning does not replace the trial',
      script: [...ejected, [3, depart], [9, announce('active')]],
      state: 'trial',
    },
    {
      name: 'a restart does not end a hold',
      script: [...ejected, [3, announce('active', true)]],
      state: 'ejected',
    },
    {
      name: 'an operator holds',
      script: [
        [0, announce('active')],
        [1, hold('eject')],
        ...everySecond(2, 600, judge('healthy')),
      ],
      state: 'held',
      share: 0,
    },
    {
      name: 'a hold outlives a restart',
      script: [
        [0, announce('active')],
        [1, hold('eject')],
        [2, depart],
        [3, announce('starting', true)],
      ],
      state: 'held',
    },
    {
      name: 'lifting a hold starts a trial',
      script: [
        [0, announce('active')],
        [1, hold('eject')],
        [2, hold(undefined)],
      ],
      state: 'trial',
    },
    {
      name: 'an operator drains',
      script: [
        [0, announce('active')],
        [1, hold('drain')],
      ],
      state: 'draining',
      share: 0,
    },
    {
      name: 'restoring an ejected target starts a trial',
      script: [...ejected, [3, restore]],
      state: 'trial',
    },
    {
      name: 'restoring a suspect clears it',
      script: [...ejected.slice(0, 2), [1.5, restore]],
      state: 'active',
    },
    {
      name: 'a drain gets no new work',
      script: [
        [0, announce('active')],
        [1, announce('draining')],
      ],
      state: 'draining',
      share: 0,
    },
    {
      name: 'a target that left is gone',
      script: [
        [0, announce('active')],
        [1, depart],
      ],
      state: 'gone',
      share: 0,
    },
  ];
  cases.forEach(({ name, script, state, share }) => {
    it(name, () => {
      const lifecycle = run(script);
      expect(lifecycle.state).to.equal(state);
      if (share !== undefined) expect(lifecycle.share).to.equal(share);
    });
  });

  it('doubles holds up to 5 min and halves them after 10 min of health', () => {
    const lifecycle = run([[0, announce('active')]]);
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
    const steps: Step[] = [
      announce('starting'),
      announce('active'),
      announce('draining'),
      announce('active', true),
      judge('healthy'),
      judge('healthy'),
      judge('sick'),
      judge('suspect'),
      depart,
      restore,
      found,
      release,
      refuse,
      hold('eject'),
      hold('drain'),
      hold(undefined),
    ];
    [11, 23, 37].forEach((seed) => {
      const random = createRandom(seed);
      const lifecycle = run([]);
      const seen = new Set<string>();
      lifecycle.onTransition(({ from, to }) => {
        if (from !== to) seen.add(`${from} -> ${to}`);
      });
      for (let now = 0; now < 20_000_000; now += 1_000) {
        steps[pickIndex(random, steps.length)]?.(lifecycle, now);
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
