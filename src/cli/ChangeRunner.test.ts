import { createHash } from 'node:crypto';
import { expect } from 'chai';
import { isLeft, isRight, right } from 'fp-ts/lib/Either.js';
import { StoreError, VirtualClock, brandAs } from '../common/base/index.js';
import type { PresetName, ServiceName } from '../common/base/index.js';
import { StoreConfigurationEditor } from '../common/configuration/StoreConfigurationEditor.js';
import type { ConfigurationContent } from '../common/configuration/Types.js';
import type { Store } from '../common/services/Types.js';
import { MemoryBackend } from '../store/MemoryBackend.js';
import { MemoryStore } from '../store/MemoryStore.js';
import { ChangeRunner } from './ChangeRunner.js';
import { switchPreset } from './edits.js';
import type { Edit } from './edits.js';
import type { ChangePlan, ChangeReport } from './Types.js';

const digest = (content: Uint8Array): string => createHash('sha256').update(content).digest('hex');

const initial: ConfigurationContent = {
  preset: brandAs<PresetName>('ordinary'),
  services: ['a', 'b'].map((name) => ({
    name: brandAs<ServiceName>(name),
    floor: 10,
    maxQueue: 10,
    timeout: 1_000,
    rate: 0,
    retryShare: 0.1,
    crossRegionRate: 0,
  })),
  routes: [],
  accounts: [],
  presets: ['ordinary', 'peak'].map((name) => ({
    name: brandAs<PresetName>(name),
    reason: name,
    services: {},
  })),
  pauses: [],
  holds: [],
};

function setFloor(service: string, floor: number): ChangePlan {
  const edit: Edit = (content) =>
    right({
      ...content,
      services: content.services.map((document) =>
        document.name === service ? { ...document, floor } : document,
      ),
    });
  return { summary: `floor of ${service} = ${floor}`, edit };
}

const switchToPeak: ChangePlan = {
  summary: 'switch',
  edit: switchPreset('peak'),
  reliesOn: ['preset peak'],
};

const changePeak: ChangePlan = {
  summary: 'change peak',
  edit: (content) =>
    right({
      ...content,
      presets: content.presets.map((preset) => ({ ...preset, reason: `${preset.name} changed` })),
    }),
};

const restoreAll: ChangePlan = {
  summary: 'restore',
  edit: () => right({ ...initial, preset: brandAs<PresetName>('peak') }),
  reliesOn: 'everything',
};

/** In-memory store with one configuration, in which tests inject faults and concurrent changes at writes. */
class ChangeFixture {
  public readonly clock = new VirtualClock();

  public readonly backend = new MemoryBackend(this.clock);

  /** Runs before each write of the head; the first has the number 1. */
  public beforeHeadWrite: (attempt: number) => Promise<void> = () => Promise.resolve();

  /** Runs after each write of the head. */
  public afterHeadWrite: () => void = () => {};

  /** Runs before each write of a chunk. */
  public beforeChunkWrite: () => void = () => {};

  private headWrites = 0;

  public async writeInitial(): Promise<void> {
    const editor = this.createEditor(new MemoryStore(this.backend));
    const note = { author: 'setup', summary: 'initial' };
    await editor.change(await editor.read(), initial, note);
  }

  /** Runs a change of `author`, for whose writes the hooks run. */
  public async run(author: string, plan: ChangePlan, base?: number): Promise<ChangeReport> {
    const store = this.interceptWrites(new MemoryStore(this.backend, author));
    const runner = new ChangeRunner(this.createEditor(store), this.clock);
    const options = { author, isDryRun: false, ...(base === undefined ? {} : { base }) };
    let isDone = false;
    const result = runner.run(plan, options).finally(() => {
      isDone = true;
    });
    // The rejection is handled by the caller.
    result.catch(() => {});
    while (!isDone) await this.clock.advanceAsync(1_000);
    const report = await result;
    if (isLeft(report)) throw new Error(report.left.message);
    return report.right;
  }

  /** Runs a change of another operator, without hooks. */
  public async runOther(plan: ChangePlan): Promise<void> {
    const editor = this.createEditor(new MemoryStore(this.backend, 'ben'));
    const options = { author: 'ben', isDryRun: false };
    const result = await new ChangeRunner(editor, this.clock).run(plan, options);
    expect(isRight(result) && result.right.type).to.equal('applied');
  }

  /** Clears the faults and reads the store. */
  public async readState(): Promise<{ floors: number[]; preset: string; authors: string[] }> {
    this.backend.faults.set({ down: false, cut: 'none', loseAnswers: 0 });
    const editor = this.createEditor(new MemoryStore(this.backend));
    const { configuration } = await editor.read();
    return {
      floors: configuration.services.map(({ floor }) => floor),
      preset: configuration.preset,
      authors: (await editor.history()).map(({ author }) => author),
    };
  }

  private createEditor(store: Store): StoreConfigurationEditor {
    return new StoreConfigurationEditor(store, digest, () => this.clock.now());
  }

  private interceptWrites(store: MemoryStore): Store {
    const transact: Store['transact'] = async (compares, writes) => {
      if (compares.some(({ key }) => key === 'config/head')) {
        this.headWrites += 1;
        await this.beforeHeadWrite(this.headWrites);
        return store.transact(compares, writes).finally(() => this.afterHeadWrite());
      }
      this.beforeChunkWrite();
      return store.transact(compares, writes);
    };
    return new Proxy(store, {
      get: (target, property) => {
        if (property === 'transact') return transact;
        const member = Reflect.get(target, property) as unknown;
        return typeof member === 'function' ? member.bind(target) : member;
      },
    });
  }
}

describe('ChangeRunner', () => {
  let fixture: ChangeFixture;
  beforeEach(async () => {
    fixture = new ChangeFixture();
    await fixture.writeInitial();
  });

  const races = [
    {
      name: 'guards against a lost update: a concurrent change of another document is kept',
      ours: setFloor('a', 20),
      theirs: setFloor('b', 30),
      type: 'applied',
      floors: [20, 30],
    },
    {
      name: 'guards against an overwritten change: a concurrent change of the same document is a conflict',
      ours: setFloor('a', 20),
      theirs: setFloor('a', 30),
      type: 'conflict',
      floors: [30, 10],
    },
    {
      name: 'guards against a switch to a preset that was changed concurrently',
      ours: switchToPeak,
      theirs: changePeak,
      type: 'conflict',
      floors: [10, 10],
    },
    {
      name: 'guards against a restore that silently reverts a concurrent change',
      ours: restoreAll,
      theirs: setFloor('b', 30),
      type: 'conflict',
      floors: [10, 30],
    },
    {
      name: 'guards against two switches that both report success',
      ours: switchToPeak,
      theirs: { summary: 'other', edit: changePeak.edit },
      type: 'conflict',
      floors: [10, 10],
    },
  ];
  races.forEach(({ name, ours, theirs, type, floors }) => {
    it(name, async () => {
      fixture.beforeHeadWrite = (attempt) =>
        attempt === 1 ? fixture.runOther(theirs) : Promise.resolve();
      const report = await fixture.run('ana', ours);
      expect(report.type).to.equal(type);
      expect((await fixture.readState()).floors).to.deep.equal(floors);
    });
  });

  it('guards against a conflict report without one of the two changes: it lists both', async () => {
    fixture.beforeHeadWrite = (attempt) =>
      attempt === 1 ? fixture.runOther(setFloor('a', 30)) : Promise.resolve();
    const report = await fixture.run('ana', setFloor('a', 20));
    if (report.type !== 'conflict') throw new Error(report.type);
    const floor = (after: number): object => ({
      document: 'service a',
      type: 'changed',
      properties: [{ property: 'floor', before: 10, after }],
    });
    expect(report.ours).to.deep.equal([floor(20)]);
    expect(report.theirs).to.deep.equal([floor(30)]);
    expect([report.base, report.present]).to.deep.equal([1, 2]);
    expect(report.between.map(({ revision, author }) => [revision, author])).to.deep.equal([
      [2, 'ben'],
    ]);
  });

  it('guards against a stale base: a change based on an outdated revision is a conflict', async () => {
    await fixture.runOther(setFloor('a', 30));
    expect((await fixture.run('ana', setFloor('a', 20), 1)).type).to.equal('conflict');
    expect((await fixture.run('ana', setFloor('a', 20), 2)).type).to.equal('applied');
  });

  const faults: readonly {
    name: string;
    injectFault: (fixture: ChangeFixture, attempt: number) => void;
    injectChunkFault?: (fixture: ChangeFixture) => void;
    expected: ChangeReport['type'] | StoreError['outcome'];
    /** Floor of service `a` in the store afterwards. */
    floor: number;
  }[] = [
    {
      name: 'guards against reporting an applied write as failed after a lost answer',
      injectFault: ({ backend }, attempt) =>
        backend.faults.set({ loseAnswers: attempt === 1 ? 1 : 0 }),
      expected: 'applied',
      floor: 20,
    },
    {
      name: 'guards against reporting a known outcome when the write was applied but cannot be read back',
      injectFault: ({ backend }) => backend.faults.set({ cut: 'answers' }),
      expected: 'unknown',
      floor: 20,
    },
    {
      name: 'guards against reporting a known outcome when the request may still be in flight',
      injectFault: ({ backend }) => backend.faults.set({ cut: 'requests' }),
      expected: 'unknown',
      floor: 10,
    },
    {
      name: 'guards against reporting "not applied" when the store becomes unreachable after a lost answer',
      injectFault: ({ backend }, attempt) =>
        backend.faults.set(attempt === 1 ? { loseAnswers: 1 } : { down: true }),
      expected: 'unknown',
      floor: 20,
    },
    {
      name: 'guards against reporting "unknown" when only the answer to a chunk write was lost: a change without its head is not applied',
      injectFault: () => {},
      injectChunkFault: ({ backend }) => backend.faults.set({ cut: 'answers' }),
      expected: 'not-applied',
      floor: 10,
    },
    {
      name: 'guards against reporting "unknown" when the store was unreachable from the start',
      injectFault: ({ backend }) => backend.faults.set({ down: true }),
      expected: 'not-applied',
      floor: 10,
    },
  ];
  faults.forEach(({ name, injectFault, injectChunkFault, expected, floor }) => {
    it(name, async () => {
      if (injectChunkFault !== undefined)
        fixture.beforeChunkWrite = () => injectChunkFault(fixture);
      fixture.beforeHeadWrite = async (attempt) => injectFault(fixture, attempt);
      const type = await fixture.run('ana', setFloor('a', 20)).then(
        (report) => report.type,
        (error: StoreError) => error.outcome,
      );
      expect(type).to.equal(expected);
      expect((await fixture.readState()).floors[0]).to.equal(floor);
    });
  });

  it('guards against reporting "not applied" while the head is unchanged: the write can still be in flight', async () => {
    fixture.beforeHeadWrite = async () => fixture.backend.faults.set({ cut: 'requests' });
    fixture.afterHeadWrite = () => fixture.backend.faults.set({ cut: 'none' });
    expect((await fixture.run('ana', setFloor('a', 20))).type).to.equal('unknown');
  });

  it('guards against reporting "unknown" once the store answers again: reading back finds the change', async () => {
    fixture.beforeHeadWrite = async () => {
      fixture.backend.faults.set({ cut: 'answers' });
      // The fault ends while the runner reads back.
      fixture.clock.after(600, () => fixture.backend.faults.set({ cut: 'none' }));
    };
    expect((await fixture.run('ana', setFloor('a', 20))).type).to.equal('applied');
    expect((await fixture.readState()).authors).to.deep.equal(['ana', 'setup']);
  });

  it('guards against a write when nothing changes or in a dry run', async () => {
    expect((await fixture.run('ana', setFloor('a', 10))).type).to.equal('nothing');
    const runner = new ChangeRunner(
      new StoreConfigurationEditor(new MemoryStore(fixture.backend), digest, () =>
        fixture.clock.now(),
      ),
      fixture.clock,
    );
    const report = await runner.run(setFloor('a', 20), { author: 'ana', isDryRun: true });
    expect(isRight(report) && report.right.type).to.equal('dry-run');
    expect((await fixture.readState()).authors).to.deep.equal(['setup']);
  });
});
