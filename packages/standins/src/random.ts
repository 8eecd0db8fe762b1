// Random numbers from a seed, so that a run can be repeated.

import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Pseudo-random numbers in [0, 1). */
export type Random = () => number;

const steps = 2 ** 31;
const warmUp = 32;

/** The sequence that `seed` decides. */
export function randomFrom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  // Seeds that differ in few bits give similar first numbers.
  for (let skipped = 0; skipped < warmUp; skipped += 1) uniformInt(generator, 0, steps - 1);
  return () => uniformInt(generator, 0, steps - 1) / steps;
}

/** A whole number from `least` to `most`, spread evenly over the orders of magnitude. */
export function magnitude(random: Random, least: number, most: number): number {
  return Math.round(least * (most / least) ** random());
}

/** One of the items. The list must not be empty. */
export function oneOf<T>(random: Random, items: readonly T[]): T {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) throw new Error('nothing to choose from');
  return item;
}
