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

/** Result of `ConfigurationState.offer`. */
export type OfferResult =
  | { readonly type: 'in-force' }
  /** The revision in force is this one or a later one. */
  | { readonly type: 'old' }
  | {
      readonly type: 'incomplete';
      /** Digests of the chunks that are still missing. */
      readonly missing: readonly string[];
      /** Digests of offered chunks whose content does not match the digest. */
      readonly damaged: readonly string[];
    }
  | { readonly type: 'invalid'; readonly problem: string };

/** Change of the revision in force. */
export interface ConfigurationChange {
  readonly before?: Configuration;
  readonly after: Configuration;
}

/** The configuration in force in this process. Its revision never decreases. */
export class ConfigurationState implements Disposable {
  private readonly chunks = new Map<string, Uint8Array>();

  private readonly changeEmitter = new Emitter<ConfigurationChange>();

  /** Fires after a revision has come into force. */
  public readonly onChange = this.changeEmitter.event;

  private configuration: Configuration | undefined;

  private headInForce: ConfigurationHead | undefined;

  private pendingHead: ConfigurationHead | undefined;

  public constructor(private readonly digest: DigestFunction) {}

  /** The configuration in force; undefined until the first revision is complete. */
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

  /** Digests of the chunks of a revision that are not stored here. */
  public missingDigests(head: ConfigurationHead): string[] {
    const digests = new Set(head.chunks.map(({ digest }) => digest));
    return [...digests].filter((digest) => !this.chunks.has(digest));
  }

  /** Content of a chunk that is stored here, to be sent to a peer. */
  public chunkContent(digest: string): Uint8Array | undefined {
    return this.chunks.get(digest);
  }

  /** Stores chunks of a revision and puts it in force if it is newer, complete and verified. */
  public offer(head: ConfigurationHead, chunks: readonly ConfigurationChunk[]): OfferResult {
    if (head.revision <= this.revision) return { type: 'old' };
    this.setPendingHead(head);
    const damaged = chunks
      .filter((chunk) => !this.addChunk(head, chunk))
      .map(({ digest }) => digest);
    const missing = this.missingDigests(head);
    if (missing.length > 0) return { type: 'incomplete', missing, damaged };
    return this.putInForce(head);
  }

  public dispose(): void {
    this.changeEmitter.dispose();
  }

  /** Remembers the latest incomplete revision. Only its chunks and those of the revision in force are kept. */
  private setPendingHead(head: ConfigurationHead): void {
    if (head.revision <= (this.pendingHead?.revision ?? 0)) return;
    this.pendingHead = head;
    this.dropUnused();
  }

  private addChunk(head: ConfigurationHead, { digest, content }: ConfigurationChunk): boolean {
    if (this.digest(content) !== digest) return false;
    const isReferenced = head.chunks.some((reference) => reference.digest === digest);
    if (isReferenced) this.chunks.set(digest, content);
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
