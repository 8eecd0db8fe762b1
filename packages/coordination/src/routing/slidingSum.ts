// Counts events in a sliding window of time.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/** Parts that a window is divided into; an event is forgotten up to one part late, never early. */
const buckets = 10;

interface Bucket {
  readonly number: number;
  readonly sum: number;
}

/** Sum of what was added within the last `span`. Memory is constant. */
export class SlidingSum {
  readonly #clock: Clock;
  readonly #width: Milliseconds;
  /** Sum and number of each bucket of time that is not over yet. */
  #parts: readonly Bucket[] = [];

  private constructor(clock: Clock, span: Milliseconds) {
    this.#clock = clock;
    this.#width = span / buckets;
  }

  static create(clock: Clock, span: Milliseconds): SlidingSum {
    return new SlidingSum(clock, span);
  }

  add(amount: number): void {
    const number = Math.floor(this.#clock.now() / this.#width);
    const last = this.#parts.at(-1);
    this.#parts =
      last?.number === number
        ? [...this.#parts.slice(0, -1), { number, sum: last.sum + amount }]
        : [...this.#recent(), { number, sum: amount }];
  }

  total(): number {
    return this.#recent().reduce((sum, part) => sum + part.sum, 0);
  }

  #recent(): readonly Bucket[] {
    const oldest = Math.floor(this.#clock.now() / this.#width) - buckets;
    return this.#parts.filter(({ number }) => number >= oldest);
  }
}
