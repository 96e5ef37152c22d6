import { expect } from 'chai';
import { VirtualClock } from '../base/index.js';
import { FakePolledStore } from '../../testing/FakePolledStore.js';
import { MemoryLog } from '../../testing/MemoryLog.js';
import { PrefixWatcher } from './PrefixWatcher.js';

const prefix = 'limpettrack/';

/** Follows a prefix and keeps what an owner would know. */
function create(rest = 0, earlyRest = rest) {
  const clock = new VirtualClock();
  const store = new FakePolledStore(clock);
  const log = new MemoryLog();
  const follower = new PrefixWatcher({
    store,
    prefix,
    pollTimeout: 15_000,
    batchDelay: rest,
    earlyBatchDelay: earlyRest,
    clock,
    random: () => 0.5,
    log,
  });
  const known = new Map<string, string>();
  const decode = (value: Uint8Array) => new TextDecoder().decode(value);
  follower.onSnapshot(({ entries }) => {
    known.clear();
    entries.forEach(({ key, value }) => known.set(key, decode(value)));
  });
  follower.onChanges((changes) => {
    changes.forEach(({ type, entry }) => {
      if (type === 'put') known.set(entry.key, decode(entry.value));
      else known.delete(entry.key);
    });
  });
  return { clock, store, log, follower, known };
}

describe('PrefixFollower', () => {
  it('knows entries that stood before it and those that come and go', async () => {
    const { clock, store, follower, known } = create();
    store.put(`${prefix}a`, '1');
    follower.start();
    await clock.advanceAsync(10);
    store.put(`${prefix}b`, '2');
    store.remove(`${prefix}a`);
    await clock.advanceAsync(10);
    expect([...known]).to.deep.equal([[`${prefix}b`, '2']]);
  });

  it('reads all again after lost history, or a change in the gap is never seen', async () => {
    const { clock, store, follower, known } = create();
    follower.start();
    await clock.advanceAsync(10);
    store.faults.isDown = true;
    follower.refresh();
    await clock.advanceAsync(1_000);
    store.put(`${prefix}a`, '1');
    store.compact();
    store.faults.isDown = false;
    await clock.advanceAsync(2_000);
    expect(known.get(`${prefix}a`)).to.equal('1');
  });

  it('is in touch again within two seconds after a long outage', async () => {
    const { clock, store, follower, known, log } = create();
    store.faults.isDown = true;
    follower.start();
    await clock.advanceAsync(60_000);
    store.put(`${prefix}a`, '1');
    store.faults.isDown = false;
    await clock.advanceAsync(2_000);
    expect(known.get(`${prefix}a`)).to.equal('1');
    expect(log.messages).to.deep.equal(['lost the store', 'regained the store']);
  });

  it('leaves a silent connection when it is told to', async () => {
    const { clock, store, follower, known } = create();
    follower.start();
    await clock.advanceAsync(10);
    store.faults.isSilent = true;
    follower.refresh();
    await clock.advanceAsync(10);
    store.faults.isSilent = false;
    store.put(`${prefix}a`, '1');
    follower.refresh();
    await clock.advanceAsync(10);
    expect(known.get(`${prefix}a`)).to.equal('1');
  });

  it('takes a series of changes in few calls', async () => {
    const { clock, store, follower, known } = create(700);
    follower.start();
    await clock.advanceAsync(1_000);
    for (let index = 0; index < 24; index += 1) {
      store.put(`${prefix}${index}`, 'x');
      await clock.advanceAsync(10);
    }
    await clock.advanceAsync(1_000);
    expect(known.size).to.equal(24);
    expect(store.calls.watch).to.be.at.most(4);
  });

  it('reads the first changes quickly, or each rest delays a fleet that starts', async () => {
    const { clock, store, follower, known } = create(1_500, 300);
    follower.start();
    await clock.advanceAsync(10);
    for (let index = 0; index < 3; index += 1) {
      store.put(`${prefix}${index}`, '1');
      await clock.advanceAsync(350);
    }
    expect(known.size).to.equal(3);
    for (let index = 0; index < 40; index += 1) {
      store.put(`${prefix}late`, `${index}`);
      await clock.advanceAsync(300);
    }
    // Twelve seconds of changes are read in rests of 1.5 s once the early ones are over.
    expect(store.calls.watch).to.be.at.most(18);
  });
});
