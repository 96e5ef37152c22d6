import { expect } from 'chai';
import { ConfigurationFleet } from '../../bench/simulation/ConfigurationFleet.js';
import { sha256 } from '../../node/sha256.js';
import { createTestConfiguration } from '../../bench/simulation/createTestConfiguration.js';
import { FakeStore } from '../../bench/simulation/FakeStore.js';
import { VirtualClock, brandAs, createRandom } from '../base/index.js';
import type { DaemonId, DataCentre, PresetName, Revision } from '../base/index.js';
import { encodeHead } from './ConfigurationCodec.js';
import { chunkKey } from './ConfigurationKeys.js';
import { ConfigurationState } from './ConfigurationState.js';
import { ConfigurationTask } from './ConfigurationTask.js';
import { StoreConfigurationEditor } from './StoreConfigurationEditor.js';
import type { ConfigurationHead } from './Types.js';

/** Maximum time in milliseconds until a change is in force everywhere (docs/design.md 1.1). */
const maxDistributionTime = 16000;
const hour = 60 * 60 * 1000;
const note = { author: 'ana', summary: 'a change' };
const places = ['gam-a', 'gam-b', 'gte-a', 'gte-b'];
const peak = brandAs<PresetName>('peak');

function placeOf(index: number): { region: string; dataCentre: string } {
  const dataCentre = places[index % places.length] as string;
  return { region: dataCentre.slice(0, 3), dataCentre };
}

async function startFleet(seed: number, size = 16) {
  const clock = new VirtualClock();
  const fleet = new ConfigurationFleet({ clock, seed, size, locationOf: placeOf });
  await fleet.editor.change(await fleet.editor.read(), createTestConfiguration(), note);
  fleet.start();
  expect(await fleet.timeToRevision(1, maxDistributionTime), 'first revision').to.be.below(
    maxDistributionTime,
  );
  // The first watchers are elected before all members are known.
  await clock.advanceAsync(10000);
  return { clock, fleet };
}

async function switchPreset(fleet: ConfigurationFleet): Promise<void> {
  const base = await fleet.editor.read();
  const preset = base.configuration.preset === peak ? brandAs<PresetName>('ordinary') : peak;
  await fleet.editor.switchPreset(base, preset, note);
}

describe('ConfigurationTask in a fleet', () => {
  it('has two watchers in each data centre, whatever the size of the fleet (seed 31)', async () => {
    const { fleet } = await startFleet(31, 32);
    expect(fleet.store.watches.size).to.equal(2 * places.length);
    fleet.dispose();
  });

  const faults = [
    { name: 'no fault', seed: 32, fault: (): void => {} },
    {
      name: 'all watchers crashing with the change',
      seed: 33,
      fault: (fleet: ConfigurationFleet): void =>
        fleet.nodes.forEach(({ task }, index) => {
          if (!task.isWatching) return;
          task.dispose();
          fleet.members.crash(index);
        }),
    },
    {
      name: 'watches that stop delivering',
      seed: 34,
      fault: (fleet: ConfigurationFleet): void => {
        fleet.store.areWatchesStalled = true;
      },
    },
    {
      name: 'a store outage of 5 s after the change',
      seed: 35,
      fault: (fleet: ConfigurationFleet, clock: VirtualClock): void => {
        fleet.store.setDown(true);
        clock.after(5000, () => fleet.store.setDown(false));
      },
    },
  ];
  faults.forEach(({ name, seed, fault }) => {
    it(`puts a change in force everywhere within 16 s with ${name} (seed ${seed})`, async () => {
      const { clock, fleet } = await startFleet(seed);
      const isBefore = name !== 'no fault' && seed !== 35;
      if (isBefore) fault(fleet, clock);
      await switchPreset(fleet);
      if (!isBefore) fault(fleet, clock);
      expect(await fleet.timeToRevision(2, maxDistributionTime)).to.be.below(maxDistributionTime);
      fleet.dispose();
    });
  });

  it('lets a daemon that starts during a store outage of hours learn from its peers (seed 36)', async () => {
    const { clock, fleet } = await startFleet(36, 8);
    fleet.store.setDown(true);
    await clock.advanceAsync(2 * hour);
    fleet.restart(5);
    expect(await fleet.timeToRevision(1, maxDistributionTime)).to.be.below(maxDistributionTime);
    expect(fleet.node(5).revisions).to.deep.equal([1]);
    fleet.dispose();
  }).timeout(120000);

  it('spreads the watchers that return to the store after an outage (seed 37)', async () => {
    const { clock, fleet } = await startFleet(37);
    fleet.store.setDown(true);
    await clock.advanceAsync(60000);
    fleet.store.setDown(false);
    const perStep: number[] = [];
    for (let step = 0; step < 50; step++) {
      const before = fleet.store.calls.get('watch') ?? 0;
      await clock.advanceAsync(100);
      perStep.push((fleet.store.calls.get('watch') ?? 0) - before);
    }
    expect(Math.max(...perStep)).to.be.below(4);
    expect(fleet.store.watches.size).to.equal(8);
    fleet.dispose();
  });

  it('does not return to older revisions that lagging or partitioned peers offer (seed 38)', async () => {
    const { clock, fleet } = await startFleet(38);
    const old = fleet.node(0).state.head!;
    fleet.members.isCut = (sender, receiver) => placeOf(sender).region !== placeOf(receiver).region;
    await switchPreset(fleet);
    await switchPreset(fleet);
    await clock.advanceAsync(maxDistributionTime);
    fleet.nodes.forEach(({ task }) => task.offer('10.0.0.1:7400', encodeHead(old, sha256)));
    fleet.members.isCut = () => false;
    await switchPreset(fleet);
    expect(await fleet.timeToRevision(4, maxDistributionTime)).to.be.below(maxDistributionTime);
    fleet.nodes.forEach(({ revisions }) => {
      expect(revisions).to.deep.equal([...revisions].sort((one, other) => one - other));
    });
    fleet.dispose();
  });

  it('fetches from other peers when neither the announcing peer nor the store answers (seed 39)', async () => {
    const { fleet } = await startFleet(39);
    const head = { ...fleet.node(0).state.head!, revision: brandAs<Revision>(9) };
    const content = encodeHead({ ...head, preset: peak }, sha256);
    fleet.store.setDown(true);
    fleet.restart(3);
    fleet.node(3).task.offer('10.9.9.1:7400', content);
    expect(await fleet.timeToRevision(9, maxDistributionTime)).to.be.below(maxDistributionTime);
    fleet.dispose();
  });
});

/** One task that does not watch the store. */
async function startAlone(seed: number) {
  const clock = new VirtualClock();
  const store = new FakeStore();
  const editor = new StoreConfigurationEditor(store, sha256, () => clock.now());
  const result = await editor.change(await editor.read(), createTestConfiguration(), note);
  if (result.type !== 'applied') throw new Error('the first change was not applied');
  const state = new ConfigurationState(sha256);
  const errors: string[] = [];
  const task = new ConfigurationTask({
    state,
    store,
    membership: {
      self: brandAs<DaemonId>('a'),
      dataCentre: brandAs<DataCentre>('gam-a'),
      members: () => [],
      peers: () => [],
    },
    // A half-open connection gives neither an answer nor an error.
    fetchChunks: () => new Promise(() => {}),
    digest: sha256,
    clock,
    random: createRandom(seed),
    log: { write: ({ level, message }) => level === 'error' && errors.push(message) },
  });
  const offer = (head: ConfigurationHead): void => task.offer('peer:1', encodeHead(head, sha256));
  return { clock, store, state, errors, offer, head: result.head };
}

describe('ConfigurationTask', () => {
  it('fetches chunks from the store when a peer never answers (seed 41)', async () => {
    const { clock, state, offer, head } = await startAlone(41);
    offer(head);
    await clock.advanceAsync(5000);
    expect(state.revision).to.equal(1);
  });

  it('keeps retrying when neither the peer nor the store answers (seed 42)', async () => {
    const { clock, store, state, offer, head } = await startAlone(42);
    store.setDown(true);
    offer(head);
    await clock.advanceAsync(30000);
    store.setDown(false);
    await clock.advanceAsync(10000);
    expect(state.revision).to.equal(1);
  });

  it('reports a revision that cannot be decoded once, however often peers offer it (seed 43)', async () => {
    const { clock, store, errors, offer, head } = await startAlone(43);
    const content = new TextEncoder().encode('no list');
    const digest = sha256(content);
    await store.transact([], [{ type: 'put', key: chunkKey(digest), value: content }]);
    const chunks = [...head.chunks, { kind: 'routes' as const, digest, size: content.length }];
    for (let offered = 0; offered < 20; offered++) {
      offer({ ...head, chunks });
      await clock.advanceAsync(1000);
    }
    expect(errors.length).to.equal(1);
  });
});
