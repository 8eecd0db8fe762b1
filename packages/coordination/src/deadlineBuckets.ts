// Thousands of requests wait at once, so their deadlines share a few buckets instead of a timer each.

import type { Milliseconds } from '@catkinwheel/state';

/** Precision of a deadline. */
const bucketWidth: Milliseconds = 10;

interface Due {
  readonly deadline: Milliseconds;
}

/** Calls back when deadlines pass, at most `bucketWidth` late plus the time until `expire` is called. */
export class DeadlineBuckets {
  readonly #buckets = new Map<number, Map<Due, () => void>>();
  #next: number;

  private constructor(now: Milliseconds) {
    this.#next = bucketOf(now);
  }

  static create(now: Milliseconds): DeadlineBuckets {
    return new DeadlineBuckets(now);
  }

  add(item: Due, expired: () => void): void {
    const index = Math.max(bucketOf(item.deadline), this.#next);
    const bucket = this.#buckets.get(index);
    if (bucket === undefined) this.#buckets.set(index, new Map([[item, expired]]));
    else bucket.set(item, expired);
  }

  remove(item: Due): void {
    const index = bucketOf(item.deadline);
    const bucket = this.#buckets.get(index);
    if (bucket?.delete(item) === true && bucket.size === 0) this.#buckets.delete(index);
  }

  /** Calls back for every deadline up to the bucket before that of `now`. */
  expire(now: Milliseconds): void {
    const end = bucketOf(now);
    while (this.#next < end && this.#buckets.size > 0) {
      const bucket = this.#buckets.get(this.#next);
      this.#buckets.delete(this.#next);
      this.#next += 1;
      if (bucket !== undefined) for (const expired of bucket.values()) expired();
    }
    this.#next = Math.max(this.#next, end);
  }
}

function bucketOf(time: Milliseconds): number {
  return Math.floor(time / bucketWidth);
}
