import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { isRight } from 'fp-ts/lib/Either.js';
import {
  brandAs,
  createRandom,
  VirtualClock,
  type AccountId,
  type DaemonId,
  type RandomSource,
  type ServiceName,
} from '../../api/index.js';
import { QuotaClient } from '../../common/admission/QuotaClient.js';
import { QuotaOwner } from '../../common/admission/QuotaOwner.js';
import type { QuotaDemand, QuotaKey, QuotaSubject } from '../../common/admission/QuotaTypes.js';
import { summarise } from '../Statistics.js';
import type { Figure, Row, Scenario } from '../Types.js';

const service = brandAs<ServiceName>('catalogo');

/** Round trip of a message between an entry and an owner. */
const roundTripMs = 2;

/** Numbers of daemons, up to the full size of docs/design.md 1.6. */
const daemonCounts = [10, 50, 200, 730] as const;

/** Accounts per daemon at full size. */
const accountsPerDaemon = 48;

/** Average requests per second of an account at full size. */
const accountRate = 4.6;

/** Entries that one caller uses. */
const entriesPerCaller = 3;

/** Fleet in which any daemon can own a key; counts messages and accepted requests. */
class QuotaFleet {
  public readonly clock = new VirtualClock();

  public messages = 0;

  public accepted = 0;

  public readonly entries: readonly QuotaClient[];

  private readonly owners: readonly QuotaOwner[];

  public constructor(
    size: number,
    limitOf: (key: QuotaKey) => number,
    private readonly random: RandomSource,
  ) {
    this.owners = Array.from({ length: size }, () => new QuotaOwner(limitOf, this.clock));
    const ownerOfKey = new Map<QuotaKey, DaemonId>();
    const ownerOf = (key: QuotaKey): DaemonId => {
      const owner = ownerOfKey.get(key) ?? brandAs<DaemonId>(String(ownerOfKey.size % size));
      ownerOfKey.set(key, owner);
      return owner;
    };
    const request = (owner: DaemonId, demands: readonly QuotaDemand[]) =>
      this.requestGrants(owner, demands);
    const settings = { limitOf, ownerOf, daemonCount: () => size, request };
    this.entries = this.owners.map(() => new QuotaClient(settings, this.clock));
  }

  /** Sends `rate` requests per second for `duration` milliseconds; `pick` chooses the entry and subject of each. */
  public async run(
    rate: number,
    duration: number,
    pick: () => readonly [entry: number, subject: QuotaSubject],
  ): Promise<void> {
    const scheduleNext = (): void => {
      const pause = (-Math.log(1 - this.random()) / rate) * 1_000;
      this.clock.after(pause, () => {
        this.send(...pick());
        scheduleNext();
      });
    };
    scheduleNext();
    await this.clock.advanceAsync(duration);
  }

  private send(index: number, subject: QuotaSubject): void {
    const entry = this.entries[index];
    const result = entry?.tryAcquire(subject);
    if (result !== undefined) this.accepted += isRight(result) ? 1 : 0;
    else {
      void entry?.acquire(subject).then((lateResult) => {
        this.accepted += isRight(lateResult) ? 1 : 0;
      });
    }
  }

  private requestGrants(owner: DaemonId, demands: readonly QuotaDemand[]) {
    this.messages += 1;
    return new Promise<ReturnType<QuotaOwner['grant']>>((resolve) => {
      this.clock.after(roundTripMs, () =>
        resolve(this.owners[Number(owner)]?.grant(demands) ?? []),
      );
    });
  }
}

interface Sample {
  readonly error: number;
  readonly messages: number;
}

/** Runs one service at twice its limit, spread over all entries. */
async function runOverload(size: number, limit: number, seed: number): Promise<Sample> {
  const random = createRandom(seed);
  const fleet = new QuotaFleet(size, (key) => (key.startsWith('service/') ? limit : 0), random);
  const pick = () => [Math.floor(random() * size), { service, workClass: 'interactive' }] as const;
  const warmUpMs = 5_000;
  const duration = 10_000;
  await fleet.run(limit * 2, warmUpMs, pick);
  const { accepted, messages } = fleet;
  await fleet.run(0.001, duration, pick);
  const seconds = duration / 1_000;
  return {
    error: (fleet.accepted - accepted) / (limit * seconds) - 1,
    messages: (fleet.messages - messages) / seconds,
  };
}

/** Runs all accounts below their limits, each at a few entries; returns messages per second of one daemon. */
async function runBelowLimits(size: number, seed: number): Promise<number> {
  const random = createRandom(seed);
  const accounts = size * accountsPerDaemon;
  const fleet = new QuotaFleet(size, (key) => (key.startsWith('account/') ? 20 : 0), random);
  const pick = () => {
    const account = Math.floor(random() * accounts);
    const entry = (account + Math.floor(random() * entriesPerCaller) * 7) % size;
    const id = brandAs<AccountId>(`account-${account}`);
    return [entry, { service, workClass: 'interactive', account: id }] as const;
  };
  await fleet.run(accounts * accountRate, 5_000, pick);
  const { messages } = fleet;
  const seconds = 3;
  await fleet.run(0.001, seconds * 1_000, pick);
  return (fleet.messages - messages) / seconds / size;
}

function usedHeapBytes(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  return process.memoryUsage().heapUsed;
}

/** Heap bytes per account, at its owner and at one entry together. */
async function measureMemory(accounts: number): Promise<number> {
  const before = usedHeapBytes();
  const fleet = new QuotaFleet(1, (key) => (key.startsWith('account/') ? 20 : 0), createRandom(1));
  for (let index = 0; index < accounts; index += 1) {
    const account = brandAs<AccountId>(`account-${index}`);
    void fleet.entries[0]?.acquire({ service, workClass: 'interactive', account });
  }
  await fleet.clock.advanceAsync(100);
  const used = usedHeapBytes() - before;
  // If the entry does not hold state for every account, the result is not valid.
  return fleet.entries[0]?.size === accounts ? used / accounts : NaN;
}

function createRow(
  measure: string,
  unit: string,
  figures: readonly Figure[],
  seeds: readonly number[],
): Row {
  return { measure, unit, goal: '', figures, seeds };
}

async function measureOverload(limit: number, seeds: readonly number[]): Promise<readonly Row[]> {
  const errors: Figure[] = [];
  const messages: Figure[] = [];
  for (const size of daemonCounts) {
    const samples: Sample[] = [];
    for (const seed of seeds) samples.push(await runOverload(size, limit, seed));
    errors.push(
      summarise(
        `${size} daemons`,
        samples.map(({ error }) => error),
      ),
    );
    messages.push(
      summarise(
        `${size} daemons`,
        samples.map((each) => each.messages),
      ),
    );
  }
  const title = `limit ${limit}/s, demand twice that`;
  return [
    createRow(`accepted beyond the limit, ${title}`, 'share', errors, seeds),
    createRow(`messages of the fleet for the key, ${title}`, '1/s', messages, seeds),
  ];
}

async function measureOrdinary(seeds: readonly number[]): Promise<Row> {
  const figures: Figure[] = [];
  const firstSeed = seeds.slice(0, 1);
  for (const size of daemonCounts) {
    const samples: number[] = [];
    for (const seed of firstSeed) samples.push(await runBelowLimits(size, seed));
    figures.push(summarise(`${size} daemons, ${size * accountsPerDaemon} accounts`, samples));
  }
  const measure = `calls that a daemon makes, ${accountRate} requests/s for each account at ${entriesPerCaller} entries`;
  return createRow(measure, '1/s', figures, firstSeed);
}

/** Accuracy and cost of quotas over the whole fleet. */
export const quotas: Scenario = {
  name: 'quotas',
  run: async (seeds) => {
    const memory: Figure[] = [];
    for (const accounts of [5_000, 10_000, 20_000, 35_000]) {
      memory.push(summarise(`${accounts} accounts`, [await measureMemory(accounts)]));
    }
    return [
      ...(await measureOverload(1_000, seeds)),
      ...(await measureOverload(200, seeds)),
      await measureOrdinary(seeds),
      createRow('memory of an account, owner and entry in one process', 'bytes', memory, []),
    ];
  },
};
