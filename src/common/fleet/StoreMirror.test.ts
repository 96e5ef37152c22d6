import { expect } from 'chai';
import { brandAs, VirtualClock, type StoreEpoch } from '../base/index.js';
import type { StoreChange } from '../services/Types.js';
import { RevisionCompactedError } from './errors.js';
import type { StorePosition } from './StorePosition.js';
import { StoreMirror } from './StoreMirror.js';

const put = (key: string, modRevision: number): StoreChange => ({
  type: 'put',
  entry: { key, value: Buffer.from(key), modRevision },
});
const removal = (key: string, modRevision: number): StoreChange => ({
  type: 'delete',
  entry: { key, value: new Uint8Array(), modRevision },
});
const [earlier, epoch, later] = [1, 2, 3].map((value) => brandAs<StoreEpoch>(value)) as [
  StoreEpoch,
  StoreEpoch,
  StoreEpoch,
];
const at = (revision: number): StorePosition => ({ epoch, revision });
const describeChanges = (changes: readonly StoreChange[]): string[] =>
  changes.map(({ type, entry }) => `${type} ${entry.key} ${entry.modRevision}`);

/** Mirror with the keys a (revision 3) and b (revision 5), read at revision 6. */
function create() {
  const clock = new VirtualClock();
  const mirror = new StoreMirror(clock);
  const entries = [put('a', 3).entry, put('b', 5).entry];
  mirror.replace({ entries, epoch, revision: 6 }, 0);
  return { clock, mirror };
}

describe('StoreMirror', () => {
  const cases: readonly {
    readonly name: string;
    readonly changes: readonly StoreChange[];
    readonly after: number;
    readonly result: readonly string[];
  }[] = [
    { name: 'nothing new', changes: [], after: 6, result: [] },
    {
      name: 'the changes after a revision, oldest first',
      changes: [put('c', 7), put('a', 8)],
      after: 6,
      result: ['put c 7', 'put a 8'],
    },
    {
      name: 'only the last change of a key',
      changes: [put('a', 7), put('a', 9)],
      after: 6,
      result: ['put a 9'],
    },
    {
      name: 'a deletion',
      changes: [put('c', 7), removal('a', 8)],
      after: 7,
      result: ['delete a 8'],
    },
    {
      name: 'no change that is older than the known one',
      changes: [put('a', 9), put('a', 7)],
      after: 6,
      result: ['put a 9'],
    },
  ];
  cases.forEach(({ name, changes, after, result }) => {
    it(`tells a follower ${name}`, () => {
      const { mirror } = create();
      mirror.add({ epoch, changes, revision: 10 }, 0);
      expect(describeChanges(mirror.changesAfter(at(after)).changes)).to.deep.equal(result);
      expect(mirror.changesAfter(at(after)).revision).to.equal(10);
    });
  });

  it('tells a follower from before the snapshot all keys, since deletions may be missing', () => {
    const { mirror } = create();
    const { changes, keys } = mirror.changesAfter(at(4));
    expect(describeChanges(changes)).to.deep.equal(['put b 5']);
    expect(keys).to.deep.equal(['a', 'b']);
    expect(mirror.changesAfter(at(6)).keys).to.equal(undefined);
  });

  it('tells followers all keys once it has dropped a deletion that they may miss', () => {
    const { mirror } = create();
    for (let revision = 7; revision < 2_007; revision += 1) {
      mirror.add({ epoch, changes: [removal(`k${revision}`, revision)], revision }, 0);
    }
    expect(mirror.changesAfter(at(6)).keys).to.deep.equal(['a', 'b']);
    expect(mirror.changesAfter(at(1_500)).keys).to.equal(undefined);
    expect(mirror.changesAfter(at(1_500)).changes).to.have.length(506);
  });

  it('removes what a list of keys lacks, so that a deletion is not missed', () => {
    const { mirror } = create();
    const changes = mirror.add({ epoch, changes: [put('c', 8)], revision: 9, keys: ['b', 'c'] }, 0);
    expect(describeChanges(changes)).to.deep.equal(['delete a 9', 'put c 8']);
    expect(mirror.snapshot?.entries.map(({ key }) => key)).to.deep.equal(['b', 'c']);
  });

  it('does not go back to an older snapshot', () => {
    const { mirror } = create();
    mirror.add({ epoch, changes: [removal('a', 8)], revision: 8 }, 0);
    mirror.replace({ entries: [put('a', 3).entry], epoch, revision: 7 }, 0);
    expect(mirror.snapshot?.entries.map(({ key }) => key)).to.deep.equal(['b']);
  });

  const epochs: readonly {
    readonly name: string;
    readonly act: (mirror: StoreMirror) => unknown;
    readonly keys: readonly string[];
    readonly position: StorePosition;
  }[] = [
    {
      name: 'takes a snapshot of a later epoch, although its revision is lower',
      act: (mirror) =>
        mirror.replace({ entries: [put('c', 2).entry], epoch: later, revision: 2 }, 0),
      keys: ['c'],
      position: { epoch: later, revision: 2 },
    },
    {
      name: 'ignores a late snapshot of an earlier epoch',
      act: (mirror) =>
        mirror.replace({ entries: [put('c', 9).entry], epoch: earlier, revision: 9 }, 0),
      keys: ['a', 'b'],
      position: at(6),
    },
    {
      name: 'ignores late changes of an earlier epoch',
      act: (mirror) => mirror.add({ changes: [put('c', 9)], epoch: earlier, revision: 9 }, 0),
      keys: ['a', 'b'],
      position: at(6),
    },
    {
      name: 'ignores changes of a later epoch, since others before them are unknown',
      act: (mirror) => mirror.add({ changes: [put('c', 9)], epoch: later, revision: 9 }, 0),
      keys: ['a', 'b'],
      position: at(6),
    },
  ];
  epochs.forEach(({ name, act, keys, position }) => {
    it(name, () => {
      const { mirror } = create();
      act(mirror);
      expect(mirror.snapshot?.entries.map(({ key }) => key)).to.deep.equal(keys);
      expect(mirror.position).to.deep.equal(position);
    });
  });

  it('sends a follower of an earlier epoch to the snapshot, and tells one of a later epoch nothing', () => {
    const { mirror } = create();
    expect(() => mirror.changesAfter({ epoch: earlier, revision: 6 })).to.throw(
      RevisionCompactedError,
    );
    expect(mirror.changesAfter({ epoch: later, revision: 1 }).changes).to.deep.equal([]);
  });

  it('counts its age from the time at which the store confirmed the state', () => {
    const { clock, mirror } = create();
    clock.advance(500);
    mirror.add({ epoch, changes: [], revision: 6 }, 300);
    clock.advance(100);
    expect(mirror.age).to.equal(400);
  });

  it('keeps its age if a relay confirms an older state', () => {
    const { clock, mirror } = create();
    clock.advance(100);
    mirror.add({ epoch, changes: [], revision: 6 }, 5_000);
    expect(mirror.age).to.equal(100);
  });
});
