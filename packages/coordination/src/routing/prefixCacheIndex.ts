// Load pattern: long prompt parts are shared by many requests, and reading one again costs more engine
// time than the rest of the request. Routers remember which server has read which parts.

import { LRUCache } from 'lru-cache';
import type { Prompt } from './model.js';

/** Part of a server's memory that keeps parts; running requests use the rest. */
const cachedPart = 0.8;

/** A prompt part that a server has read. */
export interface CachedPart {
  readonly server: string;
  readonly part: string;
  readonly tokens: number;
}

/** What each server has probably kept, as far as this router knows. */
export class PrefixCacheIndex {
  readonly #servers = new Map<string, LRUCache<string, number>>();
  /** Names of a prompt's parts, which are looked up for each server whenever the prompt waits. */
  readonly #keys = new WeakMap<Prompt, readonly string[]>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): PrefixCacheIndex {
    return new PrefixCacheIndex();
  }

  /** Tokens of the prompt that the server has to read. */
  missing(server: string, prompt: Prompt): number {
    const kept = this.#servers.get(server);
    if (kept === undefined) return prompt.promptTokens;
    let held = 0;
    // A part is of use only if all parts before it are kept as well.
    for (const [index, key] of this.#keysOf(prompt).entries()) {
      if (!kept.has(key)) break;
      held += prompt.parts[index]?.tokens ?? 0;
    }
    return Math.max(0, prompt.promptTokens - held);
  }

  /** The server reads these parts. Returns the shared ones that it did not hold before. */
  read(server: string, memory: number, prompt: Prompt): readonly CachedPart[] {
    const kept = this.#servers.get(server);
    const parts = this.#keysOf(prompt).map((part, index) => ({
      server,
      part,
      tokens: prompt.parts[index]?.tokens ?? 0,
    }));
    const news = parts.slice(0, -1).filter(({ part }) => kept?.has(part) !== true);
    for (const { part, tokens } of parts) this.learn(server, memory, part, tokens);
    return news;
  }

  /** Another router says that the server has read a part, named as `read` names it. */
  learn(server: string, memory: number, key: string, tokens: number): void {
    let kept = this.#servers.get(server);
    if (kept === undefined) {
      kept = new LRUCache({ maxSize: Math.max(1, Math.floor(memory * cachedPart)) });
      this.#servers.set(server, kept);
    }
    kept.set(key, tokens, { size: Math.max(1, tokens) });
  }

  #keysOf(prompt: Prompt): readonly string[] {
    const known = this.#keys.get(prompt);
    if (known !== undefined) return known;
    const keys = prompt.parts.map(({ id }) => partKey(prompt.model, id));
    this.#keys.set(prompt, keys);
    return keys;
  }

  /** Everything that is kept, the least recently used first. */
  all(): readonly CachedPart[] {
    const parts: CachedPart[] = [];
    for (const [server, kept] of this.#servers)
      for (const part of kept.rkeys()) parts.push({ server, part, tokens: kept.peek(part) ?? 0 });
    return parts;
  }

  /** Forgets a server that has restarted or is gone. */
  forget(server: string): void {
    this.#servers.delete(server);
  }
}

/** Names a part of a model's prompts as `Residency` does. */
export function partKey(model: string, part: string): string {
  return `${model}/${part}`;
}
