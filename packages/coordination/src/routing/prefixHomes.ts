// Load pattern: several routers receive requests with the same new prompt part at once. Rendezvous hashing
// names one server for it without any message, so that it is read once.

import { LRUCache } from 'lru-cache';
import { owner } from '../rendezvous.js';
import type { Prompt } from './model.js';

/** Homes that are remembered; there are some hundred parts in use at a time. */
const remembered = 4_096;

/** Homes of prompt parts among the servers of one service. */
export class PrefixHomes {
  readonly #known = new LRUCache<string, string>({ max: remembered });

  private constructor(private readonly servers: readonly string[]) {}

  /** `servers` are the ids of all servers of a service that are in use. */
  static create(servers: readonly string[]): PrefixHomes {
    return new PrefixHomes(servers);
  }

  /** The server at which the prompt's shared parts are read first; undefined without any server. */
  of(prompt: Prompt): string | undefined {
    const key = (prompt.parts.at(-2) ?? prompt.parts.at(0))?.id;
    if (key === undefined) return undefined;
    const known = this.#known.get(key);
    if (known !== undefined) return known;
    const home = owner(key, this.servers);
    if (home !== undefined) this.#known.set(key, home);
    return home;
  }
}
