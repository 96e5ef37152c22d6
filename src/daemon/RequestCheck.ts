import type { IncomingMessage } from 'node:http';
import * as E from 'fp-ts/lib/Either.js';
import type { HeaderPair } from './Types.js';

/** Why a request is refused before routing. */
export interface Rejection {
  readonly status: 400 | 411 | 413 | 431;
  readonly message: string;
}

/** Validated parts of a request. */
export interface CheckedRequest {
  /** `host` or `host:port` in lower case. */
  readonly host: string;
  /** Path with query. */
  readonly path: string;
  /** Declared length in bytes; undefined for a chunked body, 0 for no body. */
  readonly length: number | undefined;
}

/** Greatest number of headers. */
export const maxHeaderCount = 100;
/** Greatest declared length of a body. */
export const maxBodyBytes = 64 * 1024 * 1024;
/** Greatest length of a body that is buffered: chunked bodies and bodies of non-idempotent requests. */
export const maxBufferedBodyBytes = 1024 * 1024;

const hostPattern = /^(?:[a-z0-9](?:[a-z0-9.-]*[a-z0-9])?|\[[0-9a-f:.]+\])(?::\d{1,5})?$/;
const pathPattern = /^\/[\x21-\x7e]*$/;

function reject(status: Rejection['status'], message: string): E.Either<Rejection, never> {
  return E.left({ status, message });
}

function splitRequestTarget(url: string): { readonly host?: string; readonly path: string } {
  const absolute = /^https?:\/\/([^/?#]*)(.*)$/i.exec(url);
  if (absolute === null) return { path: url };
  const [, host = '', rest = ''] = absolute;
  return { host, path: rest.startsWith('/') ? rest : `/${rest}` };
}

function readLength(
  headers: readonly HeaderPair[],
  isChunked: boolean,
): E.Either<Rejection, number | undefined> {
  const lengths = headers.filter(([name]) => name.toLowerCase() === 'content-length');
  if (isChunked) {
    return lengths.length > 0
      ? reject(400, 'Content-Length together with Transfer-Encoding')
      : E.right(undefined);
  }
  if (lengths.length > 1) return reject(400, 'more than one Content-Length');
  const [, text = '0'] = lengths[0] ?? [];
  if (!/^\d{1,15}$/.test(text)) return reject(400, 'Content-Length is not a number');
  return Number(text) > maxBodyBytes
    ? reject(413, `body over ${maxBodyBytes} bytes`)
    : E.right(Number(text));
}

/** Validates what the HTTP parser does not: host, path, body length and number of headers. */
export function checkRequest(
  request: Pick<IncomingMessage, 'url' | 'httpVersion'>,
  headers: readonly HeaderPair[],
): E.Either<Rejection, CheckedRequest> {
  if (headers.length > maxHeaderCount) return reject(431, `more than ${maxHeaderCount} headers`);
  const hosts = headers.filter(([name]) => name.toLowerCase() === 'host');
  const { host: absoluteHost, path } = splitRequestTarget(request.url ?? '');
  const host = (absoluteHost ?? hosts[0]?.[1] ?? '').toLowerCase();
  if (hosts.length !== 1 || !hostPattern.test(host)) return reject(400, 'bad Host');
  if (!pathPattern.test(path)) return reject(400, 'bad path');
  const encodings = headers.filter(([name]) => name.toLowerCase() === 'transfer-encoding');
  const isChunked = encodings.length > 0;
  if (isChunked && (encodings.length > 1 || encodings[0]?.[1].toLowerCase() !== 'chunked')) {
    return reject(400, 'Transfer-Encoding other than chunked');
  }
  return E.map((length: number | undefined) => ({ host, path, length }))(
    readLength(headers, isChunked),
  );
}
