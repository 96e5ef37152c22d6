import { expect } from 'chai';
import { request } from 'undici';
import { brandAs, rankByRendezvous, type AccountId } from '../src/api/index.js';
import { Fleet, lotsConfiguration, waitUntil } from './Fleet.js';

const rate = 5;

const ids = Array.from({ length: 300 }, (_, index) => `account-${index}`);

/** Accounts whose quota the second daemon owns, so that the first one has to request grants. */
const accountsOwnedByPeer = ids.filter(
  (id) => rankByRendezvous(`account/${id}`, ['d1', 'd2'])[0] === 'd2',
);

describe('account rate limit across two daemons', () => {
  const fleet = new Fleet();

  before(async () => {
    const accounts = ids.map((id) => ({ id: brandAs<AccountId>(id), rate }));
    await fleet.start(2, { ...lotsConfiguration, accounts });
  });

  after(() => fleet.dispose());

  /** Number of requests that the limit admits; they fail later, because there is no target. */
  async function countPassed(account: string, daemons: readonly number[]): Promise<number> {
    const passed = await Promise.all(
      daemons.map(async (index) => {
        const url = `http://127.0.0.1:${fleet.member(index).ports.callers}/lots/x`;
        const headers = { 'limpettrack-account': account };
        const { body } = await request(url, { headers });
        return !(await body.text()).includes('over the limit');
      }),
    );
    return passed.filter(Boolean).length;
  }

  it('grants the whole limit to an entry that is not the owner', async () => {
    // Without a grant from the owner the entry admits only one request of five at once.
    await waitUntil('the owner grants the whole limit', async () => {
      const account = accountsOwnedByPeer.pop() ?? '';
      return (await countPassed(account, Array<number>(rate).fill(0))) === rate;
    });
  });

  it('rejects requests over the limit, whichever daemon receives them', async () => {
    const daemons = Array.from({ length: 60 }, (_, index) => index % 2);
    const started = Date.now();
    const passed = await countPassed(accountsOwnedByPeer.pop() ?? '', daemons);
    const seconds = (Date.now() - started) / 1_000;
    // At most two buckets: that of the owner, and the fallback shares of entries that did not reach it in time.
    expect(passed).to.be.at.most(rate * (2 + 2 * seconds));
  });
});
