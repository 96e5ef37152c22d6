import { expect } from 'chai';
import { isRight } from 'fp-ts/lib/Either.js';
import { brandAs, VirtualClock, type RequestId, type ServiceName } from '../base/index.js';
import type { RequestContext, WorkClass } from '../services/Types.js';
import { CostModel } from './CostModel.js';
import { AdmissionController } from './AdmissionController.js';
import type { AdmissionLimits, Permit } from './Types.js';

interface Log {
  readonly started: string[];
  readonly refused: string[];
  readonly permits: Map<string, Permit>;
}

/** A request written as `id class route timeout`. */
function parse(text: string): RequestContext {
  const [id = '', workClass = 'interactive', route = 'short', timeout = '1000'] = text.split(' ');
  return {
    id: brandAs<RequestId>(id),
    service: brandAs<ServiceName>('pujas'),
    route,
    workClass: workClass as WorkClass,
    isIdempotent: true,
    timeout: Number(timeout),
  };
}

function createBench(settings: Partial<AdmissionLimits> = {}) {
  const clock = new VirtualClock();
  const cost = new CostModel();
  for (let index = 0; index < 20; index += 1) cost.record('short', 10);
  for (let index = 0; index < 6; index += 1) cost.record('long', 500);
  const gate = new AdmissionController({ slots: 1, maxQueue: 10, ...settings }, cost, clock);
  const log: Log = { started: [], refused: [], permits: new Map() };
  const submit = (text: string) => {
    const context = parse(text);
    return gate.enqueue({ context }, (result) => {
      if (isRight(result)) {
        log.started.push(context.id);
        log.permits.set(context.id, result.right);
      } else log.refused.push(`${context.id} ${result.left.reason}`);
    });
  };
  const release = (id: string) => log.permits.get(id)?.release({ kind: 'success' });
  return { clock, cost, gate, log, submit, release };
}

describe('Gate', () => {
  const orders = [
    {
      name: 'starts by class before arrival, or critical work waits behind listings',
      requests: ['a bulk', 'b interactive', 'c critical'],
      order: ['c', 'b', 'a'],
    },
    {
      name: 'starts by deadline within a class, or the tighter one misses it',
      requests: ['a interactive short 900', 'b interactive short 500', 'c interactive short 700'],
      order: ['b', 'c', 'a'],
    },
  ];
  orders.forEach(({ name, requests, order }) => {
    it(name, () => {
      const { log, submit, release, clock } = createBench();
      submit('first');
      requests.forEach(submit);
      ['first', ...order].forEach((id) => {
        clock.advance(10);
        release(id);
      });
      expect(log.started).to.deep.equal(['first', ...order]);
    });
  });

  it('releases a slot once, or a second release admits more work than there are slots', () => {
    const { gate, log, submit, release } = createBench();
    ['a', 'b', 'c'].forEach(submit);
    release('a');
    release('a');
    expect(log.started).to.deep.equal(['a', 'b']);
    expect(gate.load).to.include({ running: 1, queued: 1 });
  });

  it('counts the release of long work once, or long work takes the slot of short work', () => {
    const { log, submit, release } = createBench({ slots: 3 });
    submit('s');
    ['l1', 'l2', 'l3', 'l4'].forEach((id) => submit(`${id} bulk long 60000`));
    release('l1');
    release('l1');
    release('s');
    expect(log.started).to.deep.equal(['s', 'l1', 'l2', 'l3']);
  });

  const refusals = [
    {
      name: 'refuses at once what cannot end before its deadline',
      requests: ['a', 'b', 'c interactive short 15'],
      refused: ['c deadline'],
    },
    {
      name: 'keeps the queue in its bound',
      requests: ['a', 'b', 'c', 'd'],
      settings: { maxQueue: 2 },
      refused: ['d queue-full'],
    },
    {
      name: 'evicts the lowest class first, or critical work is refused before bulk',
      requests: ['a', 'b bulk', 'c interactive', 'd critical', 'e critical', 'f critical'],
      settings: { maxQueue: 2 },
      refused: ['b queue-full', 'c queue-full', 'f queue-full'],
    },
  ];
  refusals.forEach(({ name, requests, settings, refused }) => {
    it(name, () => {
      const { log, submit } = createBench(settings);
      requests.forEach(submit);
      expect(log.refused).to.deep.equal(refused);
    });
  });

  it('refuses waiting work whose deadline comes too close, or it would run in vain', () => {
    const { clock, log, submit } = createBench();
    submit('a');
    submit('b interactive short 100');
    clock.advance(100);
    expect(log.refused).to.deep.equal(['b deadline']);
  });

  const longs = [
    { name: 'keeps one slot from long work', slots: 3, started: ['s', 'l1', 'l2'] },
    { name: 'lets long work have the only slot', slots: 1, started: ['s', 'l1'] },
  ];
  longs.forEach(({ name, slots, started }) => {
    it(`${name}, or short work waits behind it`, () => {
      const { log, submit, release } = createBench({ slots });
      submit('s');
      ['l1', 'l2', 'l3'].forEach((id) => submit(`${id} bulk long 60000`));
      release('s');
      expect(log.started).to.deep.equal(started);
    });
  });

  it('gives long work all slots when no short work is about, or capacity stays unused', () => {
    const { clock, log, submit } = createBench({ slots: 2 });
    clock.advance(10_000);
    ['l1', 'l2'].forEach((id) => submit(`${id} bulk long 60000`));
    expect(log.started).to.deep.equal(['l1', 'l2']);
  });

  it('starts bulk work among a stream of interactive work, or downloads never arrive', () => {
    const { clock, log, submit, release } = createBench({ maxQueue: 50 });
    submit('first');
    for (let index = 0; index < 40; index += 1) submit(`b${index} bulk short 60000`);
    for (let index = 0; index < 400; index += 1) {
      submit(`i${index} interactive short 60000`);
      clock.advance(10);
      release(log.started.at(-1) ?? '');
    }
    const share = log.started.filter((id) => id.startsWith('b')).length / log.started.length;
    expect(share).to.be.within(0.04, 0.13);
    const refusedBulk = log.refused.filter((text) => text.startsWith('b'));
    expect(40 - refusedBulk.length).to.be.at.least(6);
  });

  it('never starts a cancelled request', () => {
    const { log, submit, release } = createBench();
    submit('a');
    submit('b').dispose();
    release('a');
    expect(log).to.deep.include({ started: ['a'], refused: ['b cancelled'] });
  });

  it('refuses a waiting request whose signal is aborted', async () => {
    const { gate, submit } = createBench();
    submit('a');
    const controller = new AbortController();
    const result = gate.submit({ context: parse('b') }, controller.signal);
    controller.abort();
    expect(await result).to.have.nested.property('left.reason', 'cancelled');
  });

  it('starts nothing after the grace of a drain, or a leaving target gets new work', () => {
    const { clock, gate, log, submit, release } = createBench();
    submit('a interactive short 9000');
    submit('b interactive short 9000');
    gate.drain(500);
    submit('c');
    expect(log.refused).to.deep.equal(['c draining']);
    clock.advance(600);
    release('a');
    expect(log.refused).to.deep.equal(['c draining', 'b draining']);
    expect(gate.isIdle).to.equal(true);
  });
});
