import { expect } from 'chai';
import { brandAs, createRandom, VirtualClock } from '../base/index.js';
import type { DaemonId, Incarnation, ServiceName, TargetId } from '../base/index.js';
import { FakeStore, reliable } from '../../bench/FakeStore.js';
import { EjectionRecord } from './EjectionRecord.js';
import type { EjectionEntry } from './Types.js';

function entry(id: string, token: string): EjectionEntry {
  return {
    target: brandAs<TargetId>(id),
    incarnation: brandAs<Incarnation>('1'),
    home: brandAs<DaemonId>('d'),
    reason: 'errors',
    severity: 20,
    ejected: '2026-01-01T00:00:00Z',
    token,
  };
}

function create(seed = 11) {
  const random = createRandom(seed);
  // The first numbers of adjacent seeds are similar.
  for (let count = 0; count < 8; count += 1) random();
  const store = new FakeStore(new VirtualClock(), random);
  return { store, record: new EjectionRecord(store, brandAs<ServiceName>('s')) };
}

async function listed(record: EjectionRecord): Promise<readonly string[]> {
  return (await record.read()).entries.map(({ token }) => token);
}

describe('EjectionRecord', () => {
  it('serialises ejections: the second write on one snapshot is a conflict', async () => {
    const { record } = create();
    const snapshot = await record.read();
    expect(await record.add(snapshot, entry('a', '1'))).to.equal('applied');
    expect(await record.add(snapshot, entry('b', '2'))).to.equal('conflict');
    expect(await listed(record)).to.deep.equal(['1']);
  });

  it('replaces the entry of a target that is ejected again', async () => {
    const { record } = create();
    await record.add(await record.read(), entry('a', '1'));
    await record.add(await record.read(), entry('a', '2'));
    expect(await listed(record)).to.deep.equal(['2']);
  });

  const lossCases = [
    {
      name: 'recognises its own write after a lost response',
      lostAnswerShare: 0.5,
      lostWriteShare: 0,
    },
    { name: 'repeats a lost write', lostAnswerShare: 0, lostWriteShare: 0.5 },
    { name: 'handles both losses', lostAnswerShare: 0.3, lostWriteShare: 0.3 },
  ];
  lossCases.forEach(({ name, ...fault }) => {
    it(name, async () => {
      for (let seed = 1; seed <= 60; seed += 1) {
        const { store, record } = create(seed);
        store.fault = { ...reliable, ...fault };
        const result = await record.add(await record.read(), entry('a', 'x')).catch(() => 'open');
        const tokens = await listed(record);
        expect(result, `seed ${seed}`).not.to.equal('conflict');
        if (result === 'applied') expect(tokens, `seed ${seed}`).to.deep.equal(['x']);
      }
    });
  });

  it('does not take the write of another home for its own after a lost write', async () => {
    for (let seed = 1; seed <= 30; seed += 1) {
      const { store, record } = create(seed);
      const snapshot = await record.read();
      await record.add(snapshot, entry('a', 'theirs'));
      store.fault = { ...reliable, lostWriteShare: 0.5 };
      const result = await record.add(snapshot, entry('a', 'ours')).catch(() => 'open');
      expect(result, `seed ${seed}`).not.to.equal('applied');
    }
  });

  it('makes an in-flight write fail by a new revision', async () => {
    const { record } = create();
    const snapshot = await record.read();
    await record.remove(brandAs<TargetId>('a'), true);
    expect(await record.add(snapshot, entry('a', 'late'))).to.equal('conflict');
  });

  it('removes one target and leaves the others', async () => {
    const { record } = create();
    await record.add(await record.read(), entry('a', '1'));
    await record.add(await record.read(), entry('b', '2'));
    await record.remove(brandAs<TargetId>('a'));
    expect(await listed(record)).to.deep.equal(['2']);
  });
});
