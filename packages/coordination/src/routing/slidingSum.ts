// A sum over a sliding window of time.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/** Buckets per window. An amount expires up to one bucket late, never early. */
const bucketCount = 10;

interface Bucket {
  readonly number: number;
  readonly sum: number;
}

/** Sum of the amounts added within the last `span`. Memory is constant. */
export class SlidingSum {
  readonly #clock: Clock;
  readonly #width: Milliseconds;
  /** Buckets that are at least partly within the window. */
  #buckets: readonly Bucket[] = [];

  private constructor(clock: Clock, span: Milliseconds) {
    this.#clock = clock;
    this.#width = span / bucketCount;
  }

  static create(clock: Clock, span: Milliseconds): SlidingSum {
    return new SlidingSum(clock, span);
  }

  add(amount: number): void {
    const number = Math.floor(this.#clock.now() / this.#width);
    const last = this.#buckets.at(-1);
    this.#buckets =
      last?.number === number
        ? [...this.#buckets.slice(0, -1), { number, sum: last.sum + amount }]
        : [...this.#currentBuckets(), { number, sum: amount }];
  }

  total(): number {
    return this.#currentBuckets().reduce((sum, bucket) => sum + bucket.sum, 0);
  }

  #currentBuckets(): readonly Bucket[] {
    const oldest = Math.floor(this.#clock.now() / this.#width) - bucketCount;
    return this.#buckets.filter(({ number }) => number >= oldest);
  }
}
