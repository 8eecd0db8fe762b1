// Assigns each prompt part a home server, where it is prefilled first. Several routers may receive requests with
// the same new part at once; rendezvous hashing gives them the same home without messages, so that the part is
// prefilled once.

import { LRUCache } from 'lru-cache';
import { owner } from '../rendezvous.js';
import type { Prompt } from './model.js';

/** Max entries of the cache; some hundred parts are in use at a time. */
const maxCachedHomes = 4_096;

/** Home servers of prompt parts within one service. */
export class PrefixHomes {
  readonly #cache = new LRUCache<string, string>({ max: maxCachedHomes });

  private constructor(private readonly servers: readonly string[]) {}

  /** `servers` are the ids of all servers of the service that are in use. */
  static create(servers: readonly string[]): PrefixHomes {
    return new PrefixHomes(servers);
  }

  /** The server where the prompt's shared parts are prefilled first; undefined if there is no server. */
  homeOf(prompt: Prompt): string | undefined {
    const key = (prompt.parts.at(-2) ?? prompt.parts.at(0))?.id;
    if (key === undefined) return undefined;
    const known = this.#cache.get(key);
    if (known !== undefined) return known;
    const home = owner(key, this.servers);
    if (home !== undefined) this.#cache.set(key, home);
    return home;
  }
}
