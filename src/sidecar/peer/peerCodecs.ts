import type { HeaderPair } from '../../common/dispatch/Types.js';
import { createCompactPeerCodec } from './compactPeerCodec.js';
import { jsonPeerCodec } from './jsonPeerCodec.js';
import type { PeerCodec, PeerRequest } from './Types.js';

/** Encoding that this build reads; its records name it, so that other builds know. */
export const newestPeerEncoding = 2;

/** Encodings between daemons of different builds. */
export class PeerCodecs {
  private readonly compact: PeerCodec;

  /** `requestIdHeader` is the lower-case name of the header with the id of a request. */
  public constructor(requestIdHeader: string) {
    this.compact = createCompactPeerCodec(requestIdHeader);
  }

  /** Newest encoding that a daemon reads whose record names `encoding`. */
  public select(encoding: number): PeerCodec {
    return encoding >= newestPeerEncoding ? this.compact : jsonPeerCodec;
  }

  /** Decodes a request in any encoding; undefined if it does not come from a daemon. */
  public decodeRequest(
    headers: readonly HeaderPair[],
  ): { readonly codec: PeerCodec; readonly request: PeerRequest } | undefined {
    const codecs = [this.compact, jsonPeerCodec];
    return codecs
      .map((codec) => ({ codec, request: codec.decodeRequest(headers) }))
      .find((decoded): decoded is { codec: PeerCodec; request: PeerRequest } =>
        Boolean(decoded.request),
      );
  }
}

/** Headers without the first one of each of these lower-case names, which a daemon has added. */
export function dropAddedHeaders(
  headers: readonly HeaderPair[],
  added: ReadonlySet<string>,
): HeaderPair[] {
  const left = new Set(added);
  return headers.filter(([name]) => !left.delete(name.toLowerCase()));
}
