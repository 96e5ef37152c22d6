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
  /** Resolves when a change of the faults has reached the port. */
  settled(): Promise<void>;
  close(): void;
}

function openMemory(): Promise<Fixture> {
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

async function openEtcd(): Promise<Fixture> {
  const clock = new VirtualClock();
  const server = new StoreServer(clock);
  const free = { host: '127.0.0.1', port: 0 };
  const { listen } = await server.open({ listen: free, control: free });
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

async function failureOf(call: Promise<unknown>): Promise<StoreError> {
  const error: unknown = await call.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  expect(error).to.be.instanceOf(StoreError);
  return error as StoreError;
}

/** Lets the event loop receive what has arrived. */
function turn(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, 1);
  });
}

/** Collects the changes of a watch until `count` have come or the watch has ended. */
function collect(watch: StoreWatch, count: number): Promise<string[]> {
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
    name: 'guards against a lost update: of two writers at one revision, one gets the conflict',
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
    name: 'guards against a half transaction: one wrong step leaves no other step applied',
    run: async ({ connect }) => {
      const store = connect('writer');
      const writes = [
        { type: 'put', key: 'chunk', value: encode('c') } as const,
        { type: 'put', key: 'big', value: new Uint8Array(1_048_577) } as const,
      ];
      expect((await failureOf(store.transact([], writes))).outcome).to.equal('not-applied');
      expect(await store.range({ prefix: '' })).to.deep.equal([]);
    },
  },
  {
    name: 'guards against a write taken for failed: a lost answer gives `unknown` and the write is in',
    run: async ({ connect, faults }) => {
      const store = connect('writer');
      faults.set({ loseAnswers: 1 });
      expect((await failureOf(put(store, 'head', 'a'))).outcome).to.equal('unknown');
      expect(await textOf(store, 'head')).to.equal('a');
      expect((await put(store, 'head', 'b')).applied).to.equal(true);
    },
  },
  {
    name: 'guards against a claim about a write that never left: a store that is away gives `not-applied`',
    run: async ({ connect, faults, settled }) => {
      faults.set({ down: true });
      await settled();
      const store = connect('writer');
      expect((await failureOf(put(store, 'head', 'a'))).outcome).to.equal('not-applied');
      faults.set({ down: false });
      await settled();
      expect(await textOf(store, 'head')).to.equal(undefined);
    },
  },
  ...(['requests', 'answers'] as const).map((cut) => ({
    name: `guards against certainty in a one-way cut of ${cut}: the outcome is \`unknown\``,
    run: async ({ connect, faults }: Fixture) => {
      const [store, witness] = [connect('writer'), connect('witness')];
      await store.get('head');
      faults.set({ cut, cutClients: ['writer'] });
      expect((await failureOf(put(store, 'head', 'a'))).outcome).to.equal('unknown');
      expect(await textOf(witness, 'head')).to.equal(cut === 'answers' ? 'a' : undefined);
    },
  })),
  {
    name: 'guards against a lease that outlives its holder: without renewal the key goes',
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
      expect((await failureOf(store.keepAlive(lease))).outcome).to.equal('not-applied');
    },
  },
  {
    name: 'guards against a lapsed lease that deletes a key which was since written without it',
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
    name: 'guards against changes out of order and from other prefixes',
    run: async ({ connect }) => {
      const store = connect('watcher');
      const changes = collect(store.watch('config/'), 3);
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
    name: 'guards against a gap between watch and read: what the read misses, the watch delivers',
    run: async ({ connect }) => {
      const [watcher, writer] = [connect('watcher'), connect('writer')];
      const changes = collect(watcher.watch('head'), 1);
      expect(await textOf(watcher, 'head')).to.equal(undefined);
      await put(writer, 'head', 'a');
      expect(await changes).to.deep.equal(['put head']);
    },
  },
  {
    name: 'guards against a read that overtakes its watch: it is sent when the watch is confirmed',
    run: async ({ connect, counters, faults, clock }) => {
      const store = connect('watcher');
      await store.get('head');
      faults.set({ slow: 100 });
      store.watch('head');
      const read = store.get('head');
      const count = (kind: 'read' | 'watch'): number => counters.read().byKind[kind];
      while (count('watch') === 0) await turn();
      for (let turns = 0; turns < 50; turns += 1) await turn();
      expect(count('read')).to.equal(1);
      clock.advance(100);
      while (count('read') === 1) {
        await turn();
        clock.advance(100);
      }
      faults.set({ slow: 0 });
      clock.advance(100);
      expect(await read).to.equal(undefined);
    },
  },
  {
    name: 'guards against a watch that stays silent after an outage: it ends, and a new one goes on',
    run: async ({ connect, faults, settled }) => {
      const store = connect('watcher');
      const before = collect(store.watch('head'), 2);
      await put(store, 'head', 'a');
      await store.get('head');
      faults.set({ down: true });
      await settled();
      expect((await before).at(-1)).to.equal('end');
      faults.set({ down: false });
      await settled();
      const after = collect(store.watch('head'), 1);
      expect(await textOf(store, 'head')).to.equal('a');
      await put(store, 'head', 'b');
      expect(await after).to.deep.equal(['put head']);
    },
  },
  {
    name: 'guards against changes lost in a one-way cut: they are delivered when it heals',
    run: async ({ connect, faults }) => {
      const [watcher, writer] = [connect('watcher'), connect('writer')];
      const watch = watcher.watch('head');
      const changes = collect(watch, 2);
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
    name: 'guards against a refusal that reaches other clients',
    run: async ({ connect, faults }) => {
      faults.set({ refuse: ['outcast'] });
      await failureOf(put(connect('outcast'), 'head', 'a'));
      expect((await put(connect('other'), 'head', 'b')).applied).to.equal(true);
    },
  },
  {
    name: 'guards against calls that are not counted: each counts, a waiting watch as one',
    run: async ({ connect, counters }) => {
      const store = connect('daemon');
      const watch = store.watch('head');
      const changes = collect(watch, 1);
      await store.get('head');
      await put(store, 'head', 'a');
      await changes;
      const { byKind, calls, waitingWatches } = counters.read().clients.daemon ?? {};
      expect(byKind).to.deep.equal({ read: 1, write: 1, lease: 0, keepalive: 0, watch: 1 });
      expect([calls, waitingWatches]).to.deep.equal([3, 1]);
    },
  },
  {
    name: 'guards against a truncated range: all pages are read, in key order',
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
  { name: 'MemoryStore', open: openMemory },
  { name: 'EtcdStore against limpettrack-store', open: openEtcd },
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
