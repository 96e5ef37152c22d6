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

const toPeak: ChangePlan = {
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

/** Fleet with one configuration, whose writes of the head can be disturbed. */
class Bed {
  public readonly clock = new VirtualClock();

  public readonly backend = new MemoryBackend(this.clock);

  /** Runs before each write of the head with its number. */
  public beforeHead: (attempt: number) => Promise<void> = () => Promise.resolve();

  /** Runs before each write of a chunk. */
  public beforeChunk: () => void = () => {};

  private headWrites = 0;

  public async open(): Promise<void> {
    const editor = this.createEditor(new MemoryStore(this.backend));
    const note = { author: 'setup', summary: 'initial' };
    await editor.change(await editor.read(), initial, note);
  }

  /** Runs a change of `author`, on whose writes `beforeHead` acts. */
  public async run(author: string, plan: ChangePlan, base?: number): Promise<ChangeReport> {
    const store = this.disturb(new MemoryStore(this.backend, author));
    const runner = new ChangeRunner(this.createEditor(store), this.clock);
    const options = { author, isDryRun: false, ...(base === undefined ? {} : { base }) };
    let isOver = false;
    const result = runner.run(plan, options).finally(() => {
      isOver = true;
    });
    // The rejection is handled by the caller.
    result.catch(() => {});
    while (!isOver) await this.clock.advanceAsync(1_000);
    const report = await result;
    if (isLeft(report)) throw new Error(report.left.message);
    return report.right;
  }

  /** Runs an undisturbed change of another operator. */
  public async runOther(plan: ChangePlan): Promise<void> {
    const editor = this.createEditor(new MemoryStore(this.backend, 'ben'));
    const options = { author: 'ben', isDryRun: false };
    const result = await new ChangeRunner(editor, this.clock).run(plan, options);
    expect(isRight(result) && result.right.type).to.equal('applied');
  }

  /** What stands in the store, read without faults. */
  public async content(): Promise<{ floors: number[]; preset: string; authors: string[] }> {
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

  private disturb(store: MemoryStore): Store {
    const transact: Store['transact'] = async (compares, writes) => {
      if (compares.some(({ key }) => key === 'config/head')) {
        this.headWrites += 1;
        await this.beforeHead(this.headWrites);
      } else {
        this.beforeChunk();
      }
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
  let bed: Bed;
  beforeEach(async () => {
    bed = new Bed();
    await bed.open();
  });

  const races = [
    {
      name: 'guards against a lost change: one of another document that came between is kept',
      ours: setFloor('a', 20),
      theirs: setFloor('b', 30),
      type: 'applied',
      floors: [20, 30],
    },
    {
      name: 'guards against an overwritten change: one of the same document is a conflict',
      ours: setFloor('a', 20),
      theirs: setFloor('a', 30),
      type: 'conflict',
      floors: [30, 10],
    },
    {
      name: 'guards against a switch to a preset that was changed unseen',
      ours: toPeak,
      theirs: changePeak,
      type: 'conflict',
      floors: [10, 10],
    },
    {
      name: 'guards against a restore that undoes a change unseen',
      ours: restoreAll,
      theirs: setFloor('b', 30),
      type: 'conflict',
      floors: [10, 30],
    },
    {
      name: 'guards against two switches that both report success',
      ours: toPeak,
      theirs: { summary: 'other', edit: changePeak.edit },
      type: 'conflict',
      floors: [10, 10],
    },
  ];
  races.forEach(({ name, ours, theirs, type, floors }) => {
    it(name, async () => {
      bed.beforeHead = (attempt) => (attempt === 1 ? bed.runOther(theirs) : Promise.resolve());
      const report = await bed.run('ana', ours);
      expect(report.type).to.equal(type);
      expect((await bed.content()).floors).to.deep.equal(floors);
    });
  });

  it('guards against a conflict that hides a version: it shows what each operator changed', async () => {
    bed.beforeHead = (attempt) =>
      attempt === 1 ? bed.runOther(setFloor('a', 30)) : Promise.resolve();
    const report = await bed.run('ana', setFloor('a', 20));
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

  it('guards against an old base: a change made on an outdated view is a conflict', async () => {
    await bed.runOther(setFloor('a', 30));
    expect((await bed.run('ana', setFloor('a', 20), 1)).type).to.equal('conflict');
    expect((await bed.run('ana', setFloor('a', 20), 2)).type).to.equal('applied');
  });

  const faults: readonly {
    name: string;
    disturb: (bed: Bed, attempt: number) => void;
    disturbChunk?: (bed: Bed) => void;
    expected: ChangeReport['type'] | StoreError['outcome'];
    /** Floors of the first service that the expected report allows. */
    floor: number;
  }[] = [
    {
      name: 'guards against a lost answer taken for a failure',
      disturb: ({ backend }, attempt) => backend.faults.set({ loseAnswers: attempt === 1 ? 1 : 0 }),
      expected: 'applied',
      floor: 20,
    },
    {
      name: 'guards against a claim when the write is in and nothing can be read back',
      disturb: ({ backend }) => backend.faults.set({ cut: 'answers' }),
      expected: 'unknown',
      floor: 20,
    },
    {
      name: 'guards against a claim when the request may still be on its way',
      disturb: ({ backend }) => backend.faults.set({ cut: 'requests' }),
      expected: 'unknown',
      floor: 10,
    },
    {
      name: 'guards against "not in" when the store goes away after a lost answer',
      disturb: ({ backend }, attempt) =>
        backend.faults.set(attempt === 1 ? { loseAnswers: 1 } : { down: true }),
      expected: 'unknown',
      floor: 20,
    },
    {
      name: 'guards against doubt when only a chunk was lost: without its head a change is not in',
      disturb: () => {},
      disturbChunk: ({ backend }) => backend.faults.set({ cut: 'answers' }),
      expected: 'not-applied',
      floor: 10,
    },
    {
      name: 'guards against doubt when the store was away from the start',
      disturb: ({ backend }) => backend.faults.set({ down: true }),
      expected: 'not-applied',
      floor: 10,
    },
  ];
  faults.forEach(({ name, disturb, disturbChunk, expected, floor }) => {
    it(name, async () => {
      if (disturbChunk !== undefined) bed.beforeChunk = () => disturbChunk(bed);
      bed.beforeHead = async (attempt) => disturb(bed, attempt);
      const type = await bed.run('ana', setFloor('a', 20)).then(
        (report) => report.type,
        (error: StoreError) => error.outcome,
      );
      expect(type).to.equal(expected);
      expect((await bed.content()).floors[0]).to.equal(floor);
    });
  });

  it('guards against a doubt that stays: once the store answers, the change is found', async () => {
    bed.beforeHead = async () => {
      bed.backend.faults.set({ cut: 'answers' });
      // Heals while the runner reads back.
      bed.clock.after(600, () => bed.backend.faults.set({ cut: 'none' }));
    };
    expect((await bed.run('ana', setFloor('a', 20))).type).to.equal('applied');
    expect((await bed.content()).authors).to.deep.equal(['ana', 'setup']);
  });

  it('guards against a write when nothing changes or in a dry run', async () => {
    expect((await bed.run('ana', setFloor('a', 10))).type).to.equal('nothing');
    const runner = new ChangeRunner(
      new StoreConfigurationEditor(new MemoryStore(bed.backend), digest, () => bed.clock.now()),
      bed.clock,
    );
    const report = await runner.run(setFloor('a', 20), { author: 'ana', isDryRun: true });
    expect(isRight(report) && report.right.type).to.equal('dry-run');
    expect((await bed.content()).authors).to.deep.equal(['setup']);
  });
});
