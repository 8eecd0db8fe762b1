// Detects duplicate messages, which may arrive long after the first copy was handled.

import type { Milliseconds } from '@catkinwheel/state';

/** Set of the ids seen within the last `span`; ids are dropped after at most twice that time. */
export class RecentIds {
  readonly #span: Milliseconds;
  #current = new Set<string>();
  #previous = new Set<string>();
  #rotatedAt: Milliseconds;

  private constructor(span: Milliseconds, now: Milliseconds) {
    this.#span = span;
    this.#rotatedAt = now;
  }

  static create(span: Milliseconds, now: Milliseconds): RecentIds {
    return new RecentIds(span, now);
  }

  /** Adds an id. False if it was seen before. */
  add(id: string): boolean {
    if (this.#current.has(id) || this.#previous.has(id)) return false;
    this.#current.add(id);
    return true;
  }

  /** Drops the ids of the previous span; to be called periodically. */
  rotate(now: Milliseconds): void {
    if (now - this.#rotatedAt < this.#span) return;
    this.#rotatedAt = now;
    this.#previous = this.#current;
    this.#current = new Set();
  }
}
