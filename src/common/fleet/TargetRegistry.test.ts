import { expect } from 'chai';
import { brandAs, type ServiceName, type TargetId } from '../base/index.js';
import { TargetRegistry } from './TargetRegistry.js';
import type { TargetReport } from './Types.js';

const id = brandAs<TargetId>('t-1');

function report(change: Partial<TargetReport> = {}): TargetReport {
  return {
    id,
    startedAt: 1_000,
    sequence: 5,
    service: brandAs<ServiceName>('catalogo'),
    address: '10.0.0.1:80',
    slots: 5,
    state: 'ready',
    warmUp: 0,
    ...change,
  };
}

describe('TargetRegister', () => {
  const cases = [
    { name: 'takes the next report', next: { sequence: 6 }, effect: 'repeated' },
    { name: 'ignores a late report', next: { sequence: 4 }, effect: 'stale' },
    { name: 'ignores a report that arrives twice', next: { sequence: 5 }, effect: 'stale' },
    { name: 'sees a drain', next: { sequence: 6, state: 'draining' as const }, effect: 'drained' },
    { name: 'sees new slots', next: { sequence: 6, slots: 8 }, effect: 'updated' },
    {
      name: 'takes a restart whose counts begin anew',
      next: { startedAt: 2_000, sequence: 1 },
      effect: 'replaced',
    },
    {
      name: 'ignores a report of an earlier incarnation, however high it counts',
      next: { startedAt: 900, sequence: 99 },
      effect: 'stale',
    },
  ];
  cases.forEach(({ name, next, effect }) => {
    it(name, () => {
      const register = new TargetRegistry();
      register.record(report());
      expect(register.record(report(next)).type).to.equal(effect);
    });
  });

  const farewells = [
    { name: 'a late report after the farewell', next: { sequence: 4 }, effect: 'stale' },
    { name: 'a report that counts on after the farewell', next: { sequence: 9 }, effect: 'stale' },
    {
      name: 'a new start under the same id',
      next: { startedAt: 3_000, sequence: 1 },
      effect: 'added',
    },
  ];
  farewells.forEach(({ name, next, effect }) => {
    it(`treats ${name} as ${effect}, or a leaving target gets new work`, () => {
      const register = new TargetRegistry();
      register.record(report());
      expect(register.remove(id, 1_000)?.id).to.equal(id);
      expect(register.record(report(next)).type).to.equal(effect);
    });
  });

  it('does not take a drain back within one incarnation', () => {
    const register = new TargetRegistry();
    register.record(report({ state: 'draining' }));
    expect(register.record(report({ sequence: 6 })).type).to.equal('stale');
    expect(register.targets[0]?.state).to.equal('draining');
  });

  it('ignores the farewell of an earlier incarnation', () => {
    const register = new TargetRegistry();
    register.record(report());
    expect(register.remove(id, 999)).to.equal(undefined);
    expect(register.targets).to.have.length(1);
  });
});
