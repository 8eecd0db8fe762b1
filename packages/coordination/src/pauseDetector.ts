// Detects pauses of the process. Messages read after a pause are older than they seem: grants among them may
// have been given to other routers meanwhile and must be returned unused.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/** A longer time between two ticks is a pause; keepers allow for grants that are this late. */
const pauseThreshold: Milliseconds = 500;
/** Time after a pause within which all messages that arrived during it are read. */
const backlogDuration: Milliseconds = 250;

/** Tells whether this process has just been paused. */
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
    if (now - this.#tickedAt > pauseThreshold) this.#resumedAt = now;
    this.#tickedAt = now;
  }

  /** Whether a message that is read now may have arrived before or during a pause. */
  isAfterPause(): boolean {
    const now = this.#clock.now();
    return now - this.#tickedAt > pauseThreshold || now - this.#resumedAt < backlogDuration;
  }
}
