import type { HeaderPair } from './Types.js';

/** Headers that belong to one connection and are never passed on (RFC 9110, section 7.6.1). */
const hopByHop: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Header with the milliseconds left until the caller's deadline. */
export const timeoutHeader = 'limpettrack-timeout-ms';
/** Header with the id of a request; a target that echoes it lets a crossed answer be seen. */
export const requestIdHeader = 'limpettrack-request-id';
/** Header that tells whether a refused or failed request was run: `not-run`, `unknown` or `done`. */
export const outcomeHeader = 'limpettrack-outcome';
/** Header with the reason of a refusal. */
export const reasonHeader = 'limpettrack-reason';

const viaName = '1.1 limpettrack';

/** Splits the flat list of node:http into pairs. */
export function pairHeaders(raw: readonly string[]): HeaderPair[] {
  const pairs: HeaderPair[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    pairs.push([raw[index] ?? '', raw[index + 1] ?? '']);
  }
  return pairs;
}

/** Value of the first header with this lower-case name. */
export function findHeader(headers: readonly HeaderPair[], name: string): string | undefined {
  return headers.find(([other]) => other.toLowerCase() === name)?.[1];
}

/** Drops the hop-by-hop headers, and those that the Connection header names. */
export function dropHopByHop(headers: readonly HeaderPair[]): HeaderPair[] {
  const named = new Set(
    headers
      .filter(([name]) => name.toLowerCase() === 'connection')
      .flatMap(([, value]) => value.split(','))
      .map((token) => token.trim().toLowerCase()),
  );
  return headers.filter(([name]) => {
    const lower = name.toLowerCase();
    return !hopByHop.has(lower) && !named.has(lower);
  });
}

function quoteNode(address: string): string {
  return address.includes(':') ? `"[${address}]"` : address;
}

/** Headers for the target: no hop-by-hop headers, Forwarded and Via extended, id and deadline set. */
export function createRequestHeaders(
  headers: readonly HeaderPair[],
  remoteAddress: string,
  host: string,
  requestId: string,
): HeaderPair[] {
  const dropped = new Set(['host', 'forwarded', 'via', 'expect', timeoutHeader, requestIdHeader]);
  const kept = dropHopByHop(headers).filter(([name]) => !dropped.has(name.toLowerCase()));
  const element = `for=${quoteNode(remoteAddress)};host="${host}";proto=http`;
  const forwarded = findHeader(headers, 'forwarded');
  const via = findHeader(headers, 'via');
  return [
    ...kept,
    ['host', host],
    ['forwarded', forwarded === undefined ? element : `${forwarded}, ${element}`],
    ['via', via === undefined ? viaName : `${via}, ${viaName}`],
    [requestIdHeader, requestId],
  ];
}

/** Headers for the caller: no hop-by-hop headers, Via extended. */
export function createAnswerHeaders(headers: readonly HeaderPair[]): HeaderPair[] {
  const kept = dropHopByHop(headers).filter(([name]) => name.toLowerCase() !== 'via');
  const via = findHeader(headers, 'via');
  return [...kept, ['via', via === undefined ? viaName : `${via}, ${viaName}`]];
}
