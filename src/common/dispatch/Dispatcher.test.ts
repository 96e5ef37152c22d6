import { expect } from 'chai';
import {
  brandAs,
  createRandom,
  NotRunError,
  OutcomeUnknownError,
  VirtualClock,
  type DaemonId,
  type DataCentre,
  type Incarnation,
  type Region,
  type RequestId,
  type ServiceName,
  type TargetId,
} from '../base/index.js';
import { logit } from '../health/HealthEstimator.js';
import { LatencyDistribution } from '../health/LatencyDistribution.js';
import type { TrafficRoute } from '../routing/TrafficTypes.js';
import { MemoryLog } from '../../testing/MemoryLog.js';
import { Dispatcher, type Directory } from './Dispatcher.js';
import { defaultLocality, Placement } from './Placement.js';
import { RouteStatistics } from './RouteStatistics.js';
import {
  HomeRefusalError,
  type Candidate,
  type AttemptRequest,
  type IncomingCall,
  type TargetAnswer,
  type TargetCondition,
} from './Types.js';

const service = brandAs<ServiceName>('pujas');
const region = brandAs<Region>('gam');
const dataCentre = brandAs<DataCentre>('gam-a');

/** Milliseconds after which a home refuses a queued request that it can't serve. */
const slowRefusal = 900;

type Behaviour =
  'queues' | 'busy' | 'answers' | 'hangs' | 'breaks' | 'suspect' | 'full' | 'unreachable' | 'fails';

/** A simulated fleet that records the starts, cancellations and attempts of one request. */
interface TestFleet {
  readonly clock: VirtualClock;
  readonly dispatcher: Dispatcher;
  readonly starts: string[];
  readonly requests: AttemptRequest[];
  readonly cancelled: string[];
  budget: number;
}

const createCondition = (unhealthyProbability: number): TargetCondition => ({
  running: 1,
  queued: 0,
  slots: 5,
  work: 300,
  sickness: logit(unhealthyProbability),
});

function wait(clock: VirtualClock, delay: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    const listening = new AbortController();
    const timer = clock.after(delay, () => {
      listening.abort();
      resolve();
    });
    const cancel = (): void => {
      timer.dispose();
      reject(new OutcomeUnknownError('cancelled', { step: 'test' }));
    };
    signal.addEventListener('abort', cancel, { signal: listening.signal });
  });
}

/** Creates a fleet of one service; `behaviours` maps target names to behaviours. */
function createFleet(behaviours: Readonly<Record<string, Behaviour>>): TestFleet {
  const clock = new VirtualClock();
  const starts: string[] = [];
  const requests: AttemptRequest[] = [];
  const cancelled: string[] = [];
  const conditions = new Map<string, TargetCondition>();
  const candidates = (): Candidate[] =>
    Object.keys(behaviours).map((name) => ({
      daemon: brandAs<DaemonId>(name),
      recordVersion: '1/1',
      address: name,
      encoding: 1,
      region,
      dataCentre,
      target: brandAs<TargetId>(name),
      incarnation: brandAs<Incarnation>('1'),
      slots: 5,
      inFlight: 0,
      condition: conditions.get(name),
      age: 0,
    }));
  const directory: Directory = {
    candidates,
    recordCondition: (target, known) => conditions.set(target, known),
    raiseSuspicion: () => {},
    unhealthyProbability: () => 0.15,
    adjustInFlight: () => {},
  };
  const fleet = { clock, starts, requests, cancelled, budget: Infinity };
  const refuse = (
    reason: ConstructorParameters<typeof HomeRefusalError>[0],
    unhealthyProbability: number,
    queued = 0,
  ): HomeRefusalError =>
    new HomeRefusalError(
      reason,
      reason,
      { step: 'test' },
      { condition: { ...createCondition(unhealthyProbability), queued } },
    );
  const send = async (
    { target }: Candidate,
    request: AttemptRequest,
    signal: AbortSignal,
  ): Promise<TargetAnswer> => {
    const behaviour = behaviours[target] ?? 'answers';
    requests.push(request);
    if (request.isRetry) {
      fleet.budget -= 1;
      if (fleet.budget < 0) throw refuse('limit', 0.1);
    }
    await wait(clock, 1, signal);
    if (behaviour === 'suspect' && !request.isForced) throw refuse('suspect', 0.7);
    if (behaviour === 'busy') throw refuse('queue-full', 0.1, 60);
    if (behaviour === 'full' && request.maxQueueWait === 0) throw refuse('queue-full', 0.1);
    if (behaviour === 'queues') {
      await wait(clock, Math.min(slowRefusal, request.maxQueueWait), signal).catch(() => {
        throw refuse('cancelled', 0.1);
      });
      throw refuse('queue-full', 0.1);
    }
    if (behaviour === 'unreachable') throw refuse('connect-failed', 0.1);
    request.onStart();
    starts.push(target);
    if (behaviour === 'breaks') throw new OutcomeUnknownError('reset', { step: 'test' });
    signal.addEventListener('abort', () => cancelled.push(target));
    await wait(clock, behaviour === 'hangs' ? 60_000 : 300, signal);
    const status = behaviour === 'fails' ? 500 : 200;
    return {
      status,
      headers: [],
      body: Buffer.from(target),
      condition: createCondition(0.05),
    };
  };
  const dispatcher = new Dispatcher({
    clock,
    directory,
    placement: new Placement({ region, dataCentre }, defaultLocality, createRandom(3)),
    statistics: new RouteStatistics(),
    send,
    version: () => 1,
    log: new MemoryLog(),
  });
  return Object.assign(fleet, { dispatcher });
}

const bid: TrafficRoute = {
  name: 'bid',
  host: 'h',
  path: '/',
  isIdempotent: false,
  timeout: 4_000,
  goal: 2_000,
  rank: 1,
  maxAttempts: 2,
  parts: [{ service, weight: 1 }],
};
const lookup: TrafficRoute = { ...bid, name: 'lookup', isIdempotent: true };

function call(route: TrafficRoute): IncomingCall {
  return {
    id: brandAs<RequestId>('r-1'),
    route,
    service,
    method: 'POST',
    path: '/x',
    headers: [],
    body: Buffer.from('b'),
    timeout: route.timeout,
  };
}

type Result = 'answered' | 'failed' | 'not run' | 'unknown';

async function dispatchCall(
  fleet: TestFleet,
  route: TrafficRoute,
  cancelAt?: number,
): Promise<Result> {
  const abort = new AbortController();
  if (cancelAt !== undefined) fleet.clock.after(cancelAt, () => abort.abort());
  const result = fleet.dispatcher.dispatch(call(route), abort.signal).then(
    ({ status }): Result => (status === 200 ? 'answered' : 'failed'),
    (error: unknown): Result => (error instanceof NotRunError ? 'not run' : 'unknown'),
  );
  await fleet.clock.advanceAsync(10_000);
  return result;
}

describe('Dispatcher', () => {
  const cases: readonly {
    readonly name: string;
    readonly behaviours: Readonly<Record<string, Behaviour>>;
    readonly route: TrafficRoute;
    readonly result: Result;
    readonly starts: number;
  }[] = [
    {
      name: 'runs a bid once',
      behaviours: { a: 'answers', b: 'answers' },
      route: bid,
      result: 'answered',
      starts: 1,
    },
    {
      name: 'does not retry a bid that hangs',
      behaviours: { a: 'hangs', b: 'hangs' },
      route: bid,
      result: 'unknown',
      starts: 1,
    },
    {
      name: 'does not retry a bid whose connection is reset',
      behaviours: { a: 'breaks', b: 'breaks' },
      route: bid,
      result: 'unknown',
      starts: 1,
    },
    {
      name: 'tries a bid at the next home when a home is unreachable',
      behaviours: { a: 'unreachable', b: 'unreachable', c: 'answers' },
      route: bid,
      result: 'answered',
      starts: 1,
    },
    {
      name: 'reports a bid as not run when no home is reachable',
      behaviours: { a: 'unreachable', b: 'unreachable' },
      route: bid,
      result: 'not run',
      starts: 0,
    },
    {
      name: 'sends a bid to the target that is not suspected',
      behaviours: { a: 'suspect', b: 'suspect', c: 'answers' },
      route: bid,
      result: 'answered',
      starts: 1,
    },
    {
      name: 'sends a bid to a suspected target when all are suspected',
      behaviours: { a: 'suspect', b: 'suspect' },
      route: bid,
      result: 'answered',
      starts: 1,
    },
    {
      name: 'queues a bid when all targets are full',
      behaviours: { a: 'full', b: 'full' },
      route: bid,
      result: 'answered',
      starts: 1,
    },
    {
      name: 'reports a bid as not run when there is no target',
      behaviours: {},
      route: bid,
      result: 'not run',
      starts: 0,
    },
    {
      name: 'returns the error response of the target',
      behaviours: { a: 'fails' },
      route: bid,
      result: 'failed',
      starts: 1,
    },
    {
      name: 'retries a look-up once at another target when its connection is reset',
      behaviours: { a: 'breaks', b: 'breaks', c: 'breaks' },
      route: lookup,
      result: 'unknown',
      starts: 2,
    },
    {
      name: 'sends a look-up to at most two targets when all hang',
      behaviours: { a: 'hangs', b: 'hangs', c: 'hangs' },
      route: lookup,
      result: 'unknown',
      starts: 2,
    },
    {
      name: 'retries a look-up after an error response',
      behaviours: { a: 'fails', b: 'fails' },
      route: lookup,
      result: 'failed',
      starts: 2,
    },
  ];
  cases.forEach(({ name, behaviours, route, result, starts }) => {
    it(name, async () => {
      const fleet = createFleet(behaviours);
      expect(await dispatchCall(fleet, route)).to.equal(result);
      expect(fleet.starts).to.have.length(starts);
    });
  });

  it('hedges a look-up when the first target hangs, and cancels the first attempt', async () => {
    let hangCount = 0;
    for (let round = 0; round < 20; round += 1) {
      const fleet = createFleet({ a: 'hangs', b: 'answers' });
      expect(await dispatchCall(fleet, lookup)).to.equal('answered');
      if (fleet.starts[0] === 'a') {
        hangCount += 1;
        expect(fleet.cancelled).to.include('a');
      }
    }
    expect(hangCount).to.be.at.most(20);
  });

  it('does not retry without retry budget, so that retries do not amplify an outage', async () => {
    const fleet = createFleet({ a: 'hangs', b: 'hangs' });
    fleet.budget = 0;
    expect(await dispatchCall(fleet, lookup)).to.equal('unknown');
    expect(fleet.starts).to.have.length(1);
  });

  it('limits the timeout of each attempt to the remaining time', async () => {
    const fleet = createFleet({ a: 'hangs', b: 'hangs' });
    await dispatchCall(fleet, lookup);
    const [first, second] = fleet.requests;
    expect(first?.timeout).to.be.at.most(4_000);
    expect(second?.timeout).to.be.at.most((first?.timeout ?? 0) - 500);
  });

  it('limits the time in the queue to the latency goal, so that queues do not fill with late requests', async () => {
    const fleet = createFleet({ a: 'full', b: 'full' });
    await dispatchCall(fleet, bid);
    const queueWaits = fleet.requests.map(({ maxQueueWait }) => maxQueueWait);
    expect(Math.max(...queueWaits)).to.be.within(1, bid.goal);
  });

  it('asks at most two homes whose queue seems too long, since each costs a hop', async () => {
    const fleet = createFleet({ a: 'busy', b: 'busy', c: 'busy', d: 'busy' });
    expect(await dispatchCall(fleet, bid)).to.equal('not run');
    const queueRequests = fleet.requests.filter(({ maxQueueWait }) => maxQueueWait > 0);
    expect(queueRequests).to.have.length(2);
  });

  it('cancels the attempt at once when the caller cancels the request', async () => {
    const fleet = createFleet({ a: 'hangs' });
    await dispatchCall(fleet, bid, 200);
    expect(fleet.cancelled).to.deep.equal(['a']);
  });

  const stopCases: readonly {
    readonly name: string;
    readonly behaviours: Readonly<Record<string, Behaviour>>;
    readonly route: TrafficRoute;
    /** Milliseconds between the arrival and the stop; negative if the stop came first. */
    readonly stopAfter: number;
    readonly result: Result;
  }[] = [
    {
      name: 'a bid that homes refuse one after the other',
      behaviours: { a: 'queues', b: 'queues', c: 'queues', d: 'queues', e: 'queues' },
      route: bid,
      stopAfter: 500,
      result: 'not run',
    },
    {
      name: 'a bid that arrives while the daemon is stopping and gets no slot',
      behaviours: { a: 'queues', b: 'queues', c: 'queues', d: 'queues', e: 'queues' },
      route: bid,
      stopAfter: -200,
      result: 'not run',
    },
    {
      name: 'a bid that runs at a target that hangs',
      behaviours: { a: 'hangs' },
      route: bid,
      stopAfter: 500,
      result: 'unknown',
    },
    {
      name: 'a look-up whose targets hang',
      behaviours: { a: 'hangs', b: 'hangs' },
      route: lookup,
      stopAfter: 500,
      result: 'unknown',
    },
    {
      name: 'a look-up that arrives while the daemon is stopping and hangs',
      behaviours: { a: 'hangs', b: 'hangs' },
      route: lookup,
      stopAfter: -200,
      result: 'unknown',
    },
  ];
  stopCases.forEach(({ name, behaviours, route, stopAfter, result }) => {
    it(`ends ${name} before the daemon ends, with a true outcome`, async () => {
      const fleet = createFleet(behaviours);
      const { clock, dispatcher } = fleet;
      const endsAt = 2_000;
      const stop = (): void => dispatcher.endBy(endsAt);
      if (stopAfter < 0) {
        stop();
        await clock.advanceAsync(-stopAfter);
      } else {
        clock.after(stopAfter, stop);
      }
      let endedAt = Infinity;
      const patient = { ...route, timeout: 10_000, goal: 4_000 };
      const ended = dispatcher.dispatch(call(patient), new AbortController().signal).then(
        (): Result => 'answered',
        (error: unknown): Result => {
          endedAt = clock.elapsed();
          return error instanceof NotRunError ? 'not run' : 'unknown';
        },
      );
      await clock.advanceAsync(10_000);
      expect(await ended).to.equal(result);
      // A target that runs the request may answer until shortly before the end.
      expect(endedAt).to.be.within(result === 'unknown' ? endsAt - 50 : 0, endsAt);
      if (stopAfter > 0) return;
      fleet.requests.forEach(({ timeout, maxQueueWait }) => {
        expect(timeout).to.be.at.most(endsAt + stopAfter);
        expect(maxQueueWait).to.be.at.most(timeout);
      });
    });
  });

  it('sends nothing for a request that arrives when the daemon is about to end', async () => {
    const fleet = createFleet({ a: 'answers' });
    fleet.dispatcher.endBy(0);
    expect(await dispatchCall(fleet, lookup)).to.equal('not run');
    expect(fleet.requests).to.have.length(0);
  });

  it('gives up a queued bid while it still had time to run, so that it gets no slot only to be cut', async () => {
    const fleet = createFleet({ a: 'queues' });
    const result = fleet.dispatcher
      .dispatch(call({ ...bid, goal: 4_000 }), new AbortController().signal)
      .catch(() => fleet.clock.elapsed());
    fleet.clock.after(300, () => fleet.dispatcher.endBy(1_800));
    await fleet.clock.advanceAsync(10_000);
    expect(await result).to.be.at.most(1_800 - new LatencyDistribution(4_000).median);
  });

  it('does not retry a look-up when the daemon is about to end', async () => {
    const fleet = createFleet({ a: 'breaks', b: 'breaks' });
    fleet.dispatcher.endBy(48);
    expect(await dispatchCall(fleet, { ...lookup, goal: 100 })).to.equal('unknown');
    expect(fleet.starts).to.have.length(1);
  });

  it('does not shorten the wait of a request that ends before the daemon does', async () => {
    const fleet = createFleet({ a: 'answers' });
    fleet.dispatcher.endBy(5_000);
    expect(await dispatchCall(fleet, bid)).to.equal('answered');
  });

  it('fails at the timeout and not later', async () => {
    const fleet = createFleet({ a: 'hangs' });
    let end = 0;
    void fleet.dispatcher.dispatch(call(bid), new AbortController().signal).catch(() => {
      end = fleet.clock.elapsed();
    });
    await fleet.clock.advanceAsync(10_000);
    expect(end).to.be.within(3_900, 4_000);
  });
});
