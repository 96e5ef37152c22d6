/* eslint max-classes-per-file: "off" -- a fleet and its daemons belong together */
import { expect } from 'chai';
import {
  brandAs,
  FleetError,
  rankByRendezvous,
  VirtualClock,
  type DaemonId,
} from '../base/index.js';
import { FakePolledStore } from '../../testing/FakePolledStore.js';
import { MemoryLog } from '../../testing/MemoryLog.js';
import { PrefixWatcher } from './PrefixWatcher.js';
import { RelayedStore, type RelayClient } from './RelayedStore.js';
import type { StoreMirror } from './StoreMirror.js';
import type { StoreChanges } from './Types.js';

const prefix = 'limpettrack/';
const key = `${prefix}daemons/d`;
/** Milliseconds within which a change must be known. */
const maxStaleness = 2_500;

/** A daemon that follows the prefix. */
class Follower {
  public readonly seen = new Map<string, string>();

  /** Neither answers other daemons nor runs. */
  public isFrozen = false;

  /** Its calls to the store do not return. */
  public isCutFromStore = false;

  public readonly relayed: RelayedStore;

  private readonly watcher: PrefixWatcher;

  public constructor(
    public readonly id: DaemonId,
    private readonly fleet: Fleet,
  ) {
    const { clock, store } = fleet;
    const log = new MemoryLog();
    const never = <Result>(): Promise<Result> => new Promise(() => {});
    this.relayed = new RelayedStore({
      self: id,
      maxStaleness: () => maxStaleness,
      store: {
        snapshot: (of) => (this.isCutFromStore ? never() : store.snapshot(of)),
        changes: (of, after, wait, signal) => this.poll(of, after, wait, signal),
      },
      relays: fleet.createClient(),
      candidates: () => fleet.ids,
      clock,
      log,
    });
    this.watcher = new PrefixWatcher({
      store: this.relayed,
      prefix,
      pollTimeout: 15_000,
      batchDelay: 0,
      earlyBatchDelay: 0,
      clock,
      random: () => 0.5,
      log,
    });
    const read = (value: Uint8Array): string => Buffer.from(value).toString();
    this.watcher.onSnapshot(({ entries }) => {
      this.seen.clear();
      entries.forEach((entry) => this.seen.set(entry.key, read(entry.value)));
    });
    this.watcher.onChanges((changes) => {
      changes.forEach(({ type, entry }) => {
        if (type === 'put') this.seen.set(entry.key, read(entry.value));
        else this.seen.delete(entry.key);
      });
    });
    this.watcher.start();
  }

  /** Polls the store; a poll that is cut fails at its timeout, whatever the store has answered. */
  private async poll(
    of: string,
    after: number,
    wait: number,
    signal: AbortSignal,
  ): Promise<StoreChanges> {
    const { store } = this.fleet;
    const timeout = this.fleet.failAfter(wait + 1_500, signal);
    if (this.isCutFromStore) return timeout;
    timeout.catch(() => {});
    const changes = await Promise.race([store.changes(of, after, wait, signal), timeout]);
    return this.isCutFromStore ? timeout : changes;
  }
}

/** Daemons of one data centre. */
class Fleet {
  public readonly clock = new VirtualClock();

  public readonly store = new FakePolledStore(this.clock);

  public readonly ids: readonly DaemonId[];

  public readonly followers: readonly Follower[];

  public constructor(size: number) {
    this.ids = Array.from({ length: size }, (_, index) => brandAs<DaemonId>(`d-${index}`));
    this.store.put(key, 'first');
    this.followers = this.ids.map((id) => new Follower(id, this));
  }

  /** Fails after a delay or when the call is aborted, as a call without a response does. */
  public failAfter(delay: number, signal?: AbortSignal): Promise<never> {
    return new Promise((_, reject) => {
      const fail = (): void => reject(new FleetError('no response', { step: 'test' }));
      this.clock.after(delay, fail);
      signal?.addEventListener('abort', fail, { once: true });
    });
  }

  public createClient(): RelayClient {
    const mirrorOf = (id: DaemonId): StoreMirror | undefined => {
      const follower = this.followers.find((other) => other.id === id);
      return follower === undefined || follower.isFrozen
        ? undefined
        : follower.relayed.mirrorForFollower(prefix);
    };
    return {
      snapshot: async (id) => {
        const mirror = mirrorOf(id);
        if (mirror?.snapshot === undefined) return this.failAfter(500);
        return { ...mirror.snapshot, age: mirror.age };
      },
      changes: async (id, _prefix, after, wait, signal) => {
        const mirror = mirrorOf(id);
        if (mirror === undefined) return this.failAfter(wait + 500, signal);
        if (mirror.changesAfter(after).changes.length === 0) {
          await new Promise<void>((resolve) => {
            this.clock.after(wait, resolve);
            mirror.onChange(resolve);
            signal.addEventListener('abort', () => resolve(), { once: true });
          });
        }
        const follower = this.followers.find((other) => other.id === id);
        if (follower?.isFrozen === true) return this.failAfter(500, signal);
        return { ...mirror.changesAfter(after), age: mirror.age };
      },
    };
  }

  /** Polls of the store in the next `duration` milliseconds. */
  public async pollsIn(duration: number): Promise<number> {
    const before = this.store.callCounts.watch ?? 0;
    await this.clock.advanceAsync(duration);
    return (this.store.callCounts.watch ?? 0) - before;
  }

  public async settle(): Promise<void> {
    await this.clock.advanceAsync(30_000);
  }

  public get current(): readonly (string | undefined)[] {
    return this.followers.map(({ seen }) => seen.get(key));
  }
}

describe('RelayedStore', () => {
  it('keeps the calls to the store the same for 6 and for 30 daemons of a data centre', async () => {
    const small = new Fleet(6);
    const large = new Fleet(30);
    await Promise.all([small.settle(), large.settle()]);
    const [few, many] = [await small.pollsIn(60_000), await large.pollsIn(60_000)];
    expect(many).to.equal(few);
    expect(few).to.be.at.most(60_000 / (0.4 * maxStaleness) + 1);
  });

  it('brings a change to all daemons with one poll of the store', async () => {
    const fleet = new Fleet(30);
    await fleet.settle();
    const before = fleet.store.callCounts.watch ?? 0;
    fleet.store.put(key, 'second');
    await fleet.clock.advanceAsync(50);
    expect(new Set(fleet.current)).to.deep.equal(new Set(['second']));
    expect(fleet.store.callCounts.watch).to.be.at.most(before + 2);
  });

  it('removes keys that were deleted', async () => {
    const fleet = new Fleet(5);
    await fleet.settle();
    fleet.store.remove(key);
    await fleet.clock.advanceAsync(50);
    expect(new Set(fleet.current)).to.deep.equal(new Set([undefined]));
  });

  it('takes the whole state from the relay after the store has compacted its history', async () => {
    const fleet = new Fleet(12);
    await fleet.settle();
    const before = fleet.store.callCounts.range ?? 0;
    fleet.store.put(key, 'second');
    fleet.store.compact();
    await fleet.settle();
    expect(new Set(fleet.current)).to.deep.equal(new Set(['second']));
    expect((fleet.store.callCounts.range ?? 0) - before).to.equal(1);
  });

  const faults: readonly {
    readonly name: string;
    readonly begin: (relay: Follower) => void;
  }[] = [
    { name: 'is frozen', begin: (relay) => Object.assign(relay, { isFrozen: true }) },
    {
      name: 'is cut from the store',
      begin: (relay) => Object.assign(relay, { isCutFromStore: true }),
    },
  ];
  faults.forEach(({ name, begin }) => {
    it(`follows another source when the relay ${name}, so that a change is not missed`, async () => {
      const fleet = new Fleet(8);
      await fleet.settle();
      const [first] = rankByRendezvous(prefix, fleet.ids);
      const relay = fleet.followers.find(({ id }) => id === first) as Follower;
      begin(relay);
      fleet.store.put(key, 'second');
      await fleet.clock.advanceAsync(maxStaleness);
      const others = fleet.followers.filter((follower) => follower !== relay);
      expect(new Set(others.map(({ seen }) => seen.get(key)))).to.deep.equal(new Set(['second']));
    });
  });

  it('follows another daemon when the store does not answer it, although others follow it', async () => {
    const fleet = new Fleet(8);
    await fleet.settle();
    const cut = rankByRendezvous(prefix, fleet.ids).slice(0, 3);
    const affected = fleet.followers.filter(({ id }) => cut.includes(id));
    affected.forEach((follower) => Object.assign(follower, { isCutFromStore: true }));
    await fleet.clock.advanceAsync(5_000);
    fleet.store.put(key, 'second');
    await fleet.clock.advanceAsync(10_000);
    expect(new Set(fleet.current)).to.deep.equal(new Set(['second']));
  });

  it('reads the store itself at the start, since it cannot tell how old the state of a relay is', async () => {
    const fleet = new Fleet(3);
    await fleet.clock.advanceAsync(10);
    expect(fleet.store.callCounts.range).to.equal(3);
  });
});
