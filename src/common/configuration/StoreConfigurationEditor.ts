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

/** Maximum attempts of a write whose outcome is unknown. */
const writeAttempts = 3;

/** Maximum attempts to read a snapshot while the configuration is being changed. */
const readAttempts = 3;

const emptyConfiguration: Configuration = { ...emptyContent, revision: brandAs<Revision>(0) };

/** Configuration editor on top of a `Store`. */
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
        // A newer change may have removed the chunks of this head; the next read then finds its head.
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
   * Writes the chunks that the base does not reference. Those of the base stay in the store as long as the swap can
   * succeed; any other is written even if it exists, since it may be about to be removed as unused.
   */
  private async writeChunks(
    base: ConfigurationSnapshot,
    chunks: readonly ConfigurationChunk[],
  ): Promise<void> {
    const storedDigests = new Set(base.head?.chunks.map(({ digest }) => digest));
    for (const { digest, content } of chunks) {
      if (storedDigests.has(digest)) continue;
      const write: StoreWrite = { type: 'put', key: chunkKey(digest), value: content };
      await this.writeChunk(write);
    }
  }

  /** Reports every failure of the store as not applied, because a change takes effect only with its head. */
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
   * Retries an idempotent write while its outcome is unknown. Once an outcome was unknown, no later failure proves
   * that the write was not applied.
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

  /** Swaps the head. A retry after an unknown outcome is safe, because at most one attempt can find the old head. */
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

  /** Checks the history, since the head may have been changed again. */
  private async isWritten(revision: Revision, value: Uint8Array): Promise<boolean> {
    const written = await this.store.get(historyKey(revision));
    return written !== undefined && StoreConfigurationEditor.isEqual(written.value, value);
  }

  private static isEqual(one: Uint8Array, other: Uint8Array): boolean {
    return one.length === other.length && one.every((byte, index) => byte === other[index]);
  }

  /** Reads the head that this change removes from the history. */
  private async readExpired(base: ConfigurationSnapshot): Promise<ConfigurationHead | undefined> {
    const expired = (base.head?.revision ?? 0) + 1 - historyLength;
    if (expired <= 0) return undefined;
    const entry = await this.store.get(historyKey(expired));
    return entry === undefined ? undefined : this.parseHead(entry);
  }

  /** Removes the chunks that only the expired head referenced. A failure leaves them unused in the store. */
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
   * Removes a chunk unless it was written after the head. Such a chunk may belong to an unfinished change, which
   * writes its chunks after the head on which it is based.
   */
  private async removeChunk(key: string, headModRevision: number): Promise<void> {
    const entry = await this.store.get(key);
    if (entry === undefined || entry.modRevision >= headModRevision) return;
    const { modRevision } = entry;
    await this.store.transact([{ key, modRevision }], [{ type: 'delete', key }]);
  }
}
