import { expect } from 'chai';
import { isRight } from 'fp-ts/lib/Either.js';
import { brandAs } from '../base/index.js';
import type { DaemonId, Incarnation, TargetId } from '../base/index.js';
import type { TargetState } from '../services/Types.js';
import { FloorRule, totalCapacity } from './FloorRule.js';
import type { TimestampedSummary, FloorView } from './Types.js';

const now = 100_000;

interface TargetSpec {
  readonly status?: TargetState;
  readonly share?: number;
  /** Milliseconds since the request was sent. */
  readonly askedAgo?: number;
  /** Milliseconds between the last announcement and the response. */
  readonly age?: number;
  readonly severity?: number;
  readonly id?: string;
}

function summary(spec: TargetSpec, index: number): TimestampedSummary {
  const { status = 'active', share = 1, askedAgo = 0, age = 0, severity = 0 } = spec;
  const target = brandAs<TargetId>(spec.id ?? `t${index}`);
  const evidence = { errorRate: 0, samples: 0, severity, routes: [] };
  return { target, status, slots: 5, share, age, askedAt: now - askedAgo, ...evidence };
}

function view(
  specs: readonly TargetSpec[],
  floor: number,
  listed: readonly string[] = [],
): FloorView {
  const entries = listed.map((id) => ({
    target: brandAs<TargetId>(id),
    incarnation: brandAs<Incarnation>('1'),
    home: brandAs<DaemonId>('d'),
    reason: 'errors',
    severity: 20,
    ejected: '2026-01-01T00:00:00Z',
    token: id,
  }));
  return { now, floor, record: { revision: 1, entries }, summaries: specs.map(summary) };
}

describe('FloorRule.mayEject', () => {
  const cases: readonly {
    name: string;
    specs: TargetSpec[];
    listed?: string[];
    capacity: number;
  }[] = [
    {
      name: 'counts active and suspect targets',
      specs: [{}, { status: 'suspect' }, {}],
      capacity: 15,
    },
    {
      name: 'counts a target in trial with its share',
      specs: [{}, { status: 'trial', share: 0.25 }],
      capacity: 6.25,
    },
    ...(['starting', 'ejected', 'held', 'draining', 'gone'] as const).map((status) => ({
      name: `does not count a target that is ${status}`,
      specs: [{}, { status }],
      capacity: 5,
    })),
    {
      name: 'does not count a target whose summary is older than 3 s',
      specs: [{}, { askedAgo: 3_001 }],
      capacity: 5,
    },
    {
      name: 'adds the age of the announcement to the age of the summary',
      specs: [{}, { askedAgo: 2_000, age: 1_001 }],
      capacity: 5,
    },
    {
      name: 'does not count a listed target that its home has released',
      specs: [{}, {}],
      listed: ['t1'],
      capacity: 5,
    },
    {
      name: 'counts a target once that two homes claim, with the lower claim',
      specs: [{}, { id: 't1' }, { id: 't1', status: 'ejected' }],
      capacity: 5,
    },
    { name: 'counts nothing in an empty view', specs: [], capacity: 0 },
  ];
  cases.forEach(({ name, specs, listed, capacity }) => {
    it(name, () => {
      expect(totalCapacity(view(specs, 0, listed))).to.equal(capacity);
    });
  });

  const decisions = [
    { count: 4, floor: 15, allowed: true },
    { count: 4, floor: 16, allowed: false },
    { count: 1, floor: 0, allowed: true },
    { count: 1, floor: 1, allowed: false },
  ];
  decisions.forEach(({ count, floor, allowed }) => {
    it(`${allowed ? 'allows' : 'refuses'} to eject 1 of ${count} at floor ${floor}`, () => {
      const specs = Array.from({ length: count }, () => ({}));
      const decision = FloorRule.mayEject(view(specs, floor), brandAs<TargetId>('t0'));
      expect(isRight(decision)).to.equal(allowed);
    });
  });
});

describe('FloorRule.targetsToRelease', () => {
  const ejectedSpec = (severity: number): TargetSpec => ({ status: 'ejected', share: 0, severity });
  const cases = [
    { name: 'releases nothing at the floor', specs: [{}, ejectedSpec(1)], floor: 5, released: [] },
    {
      name: 'releases the lowest severity first',
      specs: [{}, ejectedSpec(30), ejectedSpec(20), ejectedSpec(40)],
      floor: 6,
      released: ['t2'],
    },
    {
      name: 'releases as many as the floor needs',
      specs: [{}, ejectedSpec(30), ejectedSpec(20), ejectedSpec(40)],
      floor: 15,
      released: ['t2', 't1'],
    },
    {
      name: 'restores the full share of a target in trial',
      specs: [{}, { status: 'trial' as const, share: 0.5, severity: 1 }],
      floor: 10,
      released: ['t1'],
    },
    {
      name: 'does not release targets held by an operator',
      specs: [{}, { status: 'held' as const, share: 0 }],
      floor: 10,
      released: [],
    },
  ];
  cases.forEach(({ name, specs, floor, released }) => {
    it(name, () => {
      expect(FloorRule.targetsToRelease(view(specs, floor))).to.deep.equal(released);
    });
  });
});
