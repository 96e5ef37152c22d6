import { expect } from 'chai';
import { request } from 'undici';
import { brandAs, rankByRendezvous, type AccountId } from '../src/api/index.js';
import { Fleet, lotsContent, waitUntil } from './Fleet.js';

const rate = 5;

const ids = Array.from({ length: 300 }, (_, index) => `account-${index}`);

/** Accounts whose limit the second daemon owns, so that the first one has to ask for grants. */
const foreign = ids.filter((id) => rankByRendezvous(`account/${id}`, ['d1', 'd2'])[0] === 'd2');

describe('limit of an account over two daemons', () => {
  const fleet = new Fleet();

  before(async () => {
    const accounts = ids.map((id) => ({ id: brandAs<AccountId>(id), rate }));
    await fleet.start(2, { ...lotsContent, accounts });
  });

  after(() => fleet.dispose());

  /** Requests that the limit let pass; there is no target, so those fail later. */
  async function countPassed(account: string, daemons: readonly number[]): Promise<number> {
    const passed = await Promise.all(
      daemons.map(async (index) => {
        const url = `http://127.0.0.1:${fleet.at(index).ports.callers}/lots/x`;
        const headers = { 'limpettrack-account': account };
        const { body } = await request(url, { headers });
        return !(await body.text()).includes('over the limit');
      }),
    );
    return passed.filter(Boolean).length;
  }

  it('is granted by the owner at a peer, or an entry gets no more than its own part', async () => {
    // Without an answer of the owner one request of five passes at once.
    await waitUntil('the owner grants the whole limit', async () => {
      const account = foreign.pop() ?? '';
      return (await countPassed(account, Array<number>(rate).fill(0))) === rate;
    });
  });

  it('refuses what is over it, whatever daemon the caller uses', async () => {
    const daemons = Array.from({ length: 60 }, (_, index) => index % 2);
    const started = Date.now();
    const passed = await countPassed(foreign.pop() ?? '', daemons);
    const seconds = (Date.now() - started) / 1_000;
    // Two buckets at most: one of the owner, and the parts of entries that did not reach it in time.
    expect(passed).to.be.at.most(rate * (2 + 2 * seconds));
  });
});
