import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import {
  brandAs,
  VirtualClock,
  type Clock,
  type DaemonId,
  type Fingerprint,
  type Incarnation,
  type OperationKey,
  type RandomSource,
  type Store,
} from '../../api/index.js';
import { createRandom } from '../../common/base/Random.js';
import {
  KeyIssuer,
  OperationAuthority,
  OperationLedger,
  rangeCount,
  type IntentLog,
} from '../../common/operations/index.js';
import { Journal } from '../../common/operations/Journal.js';
import { noopIntentLog } from '../../common/operations/noopIntentLog.js';
import type { OperationRecords } from '../../common/operations/OperationRunner.js';
import { FakeStore } from '../operations/FakeStore.js';
import { FakeStoreClient, noFaults } from '../operations/FakeStoreClient.js';
import { textHash } from '../operations/textHash.js';
import { quantile, summarise } from '../Statistics.js';
import type { Figure, Row, Scenario } from '../Types.js';

/** Requests per second of the whole fleet; the last is the peak of docs/design.md 1.6. */
const requestRates = [5_000, 20_000, 80_000, 160_000];
/** Assumed share of non-idempotent requests with a key: bids, deposits, orders and pickups. */
const operationShare = 0.05;
/** Writes per second that the store serves; "several hundred" in docs/design.md 1.4. */
const storeCapacity = 500;
const warmUpMs = 1000;
const measuredMs = 2000;
const serviceTimeMs = 5;
const bodyBytes = 200;
const callerTimeoutMs = 2000;
const limits = { operations: 10_000_000, recentAnswers: 1000, answerBytes: 100_000_000 };
const retentionMs = 24 * 3600 * 1000;

const policies = ['own keys', 'issued keys', 'one write each'] as const;
type Policy = (typeof policies)[number];

interface Payload {
  readonly arrival: number;
}

/** Figures of one run. */
interface Sample {
  readonly writes: number;
  readonly median: number;
  readonly p99: number;
  readonly completed: number;
  readonly segmentBytes: number;
}

/** Wraps a store so that it serves at most `storeCapacity` writes per second. */
function throttleWrites(store: Store, clock: Clock): Store {
  let freeAt = 0;
  const transact: Store['transact'] = async (compares, writes) => {
    freeAt = Math.max(freeAt, clock.elapsed()) + 1000 / storeCapacity;
    const delay = freeAt - clock.elapsed();
    await new Promise<void>((resolve) => {
      clock.after(delay, resolve);
    });
    return store.transact(compares, writes);
  };
  return new Proxy(store, {
    get(target, name) {
      if (name === 'transact') return transact;
      const value: unknown = Reflect.get(target, name);
      return typeof value === 'function' ? (value.bind(target) as unknown) : value;
    },
  });
}

/** Baseline: a separate store write for each intent and each answer. */
function unbatchedLog(store: Store): IntentLog {
  const put = async (key: string): Promise<number> => {
    const write = { type: 'put' as const, key: `each/${key}`, value: new Uint8Array(64) };
    await store.transact([{ key: write.key, modRevision: 0 }], [write]);
    return 1;
  };
  return {
    ...noopIntentLog,
    // After a lost write, the operation waits until its deadline.
    record: ({ key }) => ({
      durable: put(key).catch(() => new Promise<number>(() => {})),
      cancel: () => false,
    }),
  };
}

/** Authority that owns all ranges and logs by the policy under test. */
class AuthorityBench {
  public readonly clock = new VirtualClock();

  public readonly store = new FakeStore(this.clock);

  public readonly dispatchDelays: number[] = [];

  public completed = 0;

  private readonly keyIssuer: KeyIssuer;

  private readonly records: OperationRecords[] = [];

  private readonly authority: OperationAuthority<Payload>;

  private count = 0;

  public constructor(
    private readonly policy: Policy,
    private readonly random: RandomSource,
  ) {
    this.keyIssuer = new KeyIssuer(this.clock, {
      daemon: brandAs<DaemonId>('a'),
      incarnation: brandAs<Incarnation>('1-a'),
      lifetime: 3600 * 1000,
      sign: (text) => textHash(text).toString(36),
    });
    this.authority = this.createAuthority();
  }

  public async open(): Promise<void> {
    const client = new FakeStoreClient(this.store, this.clock, noFaults(), this.random);
    const store = throttleWrites(client, this.clock);
    for (let range = 0; range < rangeCount; range += 1) {
      const ledger = new OperationLedger(textHash, limits);
      if (this.policy === 'own keys') {
        const context = { store, clock: this.clock, random: this.random, writer: `a.${range}` };
        const log = new Journal(range, context, {
          retention: retentionMs,
          onWritten: (key, sequence) => ledger.markWritten(key, sequence),
          onFenced: () => {},
        });
        this.records.push({ ledger, log });
        void log.takeOver(() => {});
      } else this.records.push({ ledger, log: unbatchedLog(store) });
    }
    await this.clock.advanceAsync(1000);
  }

  /** Sends operations with Poisson arrivals for `duration` milliseconds. */
  public async sendOperations(operationsPerSecond: number, duration: number): Promise<void> {
    const end = this.clock.elapsed() + duration;
    const next = (): void => {
      if (this.clock.elapsed() >= end) return;
      this.send();
      const gap = (-Math.log(1 - this.random()) * 1000) / operationsPerSecond;
      this.clock.after(gap, next);
    };
    next();
    await this.clock.advanceAsync(duration);
  }

  public resetCounters(): void {
    this.dispatchDelays.length = 0;
    this.completed = 0;
    Object.assign(this.store.counters, { writes: 0, reads: 0 });
    this.store.counters.bytes.clear();
    this.store.counters.values.clear();
  }

  private send(): void {
    this.count += 1;
    const ownKey = brandAs<OperationKey>(`0b6c4f4e-5a27-4c8f-9d1e-${this.count}`);
    const arrival = this.clock.elapsed();
    const running = this.authority.execute({
      key: this.policy === 'issued keys' ? this.keyIssuer.issue() : ownKey,
      fingerprint: brandAs<Fingerprint>(textHash(String(this.count)).toString(36)),
      deadline: arrival + callerTimeoutMs,
      isFirstAttempt: true,
      payload: { arrival },
    });
    void running.then(({ outcome }) => {
      if (outcome === 'done') this.completed += 1;
    });
  }

  private createAuthority(): OperationAuthority<Payload> {
    return new OperationAuthority({
      clock: this.clock,
      hash: textHash,
      keyIssuer: this.keyIssuer,
      issuedLedger: new OperationLedger(textHash, limits),
      recordsOf: (range) => this.records[range],
      dispatch: ({ arrival }) => {
        this.dispatchDelays.push(this.clock.elapsed() - arrival);
        const answer = { status: 200, headers: [], body: new Uint8Array(bodyBytes) };
        return new Promise((resolve) => {
          this.clock.after(serviceTimeMs, () => resolve({ type: 'done', answer }));
        });
      },
    });
  }
}

async function measure(policy: Policy, rate: number, seed: number): Promise<Sample> {
  const bench = new AuthorityBench(policy, createRandom(seed));
  await bench.open();
  await bench.sendOperations(rate * operationShare, warmUpMs);
  bench.resetCounters();
  await bench.sendOperations(rate * operationShare, measuredMs);
  const { writes, bytes, values } = bench.store.counters;
  return {
    writes: (writes * 1000) / measuredMs,
    median: quantile(bench.dispatchDelays, 0.5),
    p99: quantile(bench.dispatchDelays, 0.99),
    completed: bench.completed / ((rate * operationShare * measuredMs) / 1000),
    segmentBytes: (bytes.get('journal') ?? 0) / (values.get('journal') ?? 1),
  };
}

async function measureRate(rate: number, seeds: readonly number[]): Promise<Row[]> {
  const samples = new Map<Policy, Sample[]>();
  for (const policy of policies) {
    const runs: Sample[] = [];
    for (const seed of seeds) runs.push(await measure(policy, rate, seed));
    samples.set(policy, runs);
  }
  const figuresOf = (pick: (sample: Sample) => number): Figure[] =>
    policies.map((policy) => summarise(policy, (samples.get(policy) ?? []).map(pick)));
  const at = `${rate} requests/s, ${operationShare * 100}% keyed`;
  const row = (name: string, unit: string, pick: (sample: Sample) => number): Row => ({
    measure: `${name} at ${at}`,
    unit,
    goal: '',
    figures: figuresOf(pick),
    seeds,
  });
  return [
    row('store writes', '1/s', ({ writes }) => writes),
    row('added wait p50', 'ms', ({ median }) => median),
    row('added wait p99', 'ms', ({ p99 }) => p99),
    row('operations done', 'share', ({ completed }) => completed),
    row('bytes of a segment', 'B', ({ segmentBytes }) => segmentBytes),
  ];
}

async function measureOutage(policy: Policy, seed: number): Promise<number> {
  const rate = 100;
  const duration = 30_000;
  const bench = new AuthorityBench(policy, createRandom(seed));
  await bench.open();
  bench.store.isDown = true;
  await bench.sendOperations(rate, duration);
  return bench.completed / ((rate * duration) / 1000);
}

function usedHeapBytes(): number {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Heap bytes per finished operation, as the slope between two numbers of operations. */
function measureMemory(isArchived: boolean): number {
  const small = 100_000;
  const large = 300_000;
  const recentAnswers = isArchived ? 100 : large;
  const ledger = new OperationLedger(textHash, {
    operations: large,
    recentAnswers,
    answerBytes: 100_000_000,
  });
  const finishOperations = (from: number, to: number): void => {
    for (let number = from; number < to; number += 1) {
      const key = brandAs<OperationKey>(`0b6c4f4e-5a27-4c8f-9d1e-${number}`);
      ledger.begin(key, brandAs<Fingerprint>(textHash(key).toString(36)));
      ledger.start(key, number + 1);
      ledger.finish(key, { status: 200, headers: [], body: new Uint8Array(bodyBytes) });
      ledger.markWritten(key, number + 1);
    }
  };
  finishOperations(0, small);
  const before = usedHeapBytes();
  finishOperations(small, large);
  const slope = (usedHeapBytes() - before) / (large - small);
  return ledger.size === large ? slope : NaN;
}

/** Store reads per segment that a takeover of a range needs. */
async function measureTakeoverReads(seed: number): Promise<number> {
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const open = (writer: string): Journal => {
    const client = new FakeStoreClient(store, clock, noFaults(), createRandom(seed));
    const context = { store: client, clock, random: createRandom(seed), writer };
    return new Journal(0, context, {
      retention: retentionMs,
      onWritten: () => {},
      onFenced: () => {},
    });
  };
  const takeOver = async (writer: string): Promise<{ journal: Journal; reads: number }> => {
    const { reads } = store.counters;
    const journal = open(writer);
    const done = journal.takeOver(() => {});
    await clock.advanceAsync(2000);
    await done;
    return { journal, reads: store.counters.reads - reads };
  };
  const appendSegments = async (journal: Journal, count: number): Promise<void> => {
    for (let number = 0; number < count; number += 1) {
      journal.append({ type: 'release', key: brandAs<OperationKey>(String(number)) });
      void journal.flush();
      await clock.advanceAsync(130);
    }
  };
  const segments = 1000;
  const { journal } = await takeOver('a.1');
  await appendSegments(journal, segments);
  const shortTakeover = await takeOver('b.1');
  await appendSegments(shortTakeover.journal, segments);
  const longTakeover = await takeOver('c.1');
  return (longTakeover.reads - shortTakeover.reads) / segments;
}

async function runAll<Result>(
  seeds: readonly number[],
  run: (seed: number) => Promise<Result> | Result,
): Promise<Result[]> {
  const results: Result[] = [];
  for (const seed of seeds) results.push(await run(seed));
  return results;
}

/** Cost of keyed operations by rate, in a store outage, and in memory. */
export const operations: Scenario = {
  name: 'operations',
  async run(seeds) {
    const rows: Row[] = [];
    for (const rate of requestRates) rows.push(...(await measureRate(rate, seeds)));
    const outage: Figure[] = [];
    for (const policy of policies) {
      const shares = await runAll(seeds, (seed) => measureOutage(policy, seed));
      outage.push(summarise(policy, shares));
    }
    const memory = [
      summarise('in the index', await runAll(seeds, () => measureMemory(true))),
      summarise('with its answer', await runAll(seeds, () => measureMemory(false))),
    ];
    const takeoverReads = summarise('own keys', await runAll(seeds, measureTakeoverReads));
    return [
      ...rows,
      {
        measure: 'operations done while the store is away',
        unit: 'share',
        goal: '',
        figures: outage,
        seeds,
        notMeasured: 'resends of operations that were done before the outage',
      },
      {
        measure: 'memory of a finished operation (slope from 100,000 to 300,000)',
        unit: 'B',
        goal: '',
        figures: memory,
        seeds,
      },
      {
        measure: 'store reads of a takeover for each segment (slope from 1,000 to 2,000)',
        unit: '1',
        goal: '',
        figures: [takeoverReads],
        seeds,
      },
    ];
  },
};
