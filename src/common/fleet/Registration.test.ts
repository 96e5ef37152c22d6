import { expect } from 'chai';
import { VirtualClock } from '../base/index.js';
import { FakePolledStore } from '../../testing/FakePolledStore.js';
import { MemoryLog } from '../../testing/MemoryLog.js';
import { Registration } from './Registration.js';

const key = 'limpettrack/daemons/d-1';

function create() {
  const clock = new VirtualClock();
  const store = new FakePolledStore(clock);
  const log = new MemoryLog();
  const registration = new Registration({
    store,
    key,
    leaseSeconds: 6,
    clock,
    random: () => 0.5,
    log,
  });
  return { clock, store, log, registration };
}

describe('Registration', () => {
  it('keeps its key while it runs, and the key expires with the lease afterwards', async () => {
    const { clock, store, registration } = create();
    registration.publish('one');
    await clock.advanceAsync(60_000);
    expect(store.getText(key)).to.equal('one');
    registration.dispose();
    await clock.advanceAsync(7_000);
    expect(store.getText(key)).to.equal(undefined);
  });

  const faults = [
    { name: 'an outage', begin: 'isDown' as const },
    { name: 'lost answers', begin: 'losesAnswers' as const },
  ];
  faults.forEach(({ name, begin }) => {
    it(`registers again within two seconds after ${name}, so that the fleet does not remove it`, async () => {
      const { clock, store, registration } = create();
      store.faults[begin] = true;
      registration.publish('one');
      await clock.advanceAsync(5_000);
      registration.publish('two');
      await clock.advanceAsync(20_000);
      store.faults[begin] = false;
      store.revokeAllLeases();
      await clock.advanceAsync(2_000);
      expect(store.getText(key)).to.equal('two');
    });
  });

  it('does not write its key again for a state from before it was written', async () => {
    const { clock, store, registration } = create();
    const before = { epoch: store.epoch, revision: store.lastRevision };
    registration.publish('one');
    await clock.advanceAsync(200);
    registration.markLost(before);
    await clock.advanceAsync(200);
    expect(store.callCounts.transact).to.equal(1);
  });

  it('writes its key again when the lease was revoked without notice', async () => {
    const { clock, store, registration } = create();
    registration.publish('one');
    await clock.advanceAsync(100);
    store.remove(key);
    registration.markLost({ epoch: store.epoch, revision: store.lastRevision });
    await clock.advanceAsync(200);
    expect(store.getText(key)).to.equal('one');
  });

  it('writes its key again within two seconds after the store came back from a copy without it, whose lease number is given out again', async () => {
    const { clock, store, registration } = create();
    const copy = store.copy();
    registration.publish('one');
    await clock.advanceAsync(10_000);
    store.restore(copy);
    // Another daemon gets the same lease number.
    const lease = await store.grantLease(60);
    store.put('limpettrack/daemons/d-2', 'other', lease);
    await clock.advanceAsync(2_400);
    expect(store.getText(key)).to.equal('one');
    expect(store.getText('limpettrack/daemons/d-2')).to.equal('other');
  });

  it('does not remove the key of another daemon when it stops, whose lease has the number of its own', async () => {
    const { clock, store, registration } = create();
    const copy = store.copy();
    registration.publish('one');
    await clock.advanceAsync(100);
    store.restore(copy);
    const lease = await store.grantLease(60);
    store.put('limpettrack/daemons/d-2', 'other', lease);
    await registration.withdraw();
    expect(store.getText('limpettrack/daemons/d-2')).to.equal('other');
  });

  it('replaces the key of its own earlier incarnation', async () => {
    const { clock, store, registration } = create();
    store.put(key, 'earlier');
    registration.publish('one');
    await clock.advanceAsync(200);
    expect(store.getText(key)).to.equal('one');
  });

  it('renews its lease with few calls, about one in two seconds', async () => {
    const { clock, store, registration } = create();
    registration.publish('one');
    await clock.advanceAsync(60_000);
    expect(store.callCounts.keep).to.be.at.most(38);
    expect(store.callCounts.transact).to.equal(1);
  });
});
