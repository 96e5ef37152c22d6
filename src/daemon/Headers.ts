import type { HeaderPair } from './Types.js';

/** Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1). */
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
/** Header with the request id; if a target echoes it, an answer to another request can be detected. */
export const requestIdHeader = 'limpettrack-request-id';
/** Header that states whether a refused or failed request was run: `not-run`, `unknown` or `done`. */
export const outcomeHeader = 'limpettrack-outcome';
/** Header with the reason of a refusal. */
export const reasonHeader = 'limpettrack-reason';

const viaName = '1.1 limpettrack';

/** Converts the flat raw header list of node:http to pairs. */
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

/** Removes hop-by-hop headers and those listed in the Connection header. */
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

/** Headers for the target: without hop-by-hop headers, with Forwarded, Via and the request id. */
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

/** Headers for the caller: without hop-by-hop headers, with Via. */
export function createAnswerHeaders(headers: readonly HeaderPair[]): HeaderPair[] {
  const kept = dropHopByHop(headers).filter(([name]) => name.toLowerCase() !== 'via');
  const via = findHeader(headers, 'via');
  return [...kept, ['via', via === undefined ? viaName : `${via}, ${viaName}`]];
}
