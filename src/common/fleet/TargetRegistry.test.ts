import { expect } from 'chai';
import { brandAs, type ServiceName, type TargetId } from '../base/index.js';
import { TargetRegistry } from './TargetRegistry.js';
import type { TargetReport } from './Types.js';

const id = brandAs<TargetId>('t-1');

function report(overrides: Partial<TargetReport> = {}): TargetReport {
  return {
    id,
    startedAt: 1_000,
    sequence: 5,
    service: brandAs<ServiceName>('catalogo'),
    address: '10.0.0.1:80',
    slots: 5,
    state: 'ready',
    warmUp: 0,
    ...overrides,
  };
}

describe('TargetRegistry', () => {
  const cases = [
    { name: 'accepts the next report', next: { sequence: 6 }, effect: 'repeated' },
    { name: 'ignores a late report', next: { sequence: 4 }, effect: 'stale' },
    { name: 'ignores a report that arrives twice', next: { sequence: 5 }, effect: 'stale' },
    {
      name: 'detects a drain',
      next: { sequence: 6, state: 'draining' as const },
      effect: 'drained',
    },
    { name: 'detects a change of slots', next: { sequence: 6, slots: 8 }, effect: 'updated' },
    {
      name: 'accepts a restart, whose sequence numbers start again',
      next: { startedAt: 2_000, sequence: 1 },
      effect: 'replaced',
    },
    {
      name: 'ignores a report of an earlier incarnation with a higher sequence number',
      next: { startedAt: 900, sequence: 99 },
      effect: 'stale',
    },
  ];
  cases.forEach(({ name, next, effect }) => {
    it(name, () => {
      const registry = new TargetRegistry();
      registry.record(report());
      expect(registry.record(report(next)).type).to.equal(effect);
    });
  });

  const removals = [
    { name: 'a late report after the removal', next: { sequence: 4 }, effect: 'stale' },
    {
      name: 'a newer report of the same incarnation after the removal',
      next: { sequence: 9 },
      effect: 'stale',
    },
    {
      name: 'a report of a new incarnation after the removal',
      next: { startedAt: 3_000, sequence: 1 },
      effect: 'added',
    },
  ];
  removals.forEach(({ name, next, effect }) => {
    it(`treats ${name} as ${effect}, so that a leaving target gets no new requests`, () => {
      const registry = new TargetRegistry();
      registry.record(report());
      expect(registry.remove(id, 1_000)?.id).to.equal(id);
      expect(registry.record(report(next)).type).to.equal(effect);
    });
  });

  const departures: readonly {
    readonly name: string;
    /** Start time of the incarnation that runs when the target leaves; undefined if none is known. */
    readonly known?: number;
    readonly leave: (registry: TargetRegistry) => void;
    readonly next: Partial<TargetReport>;
    readonly effect: string;
  }[] = [
    {
      name: 'a late report of a target that was unknown when it ended',
      leave: (registry) => registry.remove(id, 1_000),
      next: {},
      effect: 'stale',
    },
    {
      name: 'a late report of an earlier incarnation of a target that was unknown when it ended',
      leave: (registry) => registry.remove(id, 1_000),
      next: { startedAt: 900 },
      effect: 'stale',
    },
    {
      name: 'a report of an incarnation that started after the unknown one had ended',
      leave: (registry) => registry.remove(id, 1_000),
      next: { startedAt: 1_001, sequence: 1 },
      effect: 'added',
    },
    {
      name: 'a late report of an ended incarnation of which only an earlier one was known',
      known: 1_000,
      leave: (registry) => registry.remove(id, 2_000),
      next: { startedAt: 2_000, sequence: 1 },
      effect: 'stale',
    },
    {
      name: 'a late report of a target that an earlier process knew to leave',
      leave: (registry) => registry.restoreDeparture(id, 1_000),
      next: {},
      effect: 'stale',
    },
    {
      name: 'a drain of a target that an earlier process knew to leave',
      leave: (registry) => registry.restoreDeparture(id, 1_000),
      next: { state: 'draining' },
      effect: 'added',
    },
    {
      name: 'a report of an incarnation after the one that an earlier process knew to leave',
      leave: (registry) => registry.restoreDeparture(id, 1_000),
      next: { startedAt: 3_000, sequence: 1 },
      effect: 'added',
    },
  ];
  departures.forEach(({ name, known, leave, next, effect }) => {
    it(`treats ${name} as ${effect}`, () => {
      const registry = new TargetRegistry();
      if (known !== undefined) registry.record(report({ startedAt: known }));
      leave(registry);
      expect(registry.record(report(next)).type).to.equal(effect);
    });
  });

  it('drains a target that reported before it was known that it had left an earlier process', () => {
    const registry = new TargetRegistry();
    registry.record(report());
    expect(registry.restoreDeparture(id, 1_000)?.state).to.equal('draining');
    expect(registry.record(report({ sequence: 6 })).type).to.equal('stale');
  });

  it('remembers the end of a target while hundreds of unknown ones end', () => {
    const registry = new TargetRegistry();
    registry.remove(id, 1_000);
    for (let index = 0; index < 500; index += 1) {
      registry.remove(brandAs<TargetId>(`other-${index}`), 1_000);
    }
    expect(registry.record(report()).type).to.equal('stale');
  });

  it('does not undo a drain within one incarnation', () => {
    const registry = new TargetRegistry();
    registry.record(report({ state: 'draining' }));
    expect(registry.record(report({ sequence: 6 })).type).to.equal('stale');
    expect(registry.targets[0]?.state).to.equal('draining');
  });

  it('ignores the removal of an earlier incarnation', () => {
    const registry = new TargetRegistry();
    registry.record(report());
    expect(registry.remove(id, 999)).to.equal(undefined);
    expect(registry.targets).to.have.length(1);
  });
});
