import { expect } from 'chai';
import { isLeft } from 'fp-ts/lib/Either.js';
import { toNullable } from 'fp-ts/lib/Option.js';
import { createTestConfiguration } from '../../bench/simulation/createTestConfiguration.js';
import { brandAs } from '../base/index.js';
import type { PresetName, Revision, ServiceName } from '../base/index.js';
import { validateConfiguration } from './ConfigurationValidation.js';
import { effectiveLimits, isPaused } from './EffectiveLimits.js';

const valid = createTestConfiguration();
const pujas = brandAs<ServiceName>('pujas');
const [service] = valid.services;
const [route] = valid.routes;

function problemsOf(change: object): readonly string[] {
  const result = validateConfiguration({ ...valid, ...change });
  return isLeft(result) ? result.left : [];
}

describe('ConfigurationValidation', () => {
  const cases = [
    { name: 'a floor below 0', change: { services: [{ ...service, floor: -1 }] }, at: 'floor' },
    {
      name: 'a share above 0.1',
      change: { services: [{ ...service, retryShare: 0.2 }] },
      at: 'retryShare',
    },
    {
      name: 'a missing limit',
      change: { services: [{ ...service, rate: undefined }] },
      at: 'rate',
    },
    { name: 'an unknown limit', change: { services: [{ ...service, flor: 1 }] }, at: 'flor' },
    {
      name: 'two services with the same name',
      change: { services: [...valid.services, service] },
      at: 'once',
    },
    { name: 'an unknown service', change: { routes: [{ ...route, service: 'x' }] }, at: 'service' },
    { name: 'a relative path', change: { routes: [{ ...route, path: 'lots' }] }, at: 'path' },
    {
      name: 'an unknown work class',
      change: { routes: [{ ...route, workClass: 'urgent' }] },
      at: 'workClass',
    },
    {
      name: 'two routes that match the same requests',
      change: { routes: [route, { ...route, name: 'r2' }] },
      at: 'takes',
    },
    { name: 'a timeout of 0', change: { routes: [{ ...route, timeout: 0 }] }, at: 'timeout' },
    {
      name: 'an account without a valid rate',
      change: { accounts: [{ id: 'a', rate: NaN }] },
      at: 'rate',
    },
    { name: 'an unknown preset in force', change: { preset: 'night' }, at: 'preset in force' },
    {
      name: 'a preset for an unknown service',
      change: { presets: [{ ...valid.presets[0], services: { x: {} } }] },
      at: 'service "x"',
    },
    {
      name: 'a pause without a valid expiry',
      change: { pauses: [{ automation: 'ejection', expires: 'soon', author: 'ana' }] },
      at: 'expires',
    },
    {
      name: 'a hold with an unknown action',
      change: { holds: [{ target: 't', action: 'stop', author: 'ana' }] },
      at: 'hold',
    },
  ];
  cases.forEach(({ name, change, at }) => {
    it(`reports ${name}`, () => {
      expect(problemsOf(change).join('\n')).to.include(at);
    });
  });

  it('accepts a valid configuration', () => {
    expect(problemsOf({})).to.deep.equal([]);
  });

  it('reports all problems at once, so that an operator need not fix them one by one', () => {
    const change = {
      preset: 'night',
      services: [{ ...service, floor: -1, timeout: 0.5 }],
      accounts: [{ id: '', rate: -1 }],
    };
    const places = ['floor', 'timeout', 'accounts ""', 'rate', 'preset in force'];
    const problems = problemsOf(change).join('\n');
    expect(places.filter((place) => !problems.includes(place))).to.deep.equal([]);
  });
});

describe('EffectiveLimits', () => {
  const configuration = { ...valid, revision: brandAs<Revision>(1) };
  const presets = [
    { preset: 'ordinary', maxQueue: 50 },
    { preset: 'peak', maxQueue: 200 },
  ];
  presets.forEach(({ preset, maxQueue }) => {
    it(`applies the limits of the preset in force only: ${preset}`, () => {
      const inForce = { ...configuration, preset: brandAs<PresetName>(preset) };
      const limits = toNullable(effectiveLimits(inForce, pujas));
      expect([limits?.maxQueue, limits?.floor]).to.deep.equal([maxQueue, 20]);
    });
  });

  it('ends a pause at its expiry, and applies it to its service only', () => {
    const pause = { automation: 'ejection', service: pujas, expires: '2026-01-01T00:00:10Z' };
    const paused = {
      ...configuration,
      pauses: [{ ...pause, author: 'ana' }],
    } as typeof configuration;
    const at = (second: number) => new Date(Date.UTC(2026, 0, 1, 0, 0, second));
    const results = [
      isPaused(paused, 'ejection', pujas, at(9)),
      isPaused(paused, 'ejection', pujas, at(10)),
      isPaused(paused, 'ejection', brandAs<ServiceName>('archivo'), at(9)),
      isPaused(paused, 'hedging', pujas, at(9)),
    ];
    expect(results).to.deep.equal([true, false, false, false]);
  });
});
