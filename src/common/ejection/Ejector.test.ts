import { expect } from 'chai';
import { FakeStore, reliable } from '../../bench/FakeStore.js';
import { brandAs, createRandom, VirtualClock } from '../base/index.js';
import type { DaemonId, Incarnation, ServiceName, TargetId } from '../base/index.js';
import type { TargetSummary } from '../health/index.js';
import type { TargetAnnouncement, TargetState } from '../services/Types.js';
import { EjectionRecord } from './EjectionRecord.js';
import { Ejector } from './Ejector.js';
import { HomeTarget } from './HomeTarget.js';
import type { FaultDiagnosis } from './Types.js';

const service = brandAs<ServiceName>('s');
const slowness = 10;
const work = 20;

/** Conditions of one attempt. */
interface Conditions {
  readonly peerSlowness?: number;
  readonly peerState?: TargetState;
  readonly diagnosis?: FaultDiagnosis;
  readonly isPaused?: boolean;
  readonly isAway?: boolean;
  readonly floor?: number;
}

/** Creates a target that learned a latency of 20 ms and then became 10 times slower. */
function createSlowTarget(clock: VirtualClock): HomeTarget {
  const announcement: TargetAnnouncement = {
    id: brandAs<TargetId>('t0'),
    incarnation: brandAs<Incarnation>('1'),
    service,
    address: 'a:1',
    slots: 5,
    connections: 5,
    state: 'active',
  };
  const target = new HomeTarget(announcement, 0);
  target.announce(announcement, 0);
  target.lifecycle.announce('active', false, 0);
  for (let count = 0; count < 120; count += 1) {
    clock.advance(100);
    const latency = count < 100 ? work : work * slowness;
    target.tracker.record({ kind: 'success', route: 'read', latency }, clock.elapsed());
  }
  target.lifecycle.advance(target.evaluate(clock.elapsed()), clock.elapsed());
  target.announce(announcement, clock.elapsed());
  return target;
}

async function attempt(conditions: Conditions): Promise<string> {
  const { peerSlowness = 1, peerState = 'active', diagnosis = 'target-faulty' } = conditions;
  const clock = new VirtualClock();
  const target = createSlowTarget(clock);
  const store = new FakeStore(clock, createRandom(11));
  store.fault = { ...reliable, isUnavailable: conditions.isAway ?? false };
  const peers = Array.from({ length: 4 }, (_, index): TargetSummary => {
    const routes = [{ route: 'read', median: work * peerSlowness, samples: 16 }];
    const evidence = { errorRate: 0, samples: 50, severity: 0, routes };
    const id = brandAs<TargetId>(`t${index + 1}`);
    return { target: id, status: peerState, slots: 5, share: 1, age: 0, ...evidence };
  });
  const ejector = new Ejector({
    home: brandAs<DaemonId>('d'),
    clock,
    record: () => new EjectionRecord(store, service),
    localSummaries: () => [target.summary(clock.elapsed())],
    nextToken: () => 'token',
    environment: {
      sampleSummaries: async () => peers,
      allSummaries: async () => peers,
      probe: async () => ({ kind: 'healthy' }),
      diagnoseFault: async () => diagnosis,
      floor: () => conditions.floor ?? 20,
      isPaused: () => conditions.isPaused ?? false,
    },
  });
  const result = await ejector.eject(target);
  return result.type === 'ejected' ? 'ejected' : result.refusal;
}

describe('Ejector', () => {
  const cases: readonly { name: string; conditions: Conditions; result: string }[] = [
    { name: 'ejects an outlier', conditions: {}, result: 'ejected' },
    { name: 'keeps the floor', conditions: { floor: 21 }, result: 'floor' },
    {
      name: 'does not eject a target that is like its peers',
      conditions: { peerSlowness: 10 },
      result: 'like-peers',
    },
    {
      name: 'does not eject when most targets of the service are suspect',
      conditions: { peerState: 'suspect' },
      result: 'service-wide',
    },
    {
      name: 'does not eject when the path is faulty',
      conditions: { diagnosis: 'path-faulty' },
      result: 'path-fault',
    },
    {
      name: 'does not eject without a confirmed diagnosis',
      conditions: { diagnosis: 'unclear' },
      result: 'not-confirmed',
    },
    {
      name: 'does not eject while ejection is paused',
      conditions: { isPaused: true },
      result: 'paused',
    },
    {
      name: 'does not eject without the store',
      conditions: { isAway: true },
      result: 'store-away',
    },
  ];
  cases.forEach(({ name, conditions, result }) => {
    it(`${name}: ${result}`, async () => {
      expect(await attempt(conditions)).to.equal(result);
    });
  });
});
