// A process that stood still finds messages that are older than they look. Grants among them may
// have been given to others meanwhile and must go back unused.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/** A longer time between two ticks is a pause; keepers allow for grants that are this late. */
const pauseTime: Milliseconds = 500;
/** Time in which everything is read that arrived during a pause. */
const backlogTime: Milliseconds = 250;

/** Tells whether this process stood still just now. */
export class PauseDetector {
  readonly #clock: Clock;
  #tickedAt: Milliseconds;
  #resumedAt = Number.NEGATIVE_INFINITY;

  private constructor(clock: Clock) {
    this.#clock = clock;
    this.#tickedAt = clock.now();
  }

  static create(clock: Clock): PauseDetector {
    return new PauseDetector(clock);
  }

  /** To be called at least every 100 ms while the process runs. */
  tick(): void {
    const now = this.#clock.now();
    if (now - this.#tickedAt > pauseTime) this.#resumedAt = now;
    this.#tickedAt = now;
  }

  /** Whether a message that is read now may have waited through a pause. */
  isAfterPause(): boolean {
    const now = this.#clock.now();
    return now - this.#tickedAt > pauseTime || now - this.#resumedAt < backlogTime;
  }
}
