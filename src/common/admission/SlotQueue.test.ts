import { expect } from 'chai';
import { isRight } from 'fp-ts/lib/Either.js';
import { VirtualClock } from '../base/index.js';
import { SlotQueue, type SlotRequest, type SlotPermit } from './SlotQueue.js';

const { signal } = new AbortController();

function create(slots: number) {
  const clock = new VirtualClock();
  const queue = new SlotQueue(slots, clock);
  const events: string[] = [];
  const permits = new Map<string, SlotPermit>();
  const submit = (name: string, change: Partial<SlotRequest> = {}, abort = signal): void => {
    const demand = {
      rank: 1,
      goal: 1_000,
      serviceTime: 50,
      maxQueueWait: 5_000,
      isMovable: false,
      ...change,
    };
    void queue.submit(demand, abort).then((result) => {
      if (isRight(result)) permits.set(name, result.right);
      events.push(isRight(result) ? `${name} runs` : `${name} ${result.left.reason}`);
    });
  };
  return { clock, queue, events, permits, submit };
}

describe('SlotQueue', () => {
  it('serves the lower rank first, so that bids do not wait behind listings', async () => {
    const { clock, events, permits, submit } = create(1);
    submit('first');
    submit('listing', { rank: 2 });
    submit('bid', { rank: 0 });
    await clock.advanceAsync(0);
    permits.get('first')?.release();
    await clock.advanceAsync(0);
    permits.get('bid')?.release();
    await clock.advanceAsync(0);
    expect(events).to.deep.equal(['first runs', 'bid runs', 'listing runs']);
  });

  it('starts queued requests by the rate limit of the target, those of lower rank first', async () => {
    const { clock, events, queue, submit } = create(5);
    queue.limitRate(1);
    submit('first');
    submit('listing', { rank: 2 });
    submit('bid', { rank: 0 });
    await clock.advanceAsync(999);
    expect(events).to.deep.equal(['first runs']);
    await clock.advanceAsync(1_001);
    expect(events).to.deep.equal(['first runs', 'bid runs', 'listing runs']);
  });

  it('refuses at once what the rate limit of the target would keep waiting too long', async () => {
    const { clock, events, queue, submit } = create(5);
    queue.limitRate(1);
    submit('first');
    submit('listing', { rank: 2, maxQueueWait: 1_500 });
    submit('late', { rank: 2, maxQueueWait: 1_500 });
    await clock.advanceAsync(0);
    expect(events).to.deep.equal(['first runs', 'late busy']);
    submit('bid', { rank: 0, maxQueueWait: 1_500 });
    queue.refuseUnservable();
    await clock.advanceAsync(0);
    expect(events).to.deep.equal(['first runs', 'late busy', 'listing busy']);
  });

  it('starts queued requests when the target lifts its limit', async () => {
    const { clock, events, queue, submit } = create(5);
    queue.limitRate(0);
    submit('first');
    submit('next');
    await clock.advanceAsync(10);
    queue.limitRate(undefined);
    await clock.advanceAsync(0);
    expect(events).to.deep.equal(['first runs', 'next runs']);
  });

  it('serves requests with a shorter latency goal first within a rank', async () => {
    const { clock, events, permits, submit } = create(1);
    submit('first');
    submit('order', { goal: 800 });
    submit('call', { goal: 200 });
    await clock.advanceAsync(0);
    permits.get('first')?.release();
    await clock.advanceAsync(0);
    expect(events).to.deep.equal(['first runs', 'call runs']);
  });

  it('serves requests that can meet their goal before late ones, so that not all are late in an overload', async () => {
    const { clock, events, permits, submit } = create(1);
    submit('first');
    submit('late', { goal: 400, serviceTime: 300 });
    await clock.advanceAsync(200);
    submit('timely', { goal: 400, serviceTime: 100 });
    await clock.advanceAsync(0);
    permits.get('first')?.release();
    await clock.advanceAsync(0);
    permits.get('timely')?.release();
    await clock.advanceAsync(0);
    expect(events).to.deep.equal(['first runs', 'timely runs', 'late runs']);
  });

  it('queues no request for slots held by stuck requests', async () => {
    const { clock, events, queue, submit } = create(2);
    submit('hung');
    submit('hung too');
    await clock.advanceAsync(1_500);
    submit('third', { maxQueueWait: 3_000 });
    await clock.advanceAsync(0);
    expect(queue.load.slots).to.equal(0);
    expect(events).to.include('third busy');
  });

  it('refuses a queued request as soon as it is not expected to get a slot in time', async () => {
    const { clock, events, queue, submit } = create(1);
    submit('hung');
    submit('second', { maxQueueWait: 3_000 });
    await clock.advanceAsync(1_300);
    queue.refuseUnservable();
    await clock.advanceAsync(0);
    expect(events).to.include('second busy');
  });

  const refusals = [
    {
      name: 'at once if it cannot get a slot within its maximum queue wait',
      maxQueueWait: 0,
      after: 0,
    },
    { name: 'when its maximum queue wait ends', maxQueueWait: 2_000, after: 2_000 },
  ];
  refusals.forEach(({ name, maxQueueWait, after }) => {
    it(`refuses ${name}`, async () => {
      const { clock, events, submit } = create(1);
      submit('first');
      submit('second', { maxQueueWait });
      await clock.advanceAsync(after);
      expect(events).to.include('second busy');
    });
  });

  it('evicts only movable requests when the target becomes suspect', async () => {
    const { clock, queue, events, submit } = create(1);
    submit('first');
    submit('movable', { isMovable: true });
    submit('forced');
    await clock.advanceAsync(0);
    queue.evict('suspect', ({ isMovable }) => isMovable);
    await clock.advanceAsync(0);
    expect(events).to.deep.equal(['first runs', 'movable suspect']);
    expect(queue.queued).to.equal(1);
  });

  it('gives no slot to a cancelled request', async () => {
    const { clock, events, permits, submit } = create(1);
    const abort = new AbortController();
    submit('first');
    submit('second', {}, abort.signal);
    abort.abort();
    permits.get('first')?.release();
    await clock.advanceAsync(0);
    expect(events).to.include('second cancelled');
  });

  it('never runs more than its slots, whatever the order of releases', async () => {
    const { clock, queue, permits, submit } = create(3);
    for (let index = 0; index < 20; index += 1) submit(`r${index}`);
    for (let step = 0; step < 20; step += 1) {
      await clock.advanceAsync(10);
      expect(queue.running).to.be.at.most(3);
      const [name] = permits.keys();
      const permit = permits.get(name ?? '');
      permits.delete(name ?? '');
      permit?.release();
      permit?.release();
    }
  });
});
