import { expect } from 'chai';
import {
  brandAs,
  type DaemonId,
  type DataCentre,
  type Incarnation,
  type Region,
  type RequestId,
  type ServiceName,
  type TargetId,
} from '../base/index.js';
import { logit } from '../health/HealthEstimator.js';
import { defaultLocality, Placement, type Locality, type PlacementContext } from './Placement.js';
import type { Candidate } from './Types.js';

const location = { region: brandAs<Region>('gam'), dataCentre: brandAs<DataCentre>('gam-a') };
const service = brandAs<ServiceName>('archivo');

/** Candidate in a data centre with a number of queued requests and a probability of being unhealthy. */
function candidate(
  name: string,
  dataCentre: string,
  queued = 0,
  unhealthyProbability = 0.05,
): Candidate {
  return {
    daemon: brandAs<DaemonId>(name),
    recordVersion: '1/1',
    address: name,
    encoding: 1,
    region: brandAs<Region>(dataCentre.split('-')[0] ?? ''),
    dataCentre: brandAs<DataCentre>(dataCentre),
    target: brandAs<TargetId>(name),
    incarnation: brandAs<Incarnation>('1'),
    slots: 4,
    inFlight: 0,
    condition: {
      running: queued > 0 ? 4 : 1,
      queued,
      slots: 4,
      work: 200,
      sickness: logit(unhealthyProbability),
    },
    age: 0,
  };
}

/** Candidate with occupied slots, out of 5, and no queue. */
function occupied(name: string, dataCentre: string, running: number): Candidate {
  const known = candidate(name, dataCentre);
  const condition = { running, queued: 0, slots: 5, work: 400, sickness: logit(0.05) };
  return { ...known, slots: 5, condition };
}

/** The candidate with a rate limit, if `interval` is given: the milliseconds between requests. */
function withInterval(known: Candidate, interval: number | undefined, wait = 0): Candidate {
  if (known.condition === undefined || interval === undefined) return known;
  return { ...known, condition: { ...known.condition, limit: { interval, wait } } };
}

/** Candidate that takes one request a second, the next one after `wait` milliseconds. */
function limited(name: string, dataCentre: string, wait: number): Candidate {
  return withInterval(candidate(name, dataCentre), 1_000, wait);
}

function context(overrides: Partial<PlacementContext> = {}): PlacementContext {
  const route = {
    name: 'download',
    host: 'h',
    path: '/',
    isIdempotent: true,
    timeout: 4_000,
    goal: 2_000,
    rank: 2,
    maxAttempts: 2,
    parts: [{ service, weight: 1 }],
  };
  const call = {
    id: brandAs<RequestId>('r'),
    route,
    service,
    method: 'GET',
    path: '/',
    headers: [],
    body: Buffer.alloc(0),
    timeout: 4_000,
  };
  return { call, kilobytes: 2, hedgeDelay: 300, maxQueueWait: 1_800, isLast: false, ...overrides };
}

const cheapTraffic: Locality = {
  dataCentre: { fixed: 2, perKilobyte: 5 },
  region: { fixed: 40, perKilobyte: 60 },
};

/** Random source that never selects a trial request and adds the same cost to all candidates. */
const withoutTrials = (): number => 0.9;

describe('Placement', () => {
  const cases: readonly {
    readonly name: string;
    readonly candidates: readonly Candidate[];
    readonly context?: Partial<PlacementContext>;
    readonly locality?: Locality;
    readonly best: string;
  }[] = [
    {
      name: 'prefers a short wait in this data centre for a large answer, since traffic between data centres is billed',
      candidates: [candidate('near', 'gam-a', 4), candidate('other', 'gam-b')],
      context: { kilobytes: 90 },
      best: 'near',
    },
    {
      name: 'prefers a free slot in another data centre for a small answer if the traffic is cheap',
      candidates: [candidate('near', 'gam-a', 4), candidate('other', 'gam-b')],
      locality: cheapTraffic,
      best: 'other',
    },
    {
      name: 'prefers a short wait in this data centre for a small answer by default',
      candidates: [candidate('near', 'gam-a', 1), candidate('other', 'gam-b')],
      context: { kilobytes: 6 },
      best: 'near',
    },
    {
      name: 'prefers a free slot in another data centre to a long wait by default',
      candidates: [candidate('near', 'gam-a', 9), candidate('other', 'gam-b')],
      best: 'other',
    },
    {
      name: 'does not leave this data centre for a target with more free slots',
      candidates: [occupied('near', 'gam-a', 3), occupied('other', 'gam-b', 0)],
      best: 'near',
    },
    {
      name: 'prefers a target with free slots to one that is full, since targets slow down when they are nearly full',
      candidates: [occupied('full', 'gam-a', 4), occupied('free', 'gam-a', 2)],
      best: 'free',
    },
    {
      name: 'leaves this data centre with a large answer rather than lose it at a target that is probably unhealthy',
      candidates: [candidate('near', 'gam-a', 0, 0.48), candidate('other', 'gam-b')],
      context: { kilobytes: 900, isLast: true },
      best: 'other',
    },
    {
      name: 'does not leave the region with a large answer for a target that is only suspected',
      candidates: [candidate('near', 'gam-a', 0, 0.4), candidate('far', 'gte-a')],
      context: { kilobytes: 900, isLast: true },
      best: 'near',
    },
    {
      name: 'leaves this data centre, however large the answer, rather than be refused for too long a wait',
      candidates: [candidate('near', 'gam-a', 4), candidate('other', 'gam-b')],
      context: { kilobytes: 90, maxQueueWait: 200 },
      best: 'other',
    },
    {
      name: 'uses another target rather than wait for the rate limit of one',
      candidates: [limited('limited', 'gam-a', 900), candidate('other', 'gam-b')],
      best: 'other',
    },
    {
      name: 'uses a target with a rate limit once the wait for it has passed',
      candidates: [{ ...limited('limited', 'gam-a', 900), age: 950 }, candidate('other', 'gam-b')],
      best: 'limited',
    },
    {
      name: 'counts its own request since the report against a rate limit',
      candidates: [
        { ...limited('limited', 'gam-a', 0), age: 300, idle: 100 },
        candidate('other', 'gam-b'),
      ],
      best: 'other',
    },
    {
      name: 'stays in the region while the wait is short',
      candidates: [candidate('near', 'gam-a', 1), candidate('far', 'gte-a')],
      context: { kilobytes: 6 },
      best: 'near',
    },
    {
      name: 'leaves the region rather than use a suspected target for the last attempt',
      candidates: [candidate('near', 'gam-a', 0, 0.4), candidate('far', 'gte-a')],
      context: { isLast: true },
      best: 'far',
    },
    {
      name: 'uses a suspected target of the region for a request that can be retried',
      candidates: [candidate('near', 'gam-a', 0, 0.4), candidate('far', 'gte-a')],
      best: 'near',
    },
    {
      name: 'ranks a target that refuses requests below one with a queue',
      candidates: [candidate('unhealthy', 'gam-a', 0, 0.95), candidate('full', 'gam-a', 6)],
      best: 'full',
    },
  ];
  cases.forEach(({ name, candidates, context: overrides, locality = defaultLocality, best }) => {
    it(name, () => {
      const placement = new Placement(location, locality, withoutTrials);
      const [first] = placement.rank(candidates, context(overrides));
      expect(first?.candidate.target).to.equal(best);
    });
  });

  const trials = [
    { name: 'of this data centre', suspected: ['gam-a', 'gam-b'], own: ['gam-a'], best: 'gam-a' },
    {
      name: 'of no other data centre if it has its own',
      suspected: ['gam-b'],
      own: ['gam-a'],
      best: 'gam-a',
    },
    {
      name: 'of the region if this data centre has no target',
      suspected: ['gam-b'],
      own: [],
      best: 'gam-b',
    },
  ];
  trials.forEach(({ name, suspected, own, best }) => {
    it(`sends trial requests to a suspected target ${name}`, () => {
      const candidates = [...new Set([...suspected, ...own, 'gam-c'])].map((dataCentre) =>
        candidate(dataCentre, dataCentre, 0, suspected.includes(dataCentre) ? 0.6 : 0.05),
      );
      // Below the share of trial requests.
      const placement = new Placement(location, cheapTraffic, () => 0.1);
      const [first] = placement.rank(candidates, context());
      expect(first?.candidate.target).to.equal(best);
      expect(first?.isTrial).to.equal(suspected.includes(best));
    });
  });

  const idle = [
    { name: 'to one that gets none', dataCentre: 'gam-a', time: 500, best: 'idle' },
    { name: 'to one that got one lately', dataCentre: 'gam-a', time: 300, best: 'known' },
    { name: 'not if they cannot be retried', dataCentre: 'gam-a', isLast: true, best: 'known' },
    { name: 'not to a suspected one', dataCentre: 'gam-a', unhealthy: 0.4, best: 'known' },
    { name: 'not to one with a queue', dataCentre: 'gam-a', queued: 3, best: 'known' },
    { name: 'not to one that its own entries use', dataCentre: 'gam-b', time: 900, best: 'known' },
    { name: 'to one that its own entries do not use', dataCentre: 'gam-b', best: 'idle' },
    { name: 'not to one of another region', dataCentre: 'gte-a', best: 'known' },
    {
      name: 'not to one that its rate limit keeps idle',
      time: 1_300,
      interval: 1_000,
      best: 'known',
    },
    {
      name: 'to one that gets less than its rate limit',
      time: 1_500,
      interval: 1_000,
      best: 'idle',
    },
  ];
  idle.forEach(
    ({
      name,
      dataCentre = 'gam-a',
      time = 2_000,
      unhealthy = 0.1,
      queued = 0,
      isLast = false,
      interval,
      best,
    }) => {
      it(`sends retryable requests ${name}, so that healthy targets stay in use`, () => {
        const known = { ...candidate('known', 'gam-a', 0, 0.01), idle: 50 };
        const listed = candidate('idle', dataCentre, queued, unhealthy);
        const unused = { ...withInterval(listed, interval), idle: time };
        const placement = new Placement(location, defaultLocality, withoutTrials);
        const [first] = placement.rank([known, unused], context({ isLast }));
        expect(first?.candidate.target).to.equal(best);
        expect(first?.isTrial).to.equal(false);
      });
    },
  );

  const unproven = [
    { name: 'that has just joined', dataCentre: 'gam-a', queued: 0, best: 'new' },
    { name: 'of no other data centre', dataCentre: 'gam-b', queued: 0, best: 'known' },
    { name: 'not if its queue is full', dataCentre: 'gam-a', queued: 3, best: 'known' },
  ];
  unproven.forEach(({ name, dataCentre, queued, best }) => {
    it(`sends some retryable requests to a target ${name}, so that it is used although others are free`, () => {
      const joined = candidate('new', dataCentre, queued, 0.15);
      const candidates = [candidate('known', 'gam-a', 0, 0.02), joined];
      const rank = (random: number, isLast: boolean) =>
        new Placement(location, defaultLocality, () => random).rank(
          candidates,
          context({ isLast }),
        )[0];
      expect(rank(0.1, false)?.candidate.target).to.equal(best);
      expect(rank(0.1, false)?.isTrial).to.equal(false);
      expect(rank(0.9, false)?.candidate.target).to.equal('known');
      expect(rank(0.1, true)?.candidate.target).to.equal('known');
    });
  });
});
