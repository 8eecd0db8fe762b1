// Rendezvous hashing: every router chooses the same owner for a key, and a change of members moves only
// the keys of the members that changed.

import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Members ordered by their hash weight for `key`, the owner first. Independent of the order of `members`. */
export function ranking(key: string, members: readonly string[]): readonly string[] {
  return members
    .map((member) => ({ member, weight: hasher.h64(`${key}\u0000${member}`) }))
    .sort((a, b) => {
      if (a.weight !== b.weight) return a.weight > b.weight ? -1 : 1;
      return a.member < b.member ? -1 : 1;
    })
    .map(({ member }) => member);
}

/** The owner of `key`, or undefined if there are no members. */
export function owner(key: string, members: readonly string[]): string | undefined {
  let best: string | undefined;
  let bestWeight = -1n;
  for (const member of members) {
    const weight = hasher.h64(`${key}\u0000${member}`);
    if (weight > bestWeight || (weight === bestWeight && best !== undefined && member < best)) {
      best = member;
      bestWeight = weight;
    }
  }
  return best;
}
