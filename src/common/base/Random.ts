import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomSource } from './Types.js';

/** Creates a deterministic random source from a seed. */
export function createRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Random integer in [0, `limit`). */
export function pickIndex(random: RandomSource, limit: number): number {
  return Math.min(limit - 1, Math.floor(random() * limit));
}

/** Chooses up to `count` different items at random. */
export function sampleItems<Item>(
  random: RandomSource,
  items: readonly Item[],
  count: number,
): Item[] {
  const pool = [...items];
  const size = Math.min(count, pool.length);
  for (let index = 0; index < size; index++) {
    const other = index + pickIndex(random, pool.length - index);
    const item = pool[index] as Item;
    pool[index] = pool[other] as Item;
    pool[other] = item;
  }
  return pool.slice(0, size);
}
