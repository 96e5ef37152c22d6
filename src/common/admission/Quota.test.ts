import { expect } from 'chai';
import { isRight } from 'fp-ts/lib/Either.js';
import {
  brandAs,
  VirtualClock,
  type AccountId,
  type DaemonId,
  type ServiceName,
} from '../base/index.js';
import type { WorkClass } from '../services/Types.js';
import { QuotaClient } from './QuotaClient.js';
import { QuotaOwner } from './QuotaOwner.js';
import type { QuotaGrant, QuotaLimit } from './QuotaTypes.js';

const service = brandAs<ServiceName>('catalogo');
const account = brandAs<AccountId>('bidder');
const owners = ['owner-1', 'owner-2'].map((id) => brandAs<DaemonId>(id));

const limitAccount: QuotaLimit = (key) => (key === `account/${account}` ? 100 : 0);
const limitService: QuotaLimit = (key) => (key === `service/${service}` ? 100 : 0);

/** Entries and two owners on a virtual clock; a message takes 1 ms. */
class Fleet {
  public readonly clock = new VirtualClock();

  public owner: DaemonId | undefined = owners[0];

  public isPartitioned = false;

  public messages = 0;

  public readonly accepted: Record<WorkClass, number> = { critical: 0, interactive: 0, bulk: 0 };

  public readonly owners: ReadonlyMap<DaemonId, QuotaOwner>;

  public readonly entries: readonly QuotaClient[];

  public constructor(size: number, limitOf: QuotaLimit) {
    this.owners = new Map(owners.map((id) => [id, new QuotaOwner(limitOf, this.clock)]));
    const settings = {
      limitOf,
      ownerOf: () => this.owner,
      daemonCount: () => size,
      request: (owner: DaemonId, demands: Parameters<QuotaOwner['grant']>[0]) => {
        this.messages += 1;
        return this.deliver(() => this.owners.get(owner)?.grant(demands) ?? []);
      },
    };
    this.entries = Array.from({ length: size }, () => new QuotaClient(settings, this.clock));
  }

  /** Sends `rate` requests a second, spread over the entries; one in `criticalEach` is critical. */
  public async run(
    seconds: number,
    rate: number,
    common: WorkClass,
    criticalEach = Infinity,
  ): Promise<void> {
    for (let index = 0; index < seconds * rate; index += 1) {
      const entry = this.entries[Math.floor(index / 6) % this.entries.length];
      const workClass = (index + 1) % criticalEach === 0 ? 'critical' : common;
      void entry?.acquire({ service, workClass, account }).then((result) => {
        if (isRight(result)) this.accepted[workClass] += 1;
      });
      await this.clock.advanceAsync(1000 / rate);
    }
  }

  private deliver(respond: () => readonly QuotaGrant[]): Promise<readonly QuotaGrant[]> {
    if (this.isPartitioned) return Promise.reject(new Error('unreachable'));
    return new Promise((resolve) => {
      this.clock.after(1, () => resolve(respond()));
    });
  }
}

describe('Quota', () => {
  it('enforces the limit over all entries with a tolerance of one second', async () => {
    const fleet = new Fleet(5, limitAccount);
    await fleet.run(10, 300, 'interactive');
    expect(fleet.accepted.interactive).to.be.within(950, 1100);
  });

  it('accepts everything below the limit, also when the load of the entries is uneven', async () => {
    const fleet = new Fleet(5, limitAccount);
    await fleet.run(10, 60, 'interactive');
    expect(fleet.accepted.interactive).to.equal(600);
  });

  it('sends far fewer messages than requests, so that control traffic does not grow with the load', async () => {
    const fleet = new Fleet(5, limitAccount);
    await fleet.run(10, 300, 'interactive');
    // One message a second for each entry, and a few while the first grants are small.
    expect(fleet.messages).to.be.below(10 * 5 * 2);
  });

  it('gives each entry its part of the limit when the owner is unreachable', async () => {
    const fleet = new Fleet(5, limitAccount);
    fleet.isPartitioned = true;
    await fleet.run(10, 300, 'interactive');
    expect(fleet.accepted.interactive).to.be.within(900, 1100);
  });

  it('admits at most one extra second of the limit when the owner changes', async () => {
    const fleet = new Fleet(5, limitAccount);
    await fleet.run(5, 300, 'interactive');
    [, fleet.owner] = owners;
    await fleet.run(5, 300, 'interactive');
    expect(fleet.accepted.interactive).to.be.at.most(1000 + 2 * 100);
  });

  it('returns to grants after a partition', async () => {
    const fleet = new Fleet(5, limitAccount);
    fleet.isPartitioned = true;
    await fleet.run(2, 300, 'interactive');
    fleet.isPartitioned = false;
    await fleet.run(2, 300, 'interactive');
    expect(fleet.owners.get(owners[0] as DaemonId)?.size).to.equal(1);
  });

  it('refuses critical work last when a service is at its limit', async () => {
    const fleet = new Fleet(2, limitService);
    await fleet.run(5, 300, 'bulk', 6);
    expect(fleet.accepted.critical).to.be.at.least(0.95 * 250);
    expect(fleet.accepted.bulk + fleet.accepted.critical).to.be.at.most(600);
  });

  it('drops the state of idle keys, so that 35,000 accounts do not fill the memory', async () => {
    const fleet = new Fleet(1, limitAccount);
    await fleet.run(1, 10, 'interactive');
    await fleet.clock.advanceAsync(70_000);
    expect(fleet.entries[0]?.size).to.equal(0);
    expect(fleet.owners.get(owners[0] as DaemonId)?.size).to.equal(0);
  });
});
