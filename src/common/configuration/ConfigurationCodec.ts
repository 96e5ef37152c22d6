import { Either, left, right } from 'fp-ts/lib/Either.js';
import { InvalidInputError, hashString } from '../base/index.js';
import { toCanonicalJson } from './CanonicalJson.js';
import type {
  ChunkReference,
  Configuration,
  ConfigurationChunk,
  ConfigurationContent,
  ConfigurationHead,
  DigestFunction,
  PauseDocument,
} from './Types.js';

/** Maximum size of a chunk; a value of the store holds 1 MB. */
export const maxChunkBytes = 256 * 1024;

/**
 * Mean number of documents in a chunk. A change of one document costs each daemon one chunk and one head; fewer
 * documents make smaller chunks but a longer head. With 35,000 accounts these are 20 KB and 8 KB.
 */
export const meanDocumentsPerChunk = 512;

/** Kind of the documents in a chunk. */
export type DocumentKind = ChunkReference['kind'];

type Document = Configuration[DocumentKind][number];

/** All kinds, in the order in which they are encoded. */
export const documentKinds: readonly DocumentKind[] = [
  'services',
  'routes',
  'accounts',
  'presets',
  'pauses',
  'holds',
];

const encoder = new TextEncoder();
const decoder = new TextDecoder('utf-8', { fatal: true });

const pauseKey = ({ automation, service }: PauseDocument): string =>
  `${automation} ${service ?? ''}`;

/** Identifier of a document, unique within its kind. */
export function documentKey(document: Document): string {
  if ('automation' in document) return pauseKey(document);
  if ('target' in document) return document.target;
  return 'id' in document ? document.id : document.name;
}

/** A configuration as it is stored and sent. */
export interface EncodedConfiguration {
  readonly references: readonly ChunkReference[];
  readonly chunks: readonly ConfigurationChunk[];
}

interface SplitState {
  readonly groups: string[][];
  /** Size of the last group in bytes. */
  size: number;
  isClosed: boolean;
}

/**
 * Whether a chunk ends after this document (content-defined chunking). The boundary depends only on the key, so it
 * stays in place when documents are added or removed, and a change affects one or two chunks.
 */
function endsChunk(key: string): boolean {
  return hashString(key) % meanDocumentsPerChunk === 0;
}

function addDocument(state: SplitState, key: string, text: string): void {
  const size = encoder.encode(text).length + 1;
  if (size + 2 > maxChunkBytes) {
    throw new InvalidInputError([`document "${key}" is larger than ${maxChunkBytes} bytes`], {
      step: 'configuration.encode',
    });
  }
  const isFull = state.size + size + 2 > maxChunkBytes;
  if (state.isClosed || isFull) {
    state.groups.push([]);
    state.size = 0;
  }
  state.groups.at(-1)?.push(text);
  state.size += size;
  state.isClosed = endsChunk(key);
}

function splitDocuments(documents: readonly Document[]): string[] {
  const keyed = documents.map((document) => ({ key: documentKey(document), document }));
  keyed.sort((one, other) => (one.key < other.key ? -1 : 1));
  const state: SplitState = { groups: [], size: 0, isClosed: true };
  keyed.forEach(({ key, document }) => addDocument(state, key, toCanonicalJson(document)));
  return state.groups.map((group) => `[${group.join(',')}]`);
}

/** Splits a configuration into chunks; throws `InvalidInputError` if one document is larger than a chunk. */
export function encodeConfiguration(
  content: ConfigurationContent,
  digest: DigestFunction,
): EncodedConfiguration {
  const encoded = documentKinds.flatMap((kind) =>
    splitDocuments(content[kind]).map((text) => {
      const bytes = encoder.encode(text);
      const name = digest(bytes);
      return {
        reference: { kind, digest: name, size: bytes.length },
        chunk: { digest: name, content: bytes },
      };
    }),
  );
  return {
    references: encoded.map(({ reference }) => reference),
    chunks: encoded.map(({ chunk }) => chunk),
  };
}

function decodeDocuments(
  head: ConfigurationHead,
  kind: DocumentKind,
  find: (digest: string) => Uint8Array | undefined,
): Document[] {
  const references = head.chunks.filter((reference) => reference.kind === kind);
  return references.flatMap(({ digest }) => {
    const content = find(digest);
    if (content === undefined) throw new Error(`chunk ${digest} is missing`);
    return JSON.parse(decoder.decode(content)) as Document[];
  });
}

/** Joins the chunks of a revision. Left is a message if a chunk is missing or is not a list of documents. */
export function decodeConfiguration(
  head: ConfigurationHead,
  find: (digest: string) => Uint8Array | undefined,
): Either<string, Configuration> {
  try {
    const kinds = documentKinds.map((kind) => [kind, decodeDocuments(head, kind, find)]);
    const documents = Object.fromEntries(kinds) as ConfigurationContent;
    return right({ ...documents, revision: head.revision, preset: head.preset });
  } catch (error) {
    return left(`revision ${head.revision} cannot be decoded: ${String(error)}`);
  }
}

/** Encodes a head together with its digest, so that a damaged head is detected. */
export function encodeHead(head: ConfigurationHead, digest: DigestFunction): Uint8Array {
  const body = toCanonicalJson(head);
  return encoder.encode(`{"digest":"${digest(encoder.encode(body))}","head":${body}}`);
}

function isHead(value: Partial<ConfigurationHead> | undefined): value is ConfigurationHead {
  const isNumbered = Number.isSafeInteger(value?.revision) && (value?.revision ?? 0) > 0;
  return isNumbered && typeof value?.preset === 'string' && Array.isArray(value.chunks);
}

/** Decodes and verifies a head. Left is a message. */
export function decodeHead(
  bytes: Uint8Array,
  digest: DigestFunction,
): Either<string, ConfigurationHead> {
  try {
    const parsed = JSON.parse(decoder.decode(bytes)) as {
      digest?: string;
      head?: Partial<ConfigurationHead>;
    };
    if (!isHead(parsed.head)) return left('the head lacks revision, preset or chunks');
    const actual = digest(encoder.encode(toCanonicalJson(parsed.head)));
    return actual === parsed.digest ? right(parsed.head) : left('the digest of the head is wrong');
  } catch (error) {
    return left(`the head cannot be decoded: ${String(error)}`);
  }
}
