import { expect } from 'chai';
import { EtcdStore } from '../addons/store-etcd/EtcdStore.js';
import { StoreError, VirtualClock } from '../src/common/base/index.js';
import type { Store, StoreChange, StoreWatch } from '../src/common/services/Types.js';
import type { CallCounters } from '../src/store/CallCounters.js';
import type { FaultInjector } from '../src/store/FaultInjector.js';
import { MemoryBackend } from '../src/store/MemoryBackend.js';
import { MemoryStore } from '../src/store/MemoryStore.js';
import { StoreServer } from '../src/store/StoreServer.js';

interface Fixture {
  readonly clock: VirtualClock;
  readonly faults: FaultInjector;
  readonly counters: CallCounters;
  connect(clientName: string): Store;
  /** Resolves when the port has been opened or closed according to the faults. */
  settled(): Promise<void>;
  close(): void;
}

function openMemoryStore(): Promise<Fixture> {
  const clock = new VirtualClock();
  const backend = new MemoryBackend(clock);
  return Promise.resolve({
    clock,
    faults: backend.faults,
    counters: backend.counters,
    connect: (clientName) => new MemoryStore(backend, clientName),
    settled: () => Promise.resolve(),
    close: () => {},
  });
}

async function openEtcdStore(): Promise<Fixture> {
  const clock = new VirtualClock();
  const server = new StoreServer(clock);
  const anyPort = { host: '127.0.0.1', port: 0 };
  const { listen } = await server.open({ listen: anyPort, control: anyPort });
  const stores: Store[] = [];
  return {
    clock,
    faults: server.faults,
    counters: server.counters,
    connect: (clientName) => {
      const store = new EtcdStore([`127.0.0.1:${listen.port}`], clientName, { callTimeout: 1_500 });
      stores.push(store);
      return store;
    },
    settled: () => server.settled(),
    close: () => {
      stores.forEach((store) => store.dispose());
      server.dispose();
    },
  };
}

const encode = (text: string): Uint8Array => new TextEncoder().encode(text);

async function textOf(store: Store, key: string): Promise<string | undefined> {
  const entry = await store.get(key);
  return entry === undefined ? undefined : new TextDecoder().decode(entry.value);
}

function put(store: Store, key: string, text: string): ReturnType<Store['transact']> {
  return store.transact([], [{ type: 'put', key, value: encode(text) }]);
}

async function expectStoreError(call: Promise<unknown>): Promise<StoreError> {
  const error: unknown = await call.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  expect(error).to.be.instanceOf(StoreError);
  return error as StoreError;
}

/** Lets the event loop process pending I/O. */
function yieldToEventLoop(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, 1);
  });
}

/** Collects the changes of a watch until there are `count` or the watch ends. */
function collectChanges(watch: StoreWatch, count: number): Promise<string[]> {
  return new Promise((resolve) => {
    const seen: string[] = [];
    watch.onChange(({ type, entry }: StoreChange) => {
      seen.push(`${type} ${entry.key}`);
      if (seen.length === count) resolve(seen);
    });
    watch.onEnd(() => resolve([...seen, 'end']));
  });
}

const scenarios: readonly { name: string; run: (fixture: Fixture) => Promise<void> }[] = [
  {
    name: 'prevents a lost update: the second of two writes at the same revision gets a conflict',
    run: async ({ connect }) => {
      const [first, second] = [connect('first'), connect('second')];
      const write = (store: Store, text: string): ReturnType<Store['transact']> =>
        store.transact(
          [{ key: 'head', modRevision: 0 }],
          [{ type: 'put', key: 'head', value: encode(text) }],
        );
      const results = [await write(first, 'a'), await write(second, 'b')];
      expect(results.map(({ applied }) => applied)).to.deep.equal([true, false]);
      const [, conflict] = results;
      const present = conflict?.applied === false ? conflict.present : [];
      expect(present.map(({ value }) => new TextDecoder().decode(value))).to.deep.equal(['a']);
      expect(await textOf(second, 'head')).to.equal('a');
    },
  },
  {
    name: 'applies no operation of a transaction that contains an invalid one',
    run: async ({ connect }) => {
      const store = connect('writer');
      const writes = [
        { type: 'put', key: 'chunk', value: encode('c') } as const,
        { type: 'put', key: 'big', value: new Uint8Array(1_048_577) } as const,
      ];
      expect((await expectStoreError(store.transact([], writes))).outcome).to.equal('not-applied');
      expect(await store.range({ prefix: '' })).to.deep.equal([]);
    },
  },
  {
    name: 'reports the outcome `unknown` for a write that was applied but whose response was lost',
    run: async ({ connect, faults }) => {
      const store = connect('writer');
      faults.set({ loseAnswers: 1 });
      expect((await expectStoreError(put(store, 'head', 'a'))).outcome).to.equal('unknown');
      expect(await textOf(store, 'head')).to.equal('a');
      expect((await put(store, 'head', 'b')).applied).to.equal(true);
    },
  },
  {
    name: 'reports the outcome `not-applied` for a write that was never sent because the store is unavailable',
    run: async ({ connect, faults, settled }) => {
      faults.set({ down: true });
      await settled();
      const store = connect('writer');
      expect((await expectStoreError(put(store, 'head', 'a'))).outcome).to.equal('not-applied');
      faults.set({ down: false });
      await settled();
      expect(await textOf(store, 'head')).to.equal(undefined);
    },
  },
  ...(['requests', 'answers'] as const).map((cut) => ({
    name: `reports the outcome \`unknown\` for a write during a one-way partition that drops ${cut}`,
    run: async ({ connect, faults }: Fixture) => {
      const [store, witness] = [connect('writer'), connect('witness')];
      await store.get('head');
      faults.set({ cut, cutClients: ['writer'] });
      expect((await expectStoreError(put(store, 'head', 'a'))).outcome).to.equal('unknown');
      expect(await textOf(witness, 'head')).to.equal(cut === 'answers' ? 'a' : undefined);
    },
  })),
  {
    name: 'deletes the keys of a lease that is no longer renewed',
    run: async ({ connect, clock }) => {
      const store = connect('holder');
      const lease = await store.grantLease(5);
      await store.transact([], [{ type: 'put', key: 'owner', value: encode('a'), lease }]);
      clock.advance(4_000);
      await store.keepAlive(lease);
      clock.advance(4_000);
      expect(await textOf(store, 'owner')).to.equal('a');
      clock.advance(1_000);
      expect(await textOf(store, 'owner')).to.equal(undefined);
      expect((await expectStoreError(store.keepAlive(lease))).outcome).to.equal('not-applied');
    },
  },
  {
    name: 'keeps a key that was rewritten without its lease when the lease expires',
    run: async ({ connect, clock }) => {
      const store = connect('holder');
      const lease = await store.grantLease(5);
      await store.transact([], [{ type: 'put', key: 'owner', value: encode('a'), lease }]);
      await put(store, 'owner', 'b');
      clock.advance(6_000);
      expect(await textOf(store, 'owner')).to.equal('b');
    },
  },
  {
    name: 'delivers changes in order and only those of the watched prefix',
    run: async ({ connect }) => {
      const store = connect('watcher');
      const changes = collectChanges(store.watch('config/'), 3);
      await store.get('config/head');
      await put(store, 'config/head', 'a');
      await put(store, 'other', 'a');
      await put(store, 'config/head', 'b');
      await store.transact([], [{ type: 'delete', key: 'config/head' }]);
      expect(await changes).to.deep.equal([
        'put config/head',
        'put config/head',
        'delete config/head',
      ]);
    },
  },
  {
    name: 'delivers through the watch every change that a read after the start of the watch misses',
    run: async ({ connect }) => {
      const [watcher, writer] = [connect('watcher'), connect('writer')];
      const changes = collectChanges(watcher.watch('head'), 1);
      expect(await textOf(watcher, 'head')).to.equal(undefined);
      await put(writer, 'head', 'a');
      expect(await changes).to.deep.equal(['put head']);
    },
  },
  {
    name: 'sends a read only after an earlier watch is confirmed, so that the read cannot overtake it',
    run: async ({ connect, counters, faults, clock }) => {
      const store = connect('watcher');
      await store.get('head');
      faults.set({ slow: 100 });
      store.watch('head');
      const read = store.get('head');
      const count = (kind: 'read' | 'watch'): number => counters.read().byKind[kind];
      while (count('watch') === 0) await yieldToEventLoop();
      for (let turns = 0; turns < 50; turns += 1) await yieldToEventLoop();
      expect(count('read')).to.equal(1);
      clock.advance(100);
      while (count('read') === 1) {
        await yieldToEventLoop();
        clock.advance(100);
      }
      faults.set({ slow: 0 });
      clock.advance(100);
      expect(await read).to.equal(undefined);
    },
  },
  {
    name: 'ends a watch on an outage, and a new watch delivers later changes',
    run: async ({ connect, faults, settled }) => {
      const store = connect('watcher');
      const before = collectChanges(store.watch('head'), 2);
      await put(store, 'head', 'a');
      await store.get('head');
      faults.set({ down: true });
      await settled();
      expect((await before).at(-1)).to.equal('end');
      faults.set({ down: false });
      await settled();
      const after = collectChanges(store.watch('head'), 1);
      expect(await textOf(store, 'head')).to.equal('a');
      await put(store, 'head', 'b');
      expect(await after).to.deep.equal(['put head']);
    },
  },
  {
    name: 'delivers changes that a one-way partition held back when it heals',
    run: async ({ connect, faults }) => {
      const [watcher, writer] = [connect('watcher'), connect('writer')];
      const watch = watcher.watch('head');
      const changes = collectChanges(watch, 2);
      let seen = 0;
      watch.onChange(() => {
        seen += 1;
      });
      await watcher.get('head');
      faults.set({ cut: 'answers', cutClients: ['watcher'] });
      await put(writer, 'head', 'a');
      await put(writer, 'head', 'b');
      await writer.get('head');
      expect(seen).to.equal(0);
      faults.set({ cut: 'none' });
      expect(await changes).to.deep.equal(['put head', 'put head']);
    },
  },
  {
    name: 'refuses only the clients that the fault names',
    run: async ({ connect, faults }) => {
      faults.set({ refuse: ['outcast'] });
      await expectStoreError(put(connect('outcast'), 'head', 'a'));
      expect((await put(connect('other'), 'head', 'b')).applied).to.equal(true);
    },
  },
  {
    name: 'counts every call, and an open watch as one call',
    run: async ({ connect, counters }) => {
      const store = connect('daemon');
      const watch = store.watch('head');
      const changes = collectChanges(watch, 1);
      await store.get('head');
      await put(store, 'head', 'a');
      await changes;
      const { byKind, calls, waitingWatches } = counters.read().clients.daemon ?? {};
      expect(byKind).to.deep.equal({ read: 1, write: 1, lease: 0, keepalive: 0, watch: 1 });
      expect([calls, waitingWatches]).to.deep.equal([3, 1]);
    },
  },
  {
    name: 'reads all pages of a range in key order',
    run: async ({ connect }) => {
      const store = connect('reader');
      const keys = Array.from({ length: 300 }, (_, index) => `k/${String(index).padStart(3, '0')}`);
      await store.transact(
        [],
        keys.toReversed().map((key) => ({ type: 'put', key, value: encode(key) })),
      );
      await put(store, 'l', 'x');
      const all = await store.range({ prefix: 'k/' });
      expect(all.map(({ key }) => key)).to.deep.equal(keys);
      expect(await store.range({ prefix: 'k/', limit: 140 })).to.have.length(140);
    },
  },
];

[
  { name: 'MemoryStore', open: openMemoryStore },
  { name: 'EtcdStore against limpettrack-store', open: openEtcdStore },
].forEach(({ name, open }) => {
  describe(`Store contract: ${name}`, () => {
    let fixture: Fixture;
    beforeEach(async () => {
      fixture = await open();
    });
    afterEach(() => fixture.close());
    scenarios.forEach((scenario) => it(scenario.name, () => scenario.run(fixture)));
  });
});
