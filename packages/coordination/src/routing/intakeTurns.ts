// Divides the turns of an event loop between reading requests and serving them. Load pattern: more connections come in than there
// are turns, or callers on kept connections ask again as soon as they are refused. A turn accepts one connection, however many wait
// in the operating system, reads all kept ones, and lasts as long as all work in it. So a turn begins few requests, and none while
// connections are coming in: what has not been read cannot be put in order. What is read bounds what is begun and the other way round.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/** Requests that are read for each one that is begun, if so many come. Refusing one costs a fraction of serving one. */
const readPerBegin = 12;
/** Time after which a request is begun however few were read: turns may be long for other reasons than requests. */
const maxReadingTime: Milliseconds = 50;

/** The turns of one event loop. */
export class IntakeTurns {
  #isAccepting = false;
  /** Requests read since one was begun last. */
  #read = 0;
  /** When a request was to be begun last. */
  #lastBegin: Milliseconds = -Infinity;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): IntakeTurns {
    return new IntakeTurns(clock);
  }

  /** Counts a connection that was accepted in this turn, with its first request. */
  recordAccepted(): void {
    this.#isAccepting = true;
    this.#read += 1;
  }

  /** Counts a request that was read on a kept connection. */
  recordRead(): void {
    this.#read += 1;
  }

  /** Ends a turn. Returns how many requests are to be begun in it, if so many wait. */
  end(): number {
    const now = this.clock.now();
    const isDue = this.#read >= readPerBegin || now - this.#lastBegin >= maxReadingTime;
    const areMoreComing = this.#isAccepting && !isDue;
    this.#isAccepting = false;
    if (areMoreComing) return 0;
    this.#lastBegin = now;
    const count = Math.max(1, Math.floor(this.#read / readPerBegin));
    this.#read = 0;
    return count;
  }
}
