import { expect } from 'chai';
import { isRight } from 'fp-ts/lib/Either.js';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  brandAs,
  VirtualClock,
  type DaemonId,
  type DataCentre,
  type Incarnation,
  type Region,
  type RequestId,
  type ServiceName,
  type TargetId,
} from '../base/index.js';
import type { RequestContext, TargetEntry, TargetState } from '../services/Types.js';
import { CrossRegionBudget } from './CrossRegionBudget.js';
import { LoadTable } from './LoadTable.js';
import { Selector } from './Selector.js';

const seed = 11;
const service = brandAs<ServiceName>('catalogo');

const context: RequestContext = {
  id: brandAs<RequestId>('r'),
  service,
  route: 'listing',
  workClass: 'interactive',
  isIdempotent: true,
  timeout: 1000,
};

function createTarget(id: string, dataCentre: string, change: Partial<TargetEntry> = {}) {
  const region = brandAs<Region>(dataCentre.split('-')[0] ?? '');
  const target: TargetEntry = {
    id: brandAs<TargetId>(id),
    incarnation: brandAs<Incarnation>('1'),
    service,
    address: '127.0.0.1:1',
    slots: 5,
    connections: 330,
    state: 'active',
    home: brandAs<DaemonId>(`home-${id}`),
    location: { region, dataCentre: brandAs<DataCentre>(dataCentre) },
    status: 'active',
    share: 1,
    ...change,
  };
  return target;
}

function createFixture(penalty: (home: DaemonId) => number = () => 0) {
  const clock = new VirtualClock();
  const load = new LoadTable(clock);
  const crossRegion = new CrossRegionBudget(() => 20_000, clock);
  const generator = xoroshiro128plus(seed);
  const random = () => (generator.next() >>> 0) / 2 ** 32;
  const location = {
    region: brandAs<Region>('gam'),
    dataCentre: brandAs<DataCentre>('gam-a'),
  };
  const selector = new Selector(location, random, { pathPenalty: penalty, crossRegion });
  const fill = (target: TargetEntry, count: number) => {
    for (let index = 0; index < count; index += 1) load.sent(target.id);
  };
  const choose = (targets: readonly TargetEntry[], avoid: readonly string[] = []) => {
    const ids = new Set(avoid.map((id) => brandAs<TargetId>(id)));
    const choice = selector.choose({ context, avoid: ids, expectedBytes: 10_000 }, targets, load);
    return isRight(choice) ? choice.right.target.id : choice.left.reason;
  };
  return { clock, load, fill, choose };
}

describe(`Selector (seed ${seed})`, () => {
  const near = createTarget('near', 'gam-a');
  const region = createTarget('region', 'gam-b');
  const far = createTarget('far', 'gte-a');
  const suspect = createTarget('suspect', 'gam-a', { status: 'suspect' });
  const cases = [
    { name: 'prefers the own data centre', targets: [far, region, near], chosen: 'near' },
    { name: 'prefers the own region', targets: [far, region], chosen: 'region' },
    {
      name: 'prefers the region to a busy data centre',
      targets: [near, region],
      full: [near],
      chosen: 'region',
    },
    { name: 'avoids a suspect', targets: [suspect, region], chosen: 'region' },
    {
      name: 'uses a suspect when the others are full',
      targets: [suspect, near],
      full: [near],
      chosen: 'suspect',
    },
    {
      name: 'avoids targets already tried',
      targets: [near, region],
      avoid: ['near'],
      chosen: 'region',
    },
    { name: 'refuses when all were tried', targets: [near], avoid: ['near'], chosen: 'no-target' },
  ];
  cases.forEach(({ name, targets, full = [], avoid, chosen }) => {
    it(name, () => {
      const { choose, fill } = createFixture();
      full.forEach((target) => fill(target, 5));
      expect(choose(targets, avoid)).to.equal(chosen);
    });
  });

  const unusable: readonly TargetState[] = ['ejected', 'held', 'draining', 'gone'];
  unusable.forEach((status) => {
    it(`sends nothing to a target that is ${status}`, () => {
      const { choose } = createFixture();
      expect(choose([createTarget('x', 'gam-a', { status })])).to.equal('no-target');
    });
  });

  it('avoids a home with a faulty path', () => {
    const { choose } = createFixture((home) => (home === near.home ? 100 : 0));
    expect(choose([near, region])).to.equal('region');
  });

  it('avoids a target that fails fast, which looks idle and would attract most requests', () => {
    const { choose, load, fill } = createFixture();
    fill(region, 4);
    for (let index = 0; index < 3; index += 1) load.failed(near.id);
    expect(choose([near, region])).to.equal('region');
  });

  it('enforces the cross-region budget, so that traffic on the billed link stays bounded', () => {
    const { choose, clock } = createFixture();
    const chosen = [1, 2, 3].map(() => choose([far]));
    clock.advance(500);
    expect([...chosen, choose([far])]).to.deep.equal(['far', 'far', 'no-target', 'far']);
  });

  [1 / 16, 1 / 4, 1 / 2].forEach((share) => {
    it(`gives a trial target at most its share ${share} of the normal traffic`, () => {
      const { choose, load } = createFixture();
      const trial = createTarget('t', 'gam-a', { status: 'trial', share });
      const targets = [trial, ...['a', 'b', 'c'].map((id) => createTarget(id, 'gam-a'))];
      const running: string[] = [];
      const counts = new Map<string, number>();
      for (let index = 0; index < 4000; index += 1) {
        const id = choose(targets);
        counts.set(id, (counts.get(id) ?? 0) + 1);
        load.sent(brandAs<TargetId>(id));
        running.push(id);
        if (running.length > 6) load.ended(brandAs<TargetId>(running.shift() ?? ''));
      }
      const normal = (4000 - (counts.get('t') ?? 0)) / 3;
      expect((counts.get('t') ?? 0) / normal).to.be.within(share * 0.7, share * 1.3);
    });
  });
});
