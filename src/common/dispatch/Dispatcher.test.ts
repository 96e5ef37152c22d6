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
import type { TrafficRoute } from '../routing/TrafficTypes.js';
import { MemoryLog } from '../../testing/MemoryLog.js';
import { Dispatcher, type Directory } from './Dispatcher.js';
import { Placement } from './Placement.js';
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

type Behaviour =
  'busy' | 'answers' | 'hangs' | 'breaks' | 'suspect' | 'full' | 'unreachable' | 'fails';

/** Starts and ends of one request as the targets see them. */
interface World {
  readonly clock: VirtualClock;
  readonly dispatcher: Dispatcher;
  readonly starts: string[];
  readonly orders: AttemptRequest[];
  readonly cancelled: string[];
  budget: number;
}

const condition = (sickness: number): TargetCondition => ({
  running: 1,
  queued: 0,
  slots: 5,
  work: 300,
  sickness: logit(sickness),
});

function wait(clock: VirtualClock, delay: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    const timer = clock.after(delay, resolve);
    signal.addEventListener('abort', () => {
      timer.dispose();
      reject(new OutcomeUnknownError('cancelled', { step: 'test' }));
    });
  });
}

/** Fleet of one service whose targets behave as named. */
function createWorld(behaviours: Readonly<Record<string, Behaviour>>): World {
  const clock = new VirtualClock();
  const starts: string[] = [];
  const orders: AttemptRequest[] = [];
  const cancelled: string[] = [];
  const conditions = new Map<string, TargetCondition>();
  const candidates = (): Candidate[] =>
    Object.keys(behaviours).map((name) => ({
      daemon: brandAs<DaemonId>(name),
      recordVersion: '1/1',
      address: name,
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
    markReachable: () => {},
    markUnreachable: () => {},
    raiseSuspicion: () => {},
    unhealthyProbability: () => 0.15,
    adjustInFlight: () => {},
  };
  const world = { clock, starts, orders, cancelled, budget: Infinity };
  const refuse = (
    reason: ConstructorParameters<typeof HomeRefusalError>[0],
    sickness: number,
    queued = 0,
  ): HomeRefusalError =>
    new HomeRefusalError(
      reason,
      reason,
      { step: 'test' },
      { condition: { ...condition(sickness), queued } },
    );
  const send = async (
    { target }: Candidate,
    order: AttemptRequest,
    signal: AbortSignal,
  ): Promise<TargetAnswer> => {
    const behaviour = behaviours[target] ?? 'answers';
    orders.push(order);
    if (order.isRetry) {
      world.budget -= 1;
      if (world.budget < 0) throw refuse('limit', 0.1);
    }
    await wait(clock, 1, signal);
    if (behaviour === 'suspect' && !order.isForced) throw refuse('suspect', 0.7);
    if (behaviour === 'busy') throw refuse('queue-full', 0.1, 60);
    if (behaviour === 'full' && order.maxQueueWait === 0) throw refuse('queue-full', 0.1);
    if (behaviour === 'unreachable') throw refuse('connect-failed', 0.1);
    order.onStart();
    starts.push(target);
    if (behaviour === 'breaks') throw new OutcomeUnknownError('reset', { step: 'test' });
    signal.addEventListener('abort', () => cancelled.push(target));
    await wait(clock, behaviour === 'hangs' ? 60_000 : 300, signal);
    const status = behaviour === 'fails' ? 500 : 200;
    return { status, headers: [], body: Buffer.from(target), condition: condition(0.05) };
  };
  const dispatcher = new Dispatcher({
    clock,
    directory,
    placement: new Placement({ region, dataCentre }, createRandom(3)),
    statistics: new RouteStatistics(),
    send,
    version: () => 1,
    log: new MemoryLog(),
  });
  return Object.assign(world, { dispatcher });
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

async function play(world: World, route: TrafficRoute, leavesAt?: number): Promise<Result> {
  const abort = new AbortController();
  if (leavesAt !== undefined) world.clock.after(leavesAt, () => abort.abort());
  const result = world.dispatcher.dispatch(call(route), abort.signal).then(
    ({ status }): Result => (status === 200 ? 'answered' : 'failed'),
    (error: unknown): Result => (error instanceof NotRunError ? 'not run' : 'unknown'),
  );
  await world.clock.advanceAsync(10_000);
  return result;
}

describe('Dispatcher', () => {
  const cases: readonly {
    readonly name: string;
    readonly fleet: Readonly<Record<string, Behaviour>>;
    readonly route: TrafficRoute;
    readonly result: Result;
    readonly starts: number;
  }[] = [
    {
      name: 'a bid runs once',
      fleet: { a: 'answers', b: 'answers' },
      route: bid,
      result: 'answered',
      starts: 1,
    },
    {
      name: 'a bid that hangs is not run again',
      fleet: { a: 'hangs', b: 'hangs' },
      route: bid,
      result: 'unknown',
      starts: 1,
    },
    {
      name: 'a bid that breaks is not run again',
      fleet: { a: 'breaks', b: 'breaks' },
      route: bid,
      result: 'unknown',
      starts: 1,
    },
    {
      name: 'a bid passes over homes that cannot be reached',
      fleet: { a: 'unreachable', b: 'unreachable', c: 'answers' },
      route: bid,
      result: 'answered',
      starts: 1,
    },
    {
      name: 'a bid that no home takes is not run',
      fleet: { a: 'unreachable', b: 'unreachable' },
      route: bid,
      result: 'not run',
      starts: 0,
    },
    {
      name: 'a bid goes to the target that is not suspected',
      fleet: { a: 'suspect', b: 'suspect', c: 'answers' },
      route: bid,
      result: 'answered',
      starts: 1,
    },
    {
      name: 'a bid is risked when all are suspected',
      fleet: { a: 'suspect', b: 'suspect' },
      route: bid,
      result: 'answered',
      starts: 1,
    },
    {
      name: 'a bid waits when all are full',
      fleet: { a: 'full', b: 'full' },
      route: bid,
      result: 'answered',
      starts: 1,
    },
    {
      name: 'a bid without targets is not run',
      fleet: {},
      route: bid,
      result: 'not run',
      starts: 0,
    },
    {
      name: 'a failure of the target is passed on',
      fleet: { a: 'fails' },
      route: bid,
      result: 'failed',
      starts: 1,
    },
    {
      name: 'a look-up is asked elsewhere when it breaks',
      fleet: { a: 'breaks', b: 'breaks', c: 'breaks' },
      route: lookup,
      result: 'unknown',
      starts: 2,
    },
    {
      name: 'a look-up is asked at most at two targets when all hang',
      fleet: { a: 'hangs', b: 'hangs', c: 'hangs' },
      route: lookup,
      result: 'unknown',
      starts: 2,
    },
    {
      name: 'a look-up that fails is asked elsewhere',
      fleet: { a: 'fails', b: 'fails' },
      route: lookup,
      result: 'failed',
      starts: 2,
    },
  ];
  cases.forEach(({ name, fleet, route, result, starts }) => {
    it(name, async () => {
      const world = createWorld(fleet);
      expect(await play(world, route)).to.equal(result);
      expect(world.starts).to.have.length(starts);
    });
  });

  it('answers a look-up from the second target when the first one hangs, and cancels the first', async () => {
    let hung = 0;
    for (let round = 0; round < 20; round += 1) {
      const world = createWorld({ a: 'hangs', b: 'answers' });
      expect(await play(world, lookup)).to.equal('answered');
      if (world.starts[0] === 'a') {
        hung += 1;
        expect(world.cancelled).to.include('a');
      }
    }
    expect(hung).to.be.at.most(20);
  });

  it('sends nothing twice without budget, or retries add to an outage', async () => {
    const world = createWorld({ a: 'hangs', b: 'hangs' });
    world.budget = 0;
    expect(await play(world, lookup)).to.equal('unknown');
    expect(world.starts).to.have.length(1);
  });

  it('hands each attempt no more time than is left', async () => {
    const world = createWorld({ a: 'hangs', b: 'hangs' });
    await play(world, lookup);
    const [first, second] = world.orders;
    expect(first?.timeout).to.be.at.most(4_000);
    expect(second?.timeout).to.be.at.most((first?.timeout ?? 0) - 500);
  });

  it('lets a home queue a request only as long as the answer can be in time, or queues fill with late work', async () => {
    const world = createWorld({ a: 'full', b: 'full' });
    await play(world, bid);
    const patiences = world.orders.map(({ maxQueueWait: patience }) => patience);
    expect(Math.max(...patiences)).to.be.within(1, bid.goal);
  });

  it('asks only two homes although their queue looks too long, since each costs a hop', async () => {
    const world = createWorld({ a: 'busy', b: 'busy', c: 'busy', d: 'busy' });
    expect(await play(world, bid)).to.equal('not run');
    const rounds = world.orders.filter(({ maxQueueWait: patience }) => patience > 0);
    expect(rounds).to.have.length(2);
  });

  it('cancels at the target at once when the caller leaves', async () => {
    const world = createWorld({ a: 'hangs' });
    await play(world, bid, 200);
    expect(world.cancelled).to.deep.equal(['a']);
  });

  it('gives the final answer at the timeout and not later', async () => {
    const world = createWorld({ a: 'hangs' });
    let end = 0;
    void world.dispatcher.dispatch(call(bid), new AbortController().signal).catch(() => {
      end = world.clock.elapsed();
    });
    await world.clock.advanceAsync(10_000);
    expect(end).to.be.within(3_900, 4_000);
  });
});
