import { isLeft } from 'fp-ts/lib/Either.js';
import { Emitter } from '../base/index.js';
import type { Disposable } from '../base/index.js';
import { decodeConfiguration } from './ConfigurationCodec.js';
import type {
  Configuration,
  ConfigurationChunk,
  ConfigurationHead,
  DigestFunction,
} from './Types.js';

/** What became of an offered revision. */
export type OfferResult =
  | { readonly type: 'in-force' }
  /** The revision in force is this one or a later one. */
  | { readonly type: 'old' }
  | {
      readonly type: 'incomplete';
      /** Digests of the chunks that are still needed. */
      readonly missing: readonly string[];
      /** Digests of offered chunks whose content was damaged. */
      readonly damaged: readonly string[];
    }
  | { readonly type: 'invalid'; readonly problem: string };

/** A revision came into force. */
export interface ConfigurationChange {
  readonly before?: Configuration;
  readonly after: Configuration;
}

/** The configuration in force at this process. Its revision only grows. */
export class ConfigurationState implements Disposable {
  private readonly chunks = new Map<string, Uint8Array>();

  private readonly changeEmitter = new Emitter<ConfigurationChange>();

  /** Fires after a revision came into force. */
  public readonly onChange = this.changeEmitter.event;

  private configuration: Configuration | undefined;

  private headInForce: ConfigurationHead | undefined;

  private pendingHead: ConfigurationHead | undefined;

  public constructor(private readonly digest: DigestFunction) {}

  /** The configuration in force; absent until the first revision is complete. */
  public get current(): Configuration | undefined {
    return this.configuration;
  }

  /** Head of the revision in force. */
  public get head(): ConfigurationHead | undefined {
    return this.headInForce;
  }

  /** Revision in force; 0 if none. */
  public get revision(): number {
    return this.headInForce?.revision ?? 0;
  }

  /** Digests of the chunks of a revision that are not held here. */
  public missingDigests(head: ConfigurationHead): string[] {
    const digests = new Set(head.chunks.map(({ digest }) => digest));
    return [...digests].filter((digest) => !this.chunks.has(digest));
  }

  /** Content of a chunk that is held here, for a peer. */
  public chunkContent(digest: string): Uint8Array | undefined {
    return this.chunks.get(digest);
  }

  /** Takes chunks of a revision and puts it in force if it is newer, complete and verified. */
  public offer(head: ConfigurationHead, chunks: readonly ConfigurationChunk[]): OfferResult {
    if (head.revision <= this.revision) return { type: 'old' };
    this.await(head);
    const damaged = chunks.filter((chunk) => !this.keep(head, chunk)).map(({ digest }) => digest);
    const missing = this.missingDigests(head);
    if (missing.length > 0) return { type: 'incomplete', missing, damaged };
    return this.putInForce(head);
  }

  public dispose(): void {
    this.changeEmitter.dispose();
  }

  /** Chunks are kept for the revision in force and for the latest one that is awaited. */
  private await(head: ConfigurationHead): void {
    if (head.revision <= (this.pendingHead?.revision ?? 0)) return;
    this.pendingHead = head;
    this.dropUnused();
  }

  private keep(head: ConfigurationHead, { digest, content }: ConfigurationChunk): boolean {
    if (this.digest(content) !== digest) return false;
    const isNamed = head.chunks.some((reference) => reference.digest === digest);
    if (isNamed) this.chunks.set(digest, content);
    return true;
  }

  private putInForce(head: ConfigurationHead): OfferResult {
    const decoded = decodeConfiguration(head, (digest) => this.chunks.get(digest));
    if (isLeft(decoded)) return { type: 'invalid', problem: decoded.left };
    const before = this.configuration;
    this.configuration = decoded.right;
    this.headInForce = head;
    this.dropUnused();
    this.changeEmitter.fire({ before, after: decoded.right });
    return { type: 'in-force' };
  }

  private dropUnused(): void {
    const heads = [this.headInForce, this.pendingHead];
    const used = new Set(heads.flatMap((head) => head?.chunks.map(({ digest }) => digest) ?? []));
    [...this.chunks.keys()].forEach((digest) => {
      if (!used.has(digest)) this.chunks.delete(digest);
    });
  }
}
