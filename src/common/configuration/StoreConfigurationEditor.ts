import { isLeft } from 'fp-ts/lib/Either.js';
import { FleetError, InvalidInputError, StoreError, brandAs } from '../base/index.js';
import type { PresetName, Revision } from '../base/index.js';
import type { Store, StoreEntry, StoreWrite } from '../services/Types.js';
import {
  decodeConfiguration,
  decodeHead,
  encodeConfiguration,
  encodeHead,
} from './ConfigurationCodec.js';
import {
  chunkKey,
  headKey,
  historyKey,
  historyPrefix,
  historyLength,
} from './ConfigurationKeys.js';
import { emptyContent } from './emptyContent.js';
import { validateConfiguration } from './ConfigurationValidation.js';
import type {
  ChangeNote,
  ChangeResult,
  Configuration,
  ConfigurationChunk,
  ConfigurationContent,
  ConfigurationEditor,
  ConfigurationHead,
  ConfigurationSnapshot,
  DigestFunction,
} from './Types.js';

/** Attempts of a write whose answer was lost. */
const writeAttempts = 3;

/** Attempts to read a snapshot while others change the configuration. */
const readAttempts = 3;

const emptyConfiguration: Configuration = { ...emptyContent, revision: brandAs<Revision>(0) };

/** Operators' reads and writes of the configuration through the `Store` interface. */
export class StoreConfigurationEditor implements ConfigurationEditor {
  public constructor(
    private readonly store: Store,
    private readonly digest: DigestFunction,
    private readonly now: () => Date,
  ) {}

  public async read(): Promise<ConfigurationSnapshot> {
    let problem: unknown;
    for (let attempt = 0; attempt < readAttempts; attempt++) {
      const entry = await this.store.get(headKey);
      if (entry === undefined) return { modRevision: 0, configuration: emptyConfiguration };
      const head = this.parseHead(entry);
      try {
        const configuration = await this.load(head);
        return { head, modRevision: entry.modRevision, configuration };
      } catch (error) {
        if (!(error instanceof InvalidInputError)) throw error;
        // A newer change may have removed the chunks of this head; then the next read finds that change.
        problem = error;
      }
    }
    throw problem;
  }

  public async change(
    base: ConfigurationSnapshot,
    wanted: ConfigurationContent,
    note: ChangeNote,
  ): Promise<ChangeResult> {
    const valid = validateConfiguration(wanted);
    if (isLeft(valid)) throw new InvalidInputError(valid.left, { step: 'configuration.change' });
    const { references, chunks } = encodeConfiguration(wanted, this.digest);
    const parent = base.head?.revision ?? brandAs<Revision>(0);
    const head: ConfigurationHead = {
      ...note,
      revision: brandAs<Revision>(parent + 1),
      parent,
      preset: wanted.preset,
      created: this.now().toISOString(),
      chunks: references,
    };
    const expired = await this.readExpired(base);
    await this.writeChunks(base, chunks);
    const isApplied = await this.swapHead(base, head);
    if (!isApplied) return { type: 'conflict', base, wanted, present: await this.read() };
    if (expired !== undefined) await this.removeUnused(expired);
    return { type: 'applied', head };
  }

  public switchPreset(
    base: ConfigurationSnapshot,
    preset: PresetName,
    note: ChangeNote,
  ): Promise<ChangeResult> {
    return this.change(base, { ...StoreConfigurationEditor.contentOf(base), preset }, note);
  }

  public async history(): Promise<readonly ConfigurationHead[]> {
    const entries = await this.store.range({ prefix: historyPrefix });
    const heads = entries.map((entry) => this.parseHead(entry));
    return heads.sort((one, other) => other.revision - one.revision).slice(0, historyLength);
  }

  public async readRevision(revision: Revision): Promise<Configuration> {
    const entry = await this.store.get(historyKey(revision));
    if (entry !== undefined) return this.load(this.parseHead(entry));
    throw new InvalidInputError([`revision ${revision} is not in the history`], {
      step: 'configuration.readRevision',
    });
  }

  public async restore(
    base: ConfigurationSnapshot,
    revision: Revision,
    note: ChangeNote,
  ): Promise<ChangeResult> {
    const { revision: old, ...content } = await this.readRevision(revision);
    return this.change(base, content, note);
  }

  private static contentOf({ configuration }: ConfigurationSnapshot): ConfigurationContent {
    const { revision, ...content } = configuration;
    return content;
  }

  private parseHead(entry: StoreEntry): ConfigurationHead {
    const head = decodeHead(entry.value, this.digest);
    if (isLeft(head)) {
      throw new FleetError(head.left, { step: 'configuration.readHead', peer: entry.key });
    }
    return head.right;
  }

  private async load(head: ConfigurationHead): Promise<Configuration> {
    const digests = [...new Set(head.chunks.map(({ digest }) => digest))];
    const entries = await Promise.all(digests.map((digest) => this.store.get(chunkKey(digest))));
    const contents = new Map<string, Uint8Array>();
    entries.forEach((entry, index) => {
      const isIntact = entry !== undefined && this.digest(entry.value) === digests[index];
      if (isIntact) contents.set(digests[index] as string, entry.value);
    });
    const decoded = decodeConfiguration(head, (digest) => contents.get(digest));
    if (isLeft(decoded)) {
      throw new InvalidInputError([decoded.left], { step: 'configuration.load' });
    }
    return decoded.right;
  }

  /**
   * Chunks that the base names are in the store for as long as the swap can succeed, and all others are written
   * again: one that is there already may be about to be removed as unused.
   */
  private async writeChunks(
    base: ConfigurationSnapshot,
    chunks: readonly ConfigurationChunk[],
  ): Promise<void> {
    const held = new Set(base.head?.chunks.map(({ digest }) => digest));
    for (const { digest, content } of chunks) {
      if (held.has(digest)) continue;
      const write: StoreWrite = { type: 'put', key: chunkKey(digest), value: content };
      await this.writeChunk(write);
    }
  }

  /** Without the head a change is not in, whatever became of its chunks. */
  private async writeChunk(write: StoreWrite): Promise<void> {
    try {
      await this.retryUnknown(() => this.store.transact([], [write]));
    } catch (cause) {
      if (!(cause instanceof StoreError)) throw cause;
      const origin = { step: 'configuration.writeChunk', peer: write.key, cause };
      throw new StoreError('a chunk was not written', 'not-applied', origin);
    }
  }

  /**
   * Repeats, after a lost answer, a write that does the same when it runs twice. Once an answer was lost, no later
   * failure proves that the write is not in.
   */
  private async retryUnknown(write: () => Promise<unknown>): Promise<void> {
    let lost: StoreError | undefined;
    for (let attempt = 1; ; attempt++) {
      try {
        await write();
        return;
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        if (error.outcome === 'unknown') lost = error;
        if (error.outcome === 'unknown' && attempt < writeAttempts) continue;
        throw lost ?? error;
      }
    }
  }

  /** Swaps the head; after a lost answer it tries again, because at most one attempt can meet the old head. */
  private async swapHead(base: ConfigurationSnapshot, head: ConfigurationHead): Promise<boolean> {
    const value = encodeHead(head, this.digest);
    const writes = StoreConfigurationEditor.headWrites(head.revision, value);
    const compares = [{ key: headKey, modRevision: base.modRevision }];
    let isApplied = false;
    let isRepeated = false;
    await this.retryUnknown(async () => {
      const wasRepeated = isRepeated;
      isRepeated = true;
      const { applied } = await this.store.transact(compares, writes);
      isApplied = applied || (wasRepeated && (await this.isWritten(head.revision, value)));
    });
    return isApplied;
  }

  private static headWrites(revision: Revision, value: Uint8Array): StoreWrite[] {
    const expired = revision - historyLength;
    const writes: StoreWrite[] = [
      { type: 'put', key: headKey, value },
      { type: 'put', key: historyKey(revision), value },
    ];
    if (expired > 0) writes.push({ type: 'delete', key: historyKey(expired) });
    return writes;
  }

  /** Others may have changed the head since, so the history is read. */
  private async isWritten(revision: Revision, value: Uint8Array): Promise<boolean> {
    const written = await this.store.get(historyKey(revision));
    return written !== undefined && StoreConfigurationEditor.isEqual(written.value, value);
  }

  private static isEqual(one: Uint8Array, other: Uint8Array): boolean {
    return one.length === other.length && one.every((byte, index) => byte === other[index]);
  }

  /** Head that leaves the history with this change. */
  private async readExpired(base: ConfigurationSnapshot): Promise<ConfigurationHead | undefined> {
    const expired = (base.head?.revision ?? 0) + 1 - historyLength;
    if (expired <= 0) return undefined;
    const entry = await this.store.get(historyKey(expired));
    return entry === undefined ? undefined : this.parseHead(entry);
  }

  /** Removes the chunks that only the expired head named. A failure leaves them unused in the store. */
  private async removeUnused(expired: ConfigurationHead): Promise<void> {
    try {
      const headEntry = await this.store.get(headKey);
      const used = new Set(
        (await this.history()).flatMap(({ chunks }) => chunks.map(({ digest }) => digest)),
      );
      const unused = expired.chunks.filter(({ digest }) => !used.has(digest));
      for (const { digest } of unused) {
        await this.removeChunk(chunkKey(digest), headEntry?.modRevision ?? 0);
      }
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
    }
  }

  /**
   * A change that builds on the present head writes its chunks after that head. A chunk written later than the head
   * may therefore belong to a change that is not finished, and stays.
   */
  private async removeChunk(key: string, headModRevision: number): Promise<void> {
    const entry = await this.store.get(key);
    if (entry === undefined || entry.modRevision >= headModRevision) return;
    const { modRevision } = entry;
    await this.store.transact([{ key, modRevision }], [{ type: 'delete', key }]);
  }
}
