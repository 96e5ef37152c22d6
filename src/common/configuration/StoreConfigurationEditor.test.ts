import { expect } from 'chai';
import { FakeStore } from '../../bench/simulation/FakeStore.js';
import { sha256 } from '../../node/sha256.js';
import { createTestConfiguration } from '../../bench/simulation/createTestConfiguration.js';
import { InvalidInputError, StoreError, brandAs } from '../base/index.js';
import type { PresetName, Revision } from '../base/index.js';
import { StoreConfigurationEditor } from './StoreConfigurationEditor.js';
import type { ConfigurationContent } from './Types.js';

const note = { author: 'ana', summary: 'a change' };
const peak = brandAs<PresetName>('peak');

function createEditor(store: FakeStore): StoreConfigurationEditor {
  return new StoreConfigurationEditor(store, sha256, () => new Date(0));
}

async function prepare(): Promise<{ store: FakeStore; editor: StoreConfigurationEditor }> {
  const store = new FakeStore();
  const editor = createEditor(store);
  await editor.change(await editor.read(), createTestConfiguration(), note);
  return { store, editor };
}

async function failureOf(work: Promise<unknown>): Promise<unknown> {
  try {
    await work;
    return undefined;
  } catch (error) {
    return error;
  }
}

describe('StoreConfigurationEditor', () => {
  it('returns both versions to the second of two concurrent operators and overwrites neither', async () => {
    const { store, editor } = await prepare();
    const base = await editor.read();
    await editor.switchPreset(base, peak, note);
    const wanted = createTestConfiguration(9, 9);
    const result = await createEditor(store).change(base, wanted, { ...note, author: 'eva' });
    if (result.type !== 'conflict') throw new Error('no conflict');
    expect(result.wanted.routes.length).to.equal(9);
    expect([
      result.present.configuration.preset,
      result.present.configuration.routes.length,
    ]).to.deep.equal(['peak', 3]);
    expect((await editor.read()).configuration.revision).to.equal(2);
  });

  const losses = [
    { name: 'the answer to the swap', losses: ['answer'] as const },
    { name: 'the request of the swap', losses: ['request'] as const },
    { name: 'two answers to the swap', losses: ['answer', 'answer'] as const },
  ];
  losses.forEach(({ name, losses: lost }) => {
    it(`reports a change as applied, and applies it once, despite the loss of ${name}`, async () => {
      const { store, editor } = await prepare();
      const base = await editor.read();
      store.losses = [...lost];
      const result = await editor.switchPreset(base, peak, note);
      expect(result.type).to.equal('applied');
      const { configuration } = await editor.read();
      expect([configuration.revision, configuration.preset]).to.deep.equal([2, 'peak']);
    });
  });

  it('reports a conflict when the request was lost and another change came first', async () => {
    const { store, editor } = await prepare();
    const base = await editor.read();
    const concurrentEditor = createEditor(store);
    store.losses = ['request'];
    const transact = store.transact.bind(store);
    store.transact = async (compares, writes) => {
      const isLost = store.losses.length > 0;
      try {
        return await transact(compares, writes);
      } finally {
        if (isLost)
          await concurrentEditor.change(base, createTestConfiguration(7), {
            ...note,
            author: 'eva',
          });
      }
    };
    const result = await editor.switchPreset(base, peak, note);
    expect(result.type).to.equal('conflict');
  });

  it('reports an unknown outcome when the store never answers', async () => {
    const { store, editor } = await prepare();
    const base = await editor.read();
    store.losses = Array.from({ length: 9 }, () => 'answer');
    const error = await failureOf(editor.switchPreset(base, peak, note));
    expect((error as StoreError).outcome).to.equal('unknown');
  });

  it('writes nothing when documents are invalid', async () => {
    const { store, editor } = await prepare();
    const base = await editor.read();
    const before = store.calls.get('transact');
    const wrong = { ...createTestConfiguration(), preset: 'night' } as ConfigurationContent;
    expect(await failureOf(editor.change(base, wrong, note))).to.be.instanceOf(InvalidInputError);
    expect(store.calls.get('transact')).to.equal(before);
  });

  it('keeps the last 50 heads with their chunks and removes chunks that only older heads referenced', async () => {
    const { store, editor } = await prepare();
    for (let revision = 2; revision <= 60; revision++) {
      await editor.change(await editor.read(), createTestConfiguration(revision, 1), note);
    }
    const history = await editor.history();
    expect([history.length, history[0]?.revision, history.at(-1)?.revision]).to.deep.equal([
      50, 60, 11,
    ]);
    const used = new Set(history.flatMap(({ chunks }) => chunks.map(({ digest }) => digest)));
    const stored = await store.range({ prefix: 'config/chunk/' });
    expect(stored.length).to.equal(used.size);
    const restored = await editor.restore(await editor.read(), brandAs<Revision>(11), note);
    expect(restored.type).to.equal('applied');
    expect((await editor.read()).configuration.routes.length).to.equal(11);
  });

  it('does not remove a chunk that an unfinished change has just written again', async () => {
    const { store, editor } = await prepare();
    for (let revision = 2; revision <= 50; revision++) {
      await editor.change(await editor.read(), createTestConfiguration(revision, 1), note);
    }
    // The concurrent change writes the content of revision 1 again, whose chunks expire with the other change.
    const base = await editor.read();
    const transact = store.transact.bind(store);
    let isFirst = true;
    let finishConcurrentChange: () => Promise<unknown> = () => Promise.resolve();
    store.transact = async (compares, writes) => {
      const result = await transact(compares, writes);
      const isSwap = writes.some(({ key }) => key === 'config/head');
      if (!isSwap || !isFirst) return result;
      isFirst = false;
      const concurrentEditor = createEditor(store);
      const started = await concurrentEditor.read();
      const swap = store.transact;
      store.transact = async (c, w) => {
        if (!w.some(({ key }) => key === 'config/head')) return transact(c, w);
        store.transact = swap;
        finishConcurrentChange = () => transact(c, w);
        throw new StoreError('held back', 'not-applied', { step: 'test' });
      };
      await failureOf(concurrentEditor.change(started, createTestConfiguration(3, 2), note));
      return result;
    };
    await editor.change(base, createTestConfiguration(51, 1), note);
    await finishConcurrentChange();
    const { configuration } = await editor.read();
    expect([configuration.revision, configuration.routes.length]).to.deep.equal([52, 3]);
  });
});
