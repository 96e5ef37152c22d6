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

/** Parses a request written as `id class route timeout`. */
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

function createFixture(settings: Partial<AdmissionLimits> = {}) {
  const clock = new VirtualClock();
  const cost = new CostModel();
  for (let index = 0; index < 20; index += 1) cost.record('short', 10);
  for (let index = 0; index < 6; index += 1) cost.record('long', 500);
  const admission = new AdmissionController({ slots: 1, maxQueue: 10, ...settings }, cost, clock);
  const log: Log = { started: [], refused: [], permits: new Map() };
  const submit = (text: string) => {
    const context = parse(text);
    return admission.enqueue({ context }, (result) => {
      if (isRight(result)) {
        log.started.push(context.id);
        log.permits.set(context.id, result.right);
      } else log.refused.push(`${context.id} ${result.left.reason}`);
    });
  };
  const release = (id: string) => log.permits.get(id)?.release({ kind: 'success' });
  return { clock, cost, admission, log, submit, release };
}

describe('AdmissionController', () => {
  const orderCases = [
    {
      name: 'starts requests by class before arrival, so that critical work does not wait behind listings',
      requests: ['a bulk', 'b interactive', 'c critical'],
      order: ['c', 'b', 'a'],
    },
    {
      name: 'starts requests by deadline within a class, so that the earlier deadline is met',
      requests: ['a interactive short 900', 'b interactive short 500', 'c interactive short 700'],
      order: ['b', 'c', 'a'],
    },
  ];
  orderCases.forEach(({ name, requests, order }) => {
    it(name, () => {
      const { log, submit, release, clock } = createFixture();
      submit('first');
      requests.forEach(submit);
      ['first', ...order].forEach((id) => {
        clock.advance(10);
        release(id);
      });
      expect(log.started).to.deep.equal(['first', ...order]);
    });
  });

  it('ignores a second release, which would admit more requests than there are slots', () => {
    const { admission, log, submit, release } = createFixture();
    ['a', 'b', 'c'].forEach(submit);
    release('a');
    release('a');
    expect(log.started).to.deep.equal(['a', 'b']);
    expect(admission.load).to.include({ running: 1, queued: 1 });
  });

  it('ignores a second release of long work, which would admit long work to the slot of short work', () => {
    const { log, submit, release } = createFixture({ slots: 3 });
    submit('s');
    ['l1', 'l2', 'l3', 'l4'].forEach((id) => submit(`${id} bulk long 60000`));
    release('l1');
    release('l1');
    release('s');
    expect(log.started).to.deep.equal(['s', 'l1', 'l2', 'l3']);
  });

  const refusalCases = [
    {
      name: 'refuses a request at once that cannot end before its deadline',
      requests: ['a', 'b', 'c interactive short 15'],
      refused: ['c deadline'],
    },
    {
      name: 'enforces the queue limit',
      requests: ['a', 'b', 'c', 'd'],
      settings: { maxQueue: 2 },
      refused: ['d queue-full'],
    },
    {
      name: 'evicts the lowest class first, so that critical work is not refused before bulk work',
      requests: ['a', 'b bulk', 'c interactive', 'd critical', 'e critical', 'f critical'],
      settings: { maxQueue: 2 },
      refused: ['b queue-full', 'c queue-full', 'f queue-full'],
    },
  ];
  refusalCases.forEach(({ name, requests, settings, refused }) => {
    it(name, () => {
      const { log, submit } = createFixture(settings);
      requests.forEach(submit);
      expect(log.refused).to.deep.equal(refused);
    });
  });

  it('refuses a queued request that can no longer meet its deadline instead of running it in vain', () => {
    const { clock, log, submit } = createFixture();
    submit('a');
    submit('b interactive short 100');
    clock.advance(100);
    expect(log.refused).to.deep.equal(['b deadline']);
  });

  const longCases = [
    { name: 'reserves one slot for short work', slots: 3, started: ['s', 'l1', 'l2'] },
    { name: 'lets long work use the only slot', slots: 1, started: ['s', 'l1'] },
  ];
  longCases.forEach(({ name, slots, started }) => {
    it(`${name} while short work is recent`, () => {
      const { log, submit, release } = createFixture({ slots });
      submit('s');
      ['l1', 'l2', 'l3'].forEach((id) => submit(`${id} bulk long 60000`));
      release('s');
      expect(log.started).to.deep.equal(started);
    });
  });

  it('lets long work use all slots when there is no short work, so that no capacity is unused', () => {
    const { clock, log, submit } = createFixture({ slots: 2 });
    clock.advance(10_000);
    ['l1', 'l2'].forEach((id) => submit(`${id} bulk long 60000`));
    expect(log.started).to.deep.equal(['l1', 'l2']);
  });

  it('starts bulk work during a stream of interactive work, so that it does not starve', () => {
    const { clock, log, submit, release } = createFixture({ maxQueue: 50 });
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
    const { log, submit, release } = createFixture();
    submit('a');
    submit('b').dispose();
    release('a');
    expect(log).to.deep.include({ started: ['a'], refused: ['b cancelled'] });
  });

  it('refuses a queued request whose signal is aborted', async () => {
    const { admission, submit } = createFixture();
    submit('a');
    const controller = new AbortController();
    const result = admission.submit({ context: parse('b') }, controller.signal);
    controller.abort();
    expect(await result).to.have.nested.property('left.reason', 'cancelled');
  });

  it('starts no request after the grace period of a drain, so that a draining target gets no new work', () => {
    const { clock, admission, log, submit, release } = createFixture();
    submit('a interactive short 9000');
    submit('b interactive short 9000');
    admission.drain(500);
    submit('c');
    expect(log.refused).to.deep.equal(['c draining']);
    clock.advance(600);
    release('a');
    expect(log.refused).to.deep.equal(['c draining', 'b draining']);
    expect(admission.isIdle).to.equal(true);
  });
});
