// Index of the servers' prefix caches. Many requests share long prompt parts, and prefilling one again costs more
// engine time than the rest of the request, so routers track which server has cached which parts.

import { LRUCache } from 'lru-cache';
import type { Prompt } from './model.js';
import { InstanceMap, type ServerInstance } from './serverInstance.js';

/** Fraction of a server's memory assumed to be its prefix cache; running requests use the rest. */
const cacheFraction = 0.8;

/** A prompt part in a server's prefix cache. */
export interface CachedPart {
  /** Id of the server. */
  readonly server: string;
  readonly part: string;
  readonly tokens: number;
}

/** The probable contents of each server's prefix cache. */
export class PrefixCacheIndex {
  readonly #caches = InstanceMap.create<LRUCache<string, number>>();
  /** Keys of a prompt's parts, which are looked up for each server at each placement of the prompt. */
  readonly #keys = new WeakMap<Prompt, readonly string[]>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): PrefixCacheIndex {
    return new PrefixCacheIndex();
  }

  /** Prompt tokens that the server has to prefill. */
  uncachedTokens(server: ServerInstance, prompt: Prompt): number {
    const cache = this.#caches.get(server);
    if (cache === undefined) return prompt.promptTokens;
    let cachedTokens = 0;
    // A cached part can be used only if all parts before it are cached as well.
    for (const [index, key] of this.#keysOf(prompt).entries()) {
      if (!cache.has(key)) break;
      cachedTokens += prompt.parts[index]?.tokens ?? 0;
    }
    return Math.max(0, prompt.promptTokens - cachedTokens);
  }

  /**
   * Records that the server prefills the prompt. Returns the shared parts that it had not cached before.
   */
  recordPrefill(server: ServerInstance, memory: number, prompt: Prompt): readonly CachedPart[] {
    const cache = this.#caches.get(server);
    const parts = this.#keysOf(prompt).map((part, index) => ({
      server: server.id,
      part,
      tokens: prompt.parts[index]?.tokens ?? 0,
    }));
    const newParts = parts.slice(0, -1).filter(({ part }) => cache?.has(part) !== true);
    for (const { part, tokens } of parts) this.add(server, memory, part, tokens);
    return newParts;
  }

  /** Records a cached part that another router or the server reports; `key` is as made by `partKey`. */
  add(server: ServerInstance, memory: number, key: string, tokens: number): void {
    let cache = this.#caches.get(server);
    if (cache === undefined) {
      cache = new LRUCache({ maxSize: Math.max(1, Math.floor(memory * cacheFraction)) });
      this.#caches.set(server, cache);
    }
    cache.set(key, tokens, { size: Math.max(1, tokens) });
  }

  #keysOf(prompt: Prompt): readonly string[] {
    const known = this.#keys.get(prompt);
    if (known !== undefined) return known;
    const keys = prompt.parts.map(({ id }) => partKey(prompt.model, id));
    this.#keys.set(prompt, keys);
    return keys;
  }

  /** All cached parts, by server and with the least recently used first. */
  all(): readonly CachedPart[] {
    const parts: CachedPart[] = [];
    for (const [{ id }, cache] of this.#caches.entries())
      for (const part of cache.rkeys())
        parts.push({ server: id, part, tokens: cache.peek(part) ?? 0 });
    return parts;
  }

  /** Clears the cache of a server that has restarted or is gone. */
  forget(server: ServerInstance): void {
    this.#caches.delete(server);
  }
}

/** The key of a prompt part in this index. */
export function partKey(model: string, part: string): string {
  return `${model}/${part}`;
}
