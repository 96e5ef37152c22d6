import { expect } from 'chai';
import { brandAs, rankByRendezvous, VirtualClock, type DaemonId } from '../base/index.js';
import { RelaySelector, type ChangeSource } from './RelaySelector.js';

const key = 'limpettrack/';
const ids = ['d-1', 'd-2', 'd-3', 'd-4', 'd-5'].map((id) => brandAs<DaemonId>(id));
/** The daemons in the order in which they are relays. */
const ranked = rankByRendezvous(key, ids);
const [first, second, third, fourth, last] = ranked as [
  DaemonId,
  DaemonId,
  DaemonId,
  DaemonId,
  DaemonId,
];

const nameOf = (source: ChangeSource): string =>
  source.type === 'store' ? 'store' : String(ranked.indexOf(source.daemon) + 1);

describe('RelaySelector', () => {
  const cases: readonly {
    readonly name: string;
    readonly self?: DaemonId;
    readonly candidates?: readonly DaemonId[];
    readonly act: (selector: RelaySelector, clock: VirtualClock) => void;
    readonly source: string;
  }[] = [
    { name: 'the daemon that ranks first', act: () => {}, source: '1' },
    { name: 'the store if it ranks first itself', self: first, act: () => {}, source: 'store' },
    {
      name: 'the store if it knows no other daemon',
      candidates: [],
      act: () => {},
      source: 'store',
    },
    {
      name: 'the next one if the first has left',
      candidates: [second, third, last],
      act: () => {},
      source: '2',
    },
    {
      name: 'the store while another daemon follows it',
      act: (selector, clock) => {
        selector.recordFollower();
        clock.advance(9_000);
      },
      source: 'store',
    },
    {
      name: 'a relay if the store does not answer it, although another daemon follows it',
      act: (selector) => {
        selector.recordFollower();
        selector.recordFailure(selector.choose());
      },
      source: '1',
    },
    {
      name: 'the next one if it ranks first itself and the store does not answer it',
      self: first,
      act: (selector) => selector.recordFailure(selector.choose()),
      source: '2',
    },
    {
      name: 'a relay again once no daemon follows it any more',
      act: (selector, clock) => {
        selector.recordFollower();
        clock.advance(11_000);
      },
      source: '1',
    },
    {
      name: 'the second one after the first has failed',
      act: (selector) => selector.recordFailure(selector.choose()),
      source: '2',
    },
    {
      name: 'the store after two relays have failed',
      act: (selector) => {
        selector.recordFailure(selector.choose());
        selector.recordFailure(selector.choose());
      },
      source: 'store',
    },
    {
      name: 'a relay that has not failed after the store has failed too',
      act: (selector) => {
        selector.recordFailure(selector.choose());
        selector.recordFailure(selector.choose());
        selector.recordFailure(selector.choose());
      },
      source: '3',
    },
    {
      name: 'the first one again some seconds after its failure',
      act: (selector, clock) => {
        selector.recordFailure(selector.choose());
        selector.recordSuccess(selector.choose());
        clock.advance(7_000);
      },
      source: '1',
    },
    {
      name: 'the store if all that rank before it have failed',
      self: third,
      act: (selector) => {
        selector.recordFailure(selector.choose());
        selector.recordSuccess({ type: 'store' });
        selector.recordFailure(selector.choose());
        selector.recordSuccess({ type: 'store' });
      },
      source: 'store',
    },
  ];
  cases.forEach(({ name, self = last, candidates = ids, act, source }) => {
    it(`reads from ${name}`, () => {
      const clock = new VirtualClock();
      const selector = new RelaySelector(self, key, () => candidates, clock);
      act(selector, clock);
      expect(nameOf(selector.choose())).to.equal(source);
    });
  });

  const groups: readonly {
    readonly name: string;
    readonly self?: DaemonId;
    readonly act?: (selector: RelaySelector) => void;
    readonly backups: readonly string[];
  }[] = [
    {
      name: 'the standbys, the store and the others, if it is none of these',
      backups: ['2 3', 'store', '4', ''],
    },
    {
      name: 'the store with the other standby, if it is a standby itself',
      self: second,
      backups: ['store 3 4', '', '5', ''],
    },
    {
      name: 'the store on another connection, if it ranks first',
      self: first,
      backups: ['store 2 3', '', '4 5', ''],
    },
    {
      name: 'no daemon that has failed lately',
      act: (selector) => selector.recordFailure({ type: 'relay', daemon: second }),
      backups: ['3 4', 'store', '', ''],
    },
  ];
  groups.forEach(({ name, self = last, act, backups }) => {
    it(`asks as backups ${name}`, () => {
      const selector = new RelaySelector(self, key, () => ids, new VirtualClock());
      act?.(selector);
      const asked = selector.backups(selector.choose()).map((group) => group().map(nameOf));
      const sorted = asked.map((names) => [...names].sort().reverse());
      const expected = backups.map((names) => names.split(' ').filter(Boolean).sort().reverse());
      expect(sorted).to.deep.equal(expected);
    });
  });

  it('has the same relay at all daemons', () => {
    const clock = new VirtualClock();
    const sources = [second, third, fourth, last].map((self) =>
      nameOf(new RelaySelector(self, key, () => ids, clock).choose()),
    );
    expect(new Set(sources)).to.deep.equal(new Set(['1']));
  });
});
