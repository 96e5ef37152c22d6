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
import { Placement, type PlacementContext } from './Placement.js';
import type { Candidate } from './Types.js';

const here = { region: brandAs<Region>('gam'), dataCentre: brandAs<DataCentre>('gam-a') };
const service = brandAs<ServiceName>('archivo');

/** Target of a data centre with some waiting requests and a probability of sickness. */
function candidate(name: string, dataCentre: string, queued = 0, sickness = 0.05): Candidate {
  return {
    daemon: brandAs<DaemonId>(name),
    recordVersion: '1/1',
    address: name,
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
      sickness: logit(sickness),
    },
    age: 0,
  };
}

function facts(change: Partial<PlacementContext> = {}): PlacementContext {
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
  return { call, kilobytes: 2, hedgeDelay: 300, isLast: false, ...change };
}

/** Randomness without scouts and ties. */
const steady = (): number => 0.9;

describe('Placement', () => {
  const cases: readonly {
    readonly name: string;
    readonly candidates: readonly Candidate[];
    readonly facts?: Partial<PlacementContext>;
    readonly best: string;
  }[] = [
    {
      name: 'a download waits a little for a target of this data centre: its bytes are paid',
      candidates: [candidate('near', 'gam-a', 4), candidate('other', 'gam-b')],
      facts: { kilobytes: 90 },
      best: 'near',
    },
    {
      name: 'a small answer goes where a slot is free',
      candidates: [candidate('near', 'gam-a', 4), candidate('other', 'gam-b')],
      best: 'other',
    },
    {
      name: 'a request stays in the region while the wait is short',
      candidates: [candidate('near', 'gam-a', 1), candidate('far', 'gte-a')],
      facts: { kilobytes: 6 },
      best: 'near',
    },
    {
      name: 'a request that nobody repeats leaves the region rather than risk a doubtful target',
      candidates: [candidate('near', 'gam-a', 0, 0.4), candidate('far', 'gte-a')],
      facts: { isLast: true },
      best: 'far',
    },
    {
      name: 'a request that can be repeated is tried at a doubtful target of the region',
      candidates: [candidate('near', 'gam-a', 0, 0.4), candidate('far', 'gte-a')],
      best: 'near',
    },
    {
      name: 'a target that its home has set aside comes after one with a queue',
      candidates: [candidate('sick', 'gam-a', 0, 0.95), candidate('full', 'gam-a', 6)],
      best: 'full',
    },
  ];
  cases.forEach(({ name, candidates, facts: change, best }) => {
    it(name, () => {
      const [first] = new Placement(here, steady).rank(candidates, facts(change));
      expect(first?.candidate.target).to.equal(best);
    });
  });
});
