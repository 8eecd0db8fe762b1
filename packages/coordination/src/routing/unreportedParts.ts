// Prompt parts that servers have cached and that other routers have not been told of yet. Requests may name new parts faster
// than reports carry them, so the queue is bounded. A part that is never reported costs another server one prefill of it.

import type { CachedPart } from './prefixCacheIndex.js';

/** Max parts that wait, some four seconds of reports; a part that is reported later is of little use. */
const maxParts = 512;

/** A queue of parts, the oldest first. */
export class UnreportedParts {
  #parts: CachedPart[] = [];

  static create(): UnreportedParts {
    return new UnreportedParts();
  }

  get length(): number {
    return this.#parts.length;
  }

  /** Adds parts as long as there is room: the first parts of a prompt are kept, without which the others are of no use. */
  add(parts: readonly CachedPart[]): void {
    const room = maxParts - this.#parts.length;
    if (room > 0) this.#parts.push(...parts.slice(0, room));
  }

  /** Removes and returns the first `count` parts. */
  take(count: number): readonly CachedPart[] {
    return this.#parts.splice(0, count);
  }

  /** Removes the parts of a server that has lost its cache. */
  forget(server: string): void {
    this.#parts = this.#parts.filter((part) => part.server !== server);
  }
}
