// Index of the servers' prefix caches. Many requests share long prompt parts, and prefilling one again costs more
// engine time than the rest of the request, so routers track which server has cached which parts.

import { LRUCache } from 'lru-cache';
import type { Prompt } from './model.js';
import { InstanceMap, type ServerInstance } from './serverInstance.js';

/** Fraction of a server's memory assumed to be its prefix cache; running requests use the rest. */
const cacheFraction = 0.8;

/** Max memory of the whole index in bytes. */
const maxBytes = 12 * 1024 * 1024;
/** Memory of a part besides its key, in bytes. */
const partOverhead = 100;

/** A prompt part in a server's prefix cache. */
export interface CachedPart {
  /** Id of the server. */
  readonly server: string;
  readonly part: string;
  readonly tokens: number;
}

/** The probable contents of one server's prefix cache. */
class ServerCache {
  /** Tokens by key. */
  readonly parts: LRUCache<string, number>;
  /** Memory that the parts take here. */
  #bytes = 0;

  private constructor(tokens: number) {
    this.parts = new LRUCache({
      maxSize: tokens,
      noDisposeOnSet: true,
      dispose: (_, key) => {
        this.#bytes -= sizeOf(key);
      },
    });
  }

  /** `tokens` is the size of the server's cache. */
  static create(tokens: number): ServerCache {
    return new ServerCache(tokens);
  }

  get bytes(): number {
    return this.#bytes;
  }

  set(key: string, tokens: number): void {
    const isKnown = this.parts.has(key);
    this.parts.set(key, tokens, { size: Math.max(1, tokens) });
    // A part that is larger than the cache is not added.
    if (!isKnown && this.parts.has(key)) this.#bytes += sizeOf(key);
  }
}

/**
 * The probable contents of each server's prefix cache. Where prompts have so many parts that the index exceeds its memory, the
 * least recently used parts of the server with the largest cache are dropped first.
 */
export class PrefixCacheIndex {
  readonly #caches = InstanceMap.create<ServerCache>();
  /** Memory of all caches. */
  #bytes = 0;
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
    const cache = this.#caches.get(server)?.parts;
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
    const cache = this.#caches.get(server)?.parts;
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
      cache = ServerCache.create(Math.max(1, Math.floor(memory * cacheFraction)));
      if (!this.#caches.set(server, cache)) return;
      this.#recount();
    }
    const before = cache.bytes;
    cache.set(key, tokens);
    this.#bytes += cache.bytes - before;
    while (this.#bytes > maxBytes) this.#dropOne();
  }

  #dropOne(): void {
    const [first, ...others] = this.#allCaches();
    if (first === undefined) return;
    const largest = others.reduce(
      (most, cache) => (cache.bytes > most.bytes ? cache : most),
      first,
    );
    const before = largest.bytes;
    largest.parts.pop();
    this.#bytes -= before - largest.bytes;
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
    for (const [{ id }, { parts: cached }] of this.#caches.entries())
      for (const part of cached.rkeys())
        parts.push({ server: id, part, tokens: cached.peek(part) ?? 0 });
    return parts;
  }

  /** Clears the cache of a server that has restarted or is gone. */
  forget(server: ServerInstance): void {
    this.#caches.delete(server);
    this.#recount();
  }

  /** The cache of a former instance is gone once its id has another one. */
  #recount(): void {
    this.#bytes = this.#allCaches().reduce((sum, { bytes }) => sum + bytes, 0);
  }

  #allCaches(): readonly ServerCache[] {
    return [...this.#caches.entries()].map(([, cache]) => cache);
  }
}

/** Approximate memory of a part in bytes. */
function sizeOf(key: string): number {
  return partOverhead + key.length;
}

/** The key of a prompt part in this index. */
export function partKey(model: string, part: string): string {
  return `${model}/${part}`;
}
