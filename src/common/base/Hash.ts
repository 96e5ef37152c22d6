import xxhash from 'xxhash-wasm';

const api = await xxhash();

/** Fast non-cryptographic 32-bit hash of a string, for tables and rendezvous hashing. */
export function hashString(input: string, seed = 0): number {
  return api.h32(input, seed);
}

/** Fast non-cryptographic 64-bit hash of a string, for the placement of keys. */
export function hashString64(input: string): bigint {
  return api.h64(input);
}

/** Orders `candidates` by rendezvous hash for `key`, highest rank first. The order is the same in every process. */
export function rankByRendezvous<Id extends string>(key: string, candidates: readonly Id[]): Id[] {
  const weighed = candidates.map((id) => ({ id, weight: hashString(`${key}\u0000${id}`) }));
  weighed.sort((left, right) => right.weight - left.weight || (left.id < right.id ? -1 : 1));
  return weighed.map(({ id }) => id);
}
