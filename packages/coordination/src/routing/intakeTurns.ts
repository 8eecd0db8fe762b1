// Divides the turns of an event loop between reading requests and serving them. Load pattern: more connections come in than there
// are turns, or callers on kept connections ask again as soon as they are refused. A turn accepts one connection, however many wait
// in the operating system, reads all kept ones, and lasts as long as all work in it. What has not been read cannot be put in order,
// and what is read beyond what can be served only takes time from that. So while more connections are coming in, reading takes a
// part of the time that serving a request has taken lately, with all that follows in later turns. Work is counted in requests served
// here; handing one over to another router is a fraction of that.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/** Time for reading, per time for serving, while more connections are coming in. */
const readingPerServing = 0.3;
/** Requests that are read for each one that is served, until the time for serving one is known. */
const assumedReadPerBegin = 12;
/** Time after which a request is begun however little was read: turns may be long for other reasons than requests. */
const maxReadingTime: Milliseconds = 50;
/** Weight that earlier requests keep in the average time for serving one. */
const remainingWeight = 0.9;

/** The turns of one event loop in which requests wait. */
export class IntakeTurns {
  #isAccepting = false;
  /** Requests read since one was begun last, and the time that it took. */
  #read = 0;
  #readingTime: Milliseconds = 0;
  /** When requests were last begun or began to wait; undefined while none waits. */
  #since: Milliseconds | undefined;
  /** When a request was begun last. */
  #lastBegin: Milliseconds = -Infinity;
  /** Work begun then. */
  #begun = 0;
  /** Average time that serving one takes; undefined until it is known. */
  #servingTime: Milliseconds | undefined;

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

  /** Counts time for accepting connections, and for reading and refusing requests. */
  recordReadingTime(time: Milliseconds): void {
    this.#readingTime += time;
  }

  /** Ends a turn in which requests wait. Returns the work that is to be begun, if so many wait. */
  end(): number {
    const now = this.clock.now();
    this.#since ??= now;
    const due = this.#due();
    const isDue = due >= 1 || now - this.#lastBegin >= maxReadingTime;
    const isAccepting = this.#isAccepting;
    const areMoreComing = isAccepting && !isDue;
    this.#isAccepting = false;
    if (areMoreComing) return 0;
    this.#learnServingTime(now);
    const count = isAccepting ? 1 : Math.max(1, Math.min(due, this.#read));
    this.#lastBegin = now;
    this.#since = now;
    this.#begun = count;
    this.#read = 0;
    this.#readingTime = 0;
    return count;
  }

  /** Ends a turn in which no request waits. */
  rest(): void {
    this.#since = undefined;
    this.#begun = 0;
    this.#read = 0;
    this.#readingTime = 0;
    this.#isAccepting = false;
  }

  /** Work to be begun for what has been read since the last one. */
  #due(): number {
    const due =
      this.#servingTime === undefined
        ? this.#read / assumedReadPerBegin
        : this.#readingTime / (readingPerServing * this.#servingTime);
    return Math.floor(due);
  }

  /** All time since work was last begun that was not for reading was for serving. */
  #learnServingTime(now: Milliseconds): void {
    if (this.#since === undefined || this.#begun === 0) return;
    const time = Math.max(0, now - this.#since - this.#readingTime) / this.#begun;
    const average = this.#servingTime ?? time;
    this.#servingTime = remainingWeight * average + (1 - remainingWeight) * time;
  }
}
