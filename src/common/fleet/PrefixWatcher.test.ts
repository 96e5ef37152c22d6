import { expect } from 'chai';
import { VirtualClock } from '../base/index.js';
import { FakePolledStore } from '../../testing/FakePolledStore.js';
import { MemoryLog } from '../../testing/MemoryLog.js';
import { PrefixWatcher } from './PrefixWatcher.js';

const prefix = 'limpettrack/';

/** Creates a watcher and collects the entries that its events report. */
function create(batchDelay = 0, earlyBatchDelay = batchDelay) {
  const clock = new VirtualClock();
  const store = new FakePolledStore(clock);
  const log = new MemoryLog();
  const watcher = new PrefixWatcher({
    store,
    prefix,
    pollTimeout: 15_000,
    batchDelay,
    earlyBatchDelay,
    clock,
    random: () => 0.5,
    log,
  });
  const contents = new Map<string, string>();
  const decode = (value: Uint8Array) => new TextDecoder().decode(value);
  watcher.onSnapshot(({ entries }) => {
    contents.clear();
    entries.forEach(({ key, value }) => contents.set(key, decode(value)));
  });
  watcher.onChanges((changes) => {
    changes.forEach(({ type, entry }) => {
      if (type === 'put') contents.set(entry.key, decode(entry.value));
      else contents.delete(entry.key);
    });
  });
  return { clock, store, log, watcher, contents };
}

describe('PrefixWatcher', () => {
  it('reports existing entries, additions and removals', async () => {
    const { clock, store, watcher, contents } = create();
    store.put(`${prefix}a`, '1');
    watcher.start();
    await clock.advanceAsync(10);
    store.put(`${prefix}b`, '2');
    store.remove(`${prefix}a`);
    await clock.advanceAsync(10);
    expect([...contents]).to.deep.equal([[`${prefix}b`, '2']]);
  });

  it('reads all entries again after a compaction, so that no change is missed', async () => {
    const { clock, store, watcher, contents } = create();
    watcher.start();
    await clock.advanceAsync(10);
    store.faults.isDown = true;
    watcher.refresh();
    await clock.advanceAsync(1_000);
    store.put(`${prefix}a`, '1');
    store.compact();
    store.faults.isDown = false;
    await clock.advanceAsync(2_000);
    expect(contents.get(`${prefix}a`)).to.equal('1');
  });

  it('reconnects within two seconds after a long outage', async () => {
    const { clock, store, watcher, contents, log } = create();
    store.faults.isDown = true;
    watcher.start();
    await clock.advanceAsync(60_000);
    store.put(`${prefix}a`, '1');
    store.faults.isDown = false;
    await clock.advanceAsync(2_000);
    expect(contents.get(`${prefix}a`)).to.equal('1');
    expect(log.messages).to.deep.equal(['store is unavailable', 'store is available again']);
  });

  it('abandons a hanging poll on refresh', async () => {
    const { clock, store, watcher, contents } = create();
    watcher.start();
    await clock.advanceAsync(10);
    store.faults.isUnresponsive = true;
    watcher.refresh();
    await clock.advanceAsync(10);
    store.faults.isUnresponsive = false;
    store.put(`${prefix}a`, '1');
    watcher.refresh();
    await clock.advanceAsync(10);
    expect(contents.get(`${prefix}a`)).to.equal('1');
  });

  it('reads a series of changes in few calls', async () => {
    const { clock, store, watcher, contents } = create(700);
    watcher.start();
    await clock.advanceAsync(1_000);
    for (let index = 0; index < 24; index += 1) {
      store.put(`${prefix}${index}`, 'x');
      await clock.advanceAsync(10);
    }
    await clock.advanceAsync(1_000);
    expect(contents.size).to.equal(24);
    expect(store.callCounts.watch).to.be.at.most(4);
  });

  it('reads the first changes quickly, so that batching does not delay the start of a fleet', async () => {
    const { clock, store, watcher, contents } = create(1_500, 300);
    watcher.start();
    await clock.advanceAsync(10);
    for (let index = 0; index < 3; index += 1) {
      store.put(`${prefix}${index}`, '1');
      await clock.advanceAsync(350);
    }
    expect(contents.size).to.equal(3);
    for (let index = 0; index < 40; index += 1) {
      store.put(`${prefix}late`, `${index}`);
      await clock.advanceAsync(300);
    }
    // After the early batches, the twelve seconds of changes are read in batches of 1.5 s.
    expect(store.callCounts.watch).to.be.at.most(18);
  });
});
